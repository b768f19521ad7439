#ifndef DRAGONFLYLOCK_CONFIGURATION_CONFIGURATIONERRORS_H
#define DRAGONFLYLOCK_CONFIGURATION_CONFIGURATIONERRORS_H

#include <system_error>

namespace dragonflylock {

/// Faults of a configuration document.
enum class ConfigurationErrc {
  Syntax = 1,
  UnknownKey,
  MissingKey,
  WrongType,
  WrongUnit,
  OutOfRange,
  DuplicatePrefix,
  DuplicatePool,
  DuplicateException,
  UnknownPool,
  MissingReason,
  UnknownException,
  /// Another change was accepted since the one that this change builds on.
  VersionConflict,
  /// The document is larger than a table row may be.
  TooLarge,
};

/// \returns the error code of \p Kind.
std::error_code make_error_code(ConfigurationErrc Kind);

} // namespace dragonflylock

template <>
struct std::is_error_code_enum<dragonflylock::ConfigurationErrc>
    : std::true_type {};

#endif
