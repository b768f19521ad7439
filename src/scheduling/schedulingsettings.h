#ifndef DRAGONFLYLOCK_SCHEDULING_SCHEDULINGSETTINGS_H
#define DRAGONFLYLOCK_SCHEDULING_SCHEDULINGSETTINGS_H

#include <chrono>
#include <string>

namespace dragonflylock {

/// What one node knows of itself and of the limits in force.
struct SchedulingSettings {
  /// Name of this node, the holder of its leases.
  std::string Node_;
  std::string Zone_;
  /// Processor cores that the node may use.
  double Cores_ = 1.0;
  /// How long an owner keeps a pool without renewing.
  std::chrono::milliseconds OwnerLease_{3000};
  /// Time before the end of its lease at which an owner stops acting.
  std::chrono::milliseconds LeaseMargin_{300};
  /// Longest lease that a worker grants to what runs on it.
  std::chrono::milliseconds MaxWorkerLease_{6000};
  /// How long members of a gang wait on workers for the others.
  std::chrono::milliseconds GangTimeout_{3000};
  /// Limit for a worker to stop a run.
  std::chrono::milliseconds StopTimeout_{200};
  /// Time for which an ended job can still be looked up.
  std::chrono::milliseconds StatusRetention_{120000};
  /// Limit from a cancellation to the last start.
  std::chrono::milliseconds CancelLimit_{3000};
  /// Time by which a timed occurrence may start early.
  std::chrono::milliseconds MaxEarlyStart_{250};
  /// How long a task is away before it counts as unavailable.
  std::chrono::milliseconds UnavailabilityTolerance_{4500};
  /// How long a serving task may miss its latency target.
  std::chrono::milliseconds LatencyMissTolerance_{4000};
  /// Time from a pace order to its effect.
  std::chrono::milliseconds PaceDelay_{100};
  /// Time that a machine needs for its maintenance.
  std::chrono::milliseconds MaintenanceTime_{2000};
  /// Time that a machine needs to change its pool.
  std::chrono::milliseconds MoveTime_{1500};
  /// Factor by which a task is slower away from its data's rack.
  double OffRackSlowdown_ = 2.0;
  /// Time from SIGTERM to SIGKILL.
  std::chrono::milliseconds StopGrace_{6000};
};

} // namespace dragonflylock

#endif
