#ifndef DRAGONFLYLOCK_GLOBAL_INTERNAL_BOOTCLOCK_H
#define DRAGONFLYLOCK_GLOBAL_INTERNAL_BOOTCLOCK_H

#include "global/iclock.h"

#include <ctime>

namespace dragonflylock {

/// The clocks of the machine; the monotonic one also counts the time for which
/// the machine was suspended, so that a lease ends during it.
class BootClock : public IClock {
public:
  TimePoint now() const override {
    timespec Time{};
    clock_gettime(CLOCK_BOOTTIME, &Time);
    return TimePoint(std::chrono::seconds(Time.tv_sec) +
                     std::chrono::nanoseconds(Time.tv_nsec));
  }
  WallTime wallNow() const override { return std::chrono::system_clock::now(); }
};

} // namespace dragonflylock

#endif
