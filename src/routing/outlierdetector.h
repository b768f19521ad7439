#ifndef DRAGONFLYLOCK_ROUTING_OUTLIERDETECTOR_H
#define DRAGONFLYLOCK_ROUTING_OUTLIERDETECTOR_H

#include "global/iclock.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace dragonflylock {

/// Detects instances of one pool that fail nearly every request while the
/// others do not, and ejects them for a time that doubles with each ejection
/// up to a limit.
///
/// Without it, an instance that fails fast would attract requests, since it
/// has few outstanding ones.
class OutlierDetector {
public:
  /// Records the result of a request at \p Instance.
  /// \param MaxEjected number of instances that may be ejected at a time.
  /// \returns the end of the instance's ejection; at or before \p Now if it is
  /// not ejected.
  TimePoint onResult(const std::string &Instance, bool IsFailure, TimePoint Now,
                     std::size_t MaxEjected);
  /// \returns the number of instances that are ejected at \p Now.
  std::size_t ejectedCount(TimePoint Now) const;

private:
  struct Health {
    /// Exponential moving average of failures, between 0 and 1.
    double FailureRate_ = 0;
    std::uint64_t Results_ = 0;
    TimePoint EjectedUntil_;
    std::chrono::milliseconds NextEjectionTime_{5000};
  };

  bool isOutlier(const std::string &Instance) const;

  std::map<std::string, Health> Instances_;
};

} // namespace dragonflylock

#endif
