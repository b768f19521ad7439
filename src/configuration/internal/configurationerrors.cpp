#include "configuration/configurationerrors.h"
#include "global/errorcategory.h"

namespace dragonflylock {
namespace {

const char *nameOf(int Kind) {
  switch (static_cast<ConfigurationErrc>(Kind)) {
  case ConfigurationErrc::Syntax:
    return "syntax";
  case ConfigurationErrc::UnknownKey:
    return "unknown-key";
  case ConfigurationErrc::MissingKey:
    return "missing-key";
  case ConfigurationErrc::WrongType:
    return "wrong-type";
  case ConfigurationErrc::WrongUnit:
    return "wrong-unit";
  case ConfigurationErrc::OutOfRange:
    return "out-of-range";
  case ConfigurationErrc::DuplicatePrefix:
    return "duplicate-prefix";
  case ConfigurationErrc::DuplicatePool:
    return "duplicate-pool";
  case ConfigurationErrc::DuplicateException:
    return "duplicate-exception";
  case ConfigurationErrc::UnknownPool:
    return "unknown-pool";
  case ConfigurationErrc::MissingReason:
    return "missing-reason";
  case ConfigurationErrc::UnknownException:
    return "unknown-exception";
  case ConfigurationErrc::VersionConflict:
    return "version-conflict";
  case ConfigurationErrc::TooLarge:
    return "too-large";
  }
  return "unknown-configuration-error";
}

} // namespace

std::error_code make_error_code(ConfigurationErrc Kind) {
  static const ErrorCategory Category("configuration", nameOf);
  return {static_cast<int>(Kind), Category};
}

} // namespace dragonflylock
