#include "http/httperrors.h"
#include "global/errorcategory.h"

namespace dragonflylock {
namespace {

const char *nameOf(int Kind) {
  switch (static_cast<HttpErrc>(Kind)) {
  case HttpErrc::NotSent:
    return "not-sent";
  case HttpErrc::AnswerLost:
    return "answer-lost";
  case HttpErrc::CannotListen:
    return "cannot-listen";
  }
  return "unknown-http-error";
}

} // namespace

std::error_code make_error_code(HttpErrc Kind) {
  static const ErrorCategory Category("http", nameOf);
  return {static_cast<int>(Kind), Category};
}

} // namespace dragonflylock
