#ifndef DRAGONFLYLOCK_GLOBAL_INTERNAL_SYSTEMCLOCK_H
#define DRAGONFLYLOCK_GLOBAL_INTERNAL_SYSTEMCLOCK_H

#include "global/iclock.h"

namespace dragonflylock {

/// The clocks of the machine.
class SystemClock : public IClock {
public:
  TimePoint now() const override { return std::chrono::steady_clock::now(); }
  WallTime wallNow() const override { return std::chrono::system_clock::now(); }
};

} // namespace dragonflylock

#endif
