#ifndef DRAGONFLYLOCK_PLATFORMSERVICES_PLATFORMERRORS_H
#define DRAGONFLYLOCK_PLATFORMSERVICES_PLATFORMERRORS_H

#include <system_error>

namespace dragonflylock {

/// Failures of the platform's services.
enum class PlatformErrc {
  /// The request had no effect, since it never reached the platform or the
  /// platform refused it.
  Unavailable = 1,
  /// The request may have taken effect; its answer was lost.
  AnswerLost,
  /// A condition of a transaction did not hold; nothing was written.
  ConditionFailed,
  /// The platform's answer could not be understood.
  BadAnswer,
  /// There is no such object or instance.
  NotFound,
};

/// \returns the error code of \p Kind.
std::error_code make_error_code(PlatformErrc Kind);

} // namespace dragonflylock

template <>
struct std::is_error_code_enum<dragonflylock::PlatformErrc> : std::true_type {};

#endif
