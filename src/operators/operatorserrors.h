#ifndef DRAGONFLYLOCK_OPERATORS_OPERATORSERRORS_H
#define DRAGONFLYLOCK_OPERATORS_OPERATORSERRORS_H

#include <system_error>

namespace dragonflylock {

/// Failures of the operators' API.
enum class OperatorsErrc {
  /// The deciding thread gave no snapshot in time.
  Busy = 1,
};

/// \returns the error code of \p Kind.
std::error_code make_error_code(OperatorsErrc Kind);

} // namespace dragonflylock

template <>
struct std::is_error_code_enum<dragonflylock::OperatorsErrc> : std::true_type {
};

#endif
