#ifndef DRAGONFLYLOCK_PLATFORMSERVICES_PLATFORMERRORS_H
#define DRAGONFLYLOCK_PLATFORMSERVICES_PLATFORMERRORS_H

#include <system_error>

namespace dragonflylock {

/// Failures of the platform's services.
enum class PlatformErrc {
  /// The request had no effect: it never reached the platform, or the platform
  /// rejected it.
  Unavailable = 1,
  /// The request may have taken effect; its response was lost or had an
  /// unexpected status.
  AnswerLost,
  /// A condition of a transaction did not hold; nothing was written.
  ConditionFailed,
  /// The platform's response, or a stored value, could not be decoded.
  BadAnswer,
  /// There is no such instance or instance action.
  NotFound,
};

std::error_code make_error_code(PlatformErrc Kind);

} // namespace dragonflylock

template <>
struct std::is_error_code_enum<dragonflylock::PlatformErrc> : std::true_type {};

#endif
