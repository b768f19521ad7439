#ifndef DRAGONFLYLOCK_HTTP_HTTPERRORS_H
#define DRAGONFLYLOCK_HTTP_HTTPERRORS_H

#include <system_error>

namespace dragonflylock {

/// Failures of HTTP exchanges and servers.
enum class HttpErrc {
  /// No byte of the request left this process.
  NotSent = 1,
  /// The request was sent, wholly or in part, and no whole answer came.
  AnswerLost,
  /// A server could not listen on its address.
  CannotListen,
};

/// \returns the error code of \p Kind.
std::error_code make_error_code(HttpErrc Kind);

} // namespace dragonflylock

template <>
struct std::is_error_code_enum<dragonflylock::HttpErrc> : std::true_type {};

#endif
