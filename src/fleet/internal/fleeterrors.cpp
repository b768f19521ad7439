#include "fleet/fleeterrors.h"
#include "global/errorcategory.h"

namespace dragonflylock {
namespace {

const char *nameOf(int Kind) {
  switch (static_cast<FleetErrc>(Kind)) {
  case FleetErrc::UnknownInstance:
    return "unknown-instance";
  case FleetErrc::UnknownPool:
    return "unknown-pool";
  case FleetErrc::NotServing:
    return "not-serving";
  case FleetErrc::BudgetExhausted:
    return "budget-spent";
  case FleetErrc::WaveActive:
    return "wave-active";
  case FleetErrc::NoSuchWave:
    return "no-such-wave";
  }
  return "unknown-fleet-error";
}

} // namespace

std::error_code make_error_code(FleetErrc Kind) {
  static const ErrorCategory Category("fleet", nameOf);
  return {static_cast<int>(Kind), Category};
}

} // namespace dragonflylock
