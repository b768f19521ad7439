#ifndef DRAGONFLYLOCK_FLEET_FLEETERRORS_H
#define DRAGONFLYLOCK_FLEET_FLEETERRORS_H

#include <system_error>

namespace dragonflylock {

/// Reasons why a change of the fleet was rejected.
enum class FleetErrc {
  UnknownInstance = 1,
  UnknownPool,
  /// The instance is not in the phase that the change requires, usually
  /// because it is moving or under maintenance.
  NotServing,
  /// The pool's availability budget does not allow it.
  BudgetExhausted,
  /// A wave is running or halted.
  WaveActive,
  /// There is no wave in the state that the change requires.
  NoSuchWave,
};

/// \returns the error code of \p Kind.
std::error_code make_error_code(FleetErrc Kind);

} // namespace dragonflylock

template <>
struct std::is_error_code_enum<dragonflylock::FleetErrc> : std::true_type {};

#endif
