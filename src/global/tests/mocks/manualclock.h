#ifndef DRAGONFLYLOCK_GLOBAL_TESTS_MOCKS_MANUALCLOCK_H
#define DRAGONFLYLOCK_GLOBAL_TESTS_MOCKS_MANUALCLOCK_H

#include "global/iclock.h"

#include <chrono>

namespace dragonflylock {

/// A clock that stands until a test moves it.
class ManualClock : public IClock {
public:
  TimePoint now() const override { return Now_; }
  WallTime wallNow() const override {
    return WallTime(std::chrono::duration_cast<WallTime::duration>(
        Now_.time_since_epoch()));
  }
  /// Moves the clock forward.
  void advance(std::chrono::milliseconds Step) { Now_ += Step; }

private:
  TimePoint Now_ = TimePoint(std::chrono::hours(1));
};

} // namespace dragonflylock

#endif
