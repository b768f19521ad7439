#ifndef DRAGONFLYLOCK_ROUTING_OUTLIERDETECTOR_H
#define DRAGONFLYLOCK_ROUTING_OUTLIERDETECTOR_H

#include "global/iclock.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace dragonflylock {

/// Finds instances of one pool that fail nearly everything while the others
/// do not, and sets them aside for growing times.
///
/// An instance that fails fast has few outstanding requests, and so attracts
/// new ones.
class OutlierDetector {
public:
  /// Takes over how a request at \p Instance ended.
  /// \param MaxEjected instances that may be set aside at a time.
  /// \returns until when the instance is set aside; not after \p Now where it
  /// is not.
  TimePoint onResult(const std::string &Instance, bool IsFailure, TimePoint Now,
                     std::size_t MaxEjected);
  /// \returns the number of instances set aside at \p Now.
  std::size_t ejectedCount(TimePoint Now) const;

private:
  struct Health {
    /// Moving average of failures, between 0 and 1.
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
