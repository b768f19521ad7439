#include "platformservices/platformerrors.h"
#include "global/errorcategory.h"

namespace dragonflylock {
namespace {

const char *nameOf(int Kind) {
  switch (static_cast<PlatformErrc>(Kind)) {
  case PlatformErrc::Unavailable:
    return "platform-unavailable";
  case PlatformErrc::AnswerLost:
    return "platform-answer-lost";
  case PlatformErrc::ConditionFailed:
    return "condition-failed";
  case PlatformErrc::BadAnswer:
    return "platform-bad-answer";
  case PlatformErrc::NotFound:
    return "platform-not-found";
  }
  return "unknown-platform-error";
}

} // namespace

std::error_code make_error_code(PlatformErrc Kind) {
  static const ErrorCategory Category("platform", nameOf);
  return {static_cast<int>(Kind), Category};
}

} // namespace dragonflylock
