#include "operators/operatorserrors.h"
#include "global/errorcategory.h"

namespace dragonflylock {
namespace {

const char *nameOf(int Kind) {
  switch (static_cast<OperatorsErrc>(Kind)) {
  case OperatorsErrc::Busy:
    return "entry-busy";
  }
  return "unknown-operators-error";
}

} // namespace

std::error_code make_error_code(OperatorsErrc Kind) {
  static const ErrorCategory Category("operators", nameOf);
  return {static_cast<int>(Kind), Category};
}

} // namespace dragonflylock
