#ifndef DRAGONFLYLOCK_CLI_CLIERRORS_H
#define DRAGONFLYLOCK_CLI_CLIERRORS_H

#include <system_error>

namespace dragonflylock {

/// Failures of the command line, each with an exit code of its own.
enum class CliErrc {
  Usage = 2,
  /// A document or value was refused.
  Refused = 3,
  /// Another change was accepted first.
  Conflict = 4,
  /// The daemon or the platform could not be reached; nothing was changed.
  Unavailable = 5,
  /// It is not known whether the change was accepted.
  Unknown = 6,
  NotFound = 7,
  Unauthorized = 8,
  /// A trace breaks a promise.
  PromiseBroken = 9,
};

/// \returns the error code of \p Kind.
std::error_code make_error_code(CliErrc Kind);

} // namespace dragonflylock

template <>
struct std::is_error_code_enum<dragonflylock::CliErrc> : std::true_type {};

#endif
