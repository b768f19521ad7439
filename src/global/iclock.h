#ifndef DRAGONFLYLOCK_GLOBAL_ICLOCK_H
#define DRAGONFLYLOCK_GLOBAL_ICLOCK_H

#include <chrono>
#include <cstdint>

namespace dragonflylock {

/// A point on the monotonic clock of one process.
using TimePoint = std::chrono::steady_clock::time_point;
/// A point in calendar time, comparable across processes only roughly.
using WallTime = std::chrono::system_clock::time_point;

/// \returns \p Time in milliseconds since 1970, as rows and records hold it.
inline std::int64_t millisecondsSinceEpoch(WallTime Time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             Time.time_since_epoch())
      .count();
}

/// Source of the current time.
class IClock {
public:
  virtual ~IClock() = default;
  /// \returns the monotonic time, for leases and deadlines.
  virtual TimePoint now() const = 0;
  /// \returns the calendar time, for records only.
  virtual WallTime wallNow() const = 0;
};

} // namespace dragonflylock

#endif
