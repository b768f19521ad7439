#ifndef DRAGONFLYLOCK_SCHEDULING_SCHEDULINGERRORS_H
#define DRAGONFLYLOCK_SCHEDULING_SCHEDULINGERRORS_H

#include <system_error>

namespace dragonflylock {

/// Errors of the scheduler.
enum class SchedulingErrc {
  /// A row of the store is malformed.
  MalformedRow = 1,
};

/// \returns the error code of \p Kind.
std::error_code make_error_code(SchedulingErrc Kind);

} // namespace dragonflylock

template <>
struct std::is_error_code_enum<dragonflylock::SchedulingErrc> : std::true_type {
};

#endif
