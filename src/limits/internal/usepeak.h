#ifndef DRAGONFLYLOCK_LIMITS_INTERNAL_USEPEAK_H
#define DRAGONFLYLOCK_LIMITS_INTERNAL_USEPEAK_H

#include "global/iclock.h"
#include "global/resources.h"

#include <chrono>

namespace dragonflylock {

/// The highest use in a period that ends now. Its length is between one and two
/// windows.
class UsePeak {
public:
  UsePeak(std::chrono::milliseconds Window, TimePoint Now)
      : Window_(Window), Start_(Now) {}

  void add(TimePoint Now, const Resources &Use);
  /// \returns the maximum of each resource.
  Resources value() const;

private:
  std::chrono::milliseconds Window_;
  /// Start of the window that has not ended.
  TimePoint Start_;
  Resources Current_;
  Resources Previous_;
};

} // namespace dragonflylock

#endif
