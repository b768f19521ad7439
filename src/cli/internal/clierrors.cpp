#include "cli/clierrors.h"
#include "global/errorcategory.h"

namespace dragonflylock {
namespace {

const char *nameOf(int Kind) {
  switch (static_cast<CliErrc>(Kind)) {
  case CliErrc::Usage:
    return "usage";
  case CliErrc::Refused:
    return "refused";
  case CliErrc::Conflict:
    return "conflict";
  case CliErrc::Unavailable:
    return "unavailable";
  case CliErrc::Unknown:
    return "unknown-result";
  case CliErrc::NotFound:
    return "not-found";
  case CliErrc::Unauthorized:
    return "unauthorized";
  case CliErrc::PromiseBroken:
    return "promise-broken";
  }
  return "unknown-cli-error";
}

} // namespace

std::error_code make_error_code(CliErrc Kind) {
  static const ErrorCategory Category("cli", nameOf);
  return {static_cast<int>(Kind), Category};
}

} // namespace dragonflylock
