#ifndef DRAGONFLYLOCK_GLOBAL_GLOBALERRORS_H
#define DRAGONFLYLOCK_GLOBAL_GLOBALERRORS_H

#include <system_error>

namespace dragonflylock {

/// Failures to read a value from text.
enum class UnitErrc {
  NotADuration = 1,
  NotASize,
  NotAPercentage,
  NotANumber,
  NotAnAddress,
};

/// \returns the error code of \p Kind.
std::error_code make_error_code(UnitErrc Kind);

} // namespace dragonflylock

template <>
struct std::is_error_code_enum<dragonflylock::UnitErrc> : std::true_type {};

#endif
