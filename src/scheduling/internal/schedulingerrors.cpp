#include "scheduling/schedulingerrors.h"
#include "global/errorcategory.h"

namespace dragonflylock {
namespace {

const char *nameOf(int Kind) {
  switch (static_cast<SchedulingErrc>(Kind)) {
  case SchedulingErrc::MalformedRow:
    return "bad-row";
  }
  return "unknown";
}

} // namespace

std::error_code make_error_code(SchedulingErrc Kind) {
  static const ErrorCategory Category("scheduling", nameOf);
  return {static_cast<int>(Kind), Category};
}

} // namespace dragonflylock
