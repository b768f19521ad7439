#ifndef DRAGONFLYLOCK_SCHEDULING_SCHEDULINGSETTINGS_H
#define DRAGONFLYLOCK_SCHEDULING_SCHEDULINGSETTINGS_H

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace dragonflylock {

/// Identity of one node and the limits in force.
struct SchedulingSettings {
  /// Name of this node, which identifies it as the holder of its leases.
  std::string Node_;
  std::string Zone_;
  /// CPU cores that the node may use.
  double Cores_ = 1.0;
  /// Duration of a pool owner's lease without renewal.
  std::chrono::milliseconds OwnerLease_{3000};
  /// Time before lease expiry at which an owner stops acting.
  std::chrono::milliseconds LeaseMargin_{300};
  /// Maximum duration of the lease under which a worker executes its runs.
  std::chrono::milliseconds MaxWorkerLease_{6000};
  /// Longest time after which an order without a response may still be carried
  /// out, also by a later lifetime of the worker.
  std::chrono::milliseconds MaxOrderDelay_{12500};
  /// Time for which members of a gang wait on their workers for the other
  /// members.
  std::chrono::milliseconds GangTimeout_{3000};
  /// Time within which a worker must stop a run.
  std::chrono::milliseconds StopTimeout_{200};
  /// Time for which the state of an ended job can still be queried.
  std::chrono::milliseconds StatusRetention_{120000};
  /// Time after a job's cancellation within which its last task may start.
  std::chrono::milliseconds CancelLimit_{3000};
  /// Maximum time by which an occurrence may start before its due time.
  std::chrono::milliseconds MaxEarlyStart_{250};
  /// Time for which a task may be absent before it counts as unavailable.
  std::chrono::milliseconds UnavailabilityTolerance_{4500};
  /// Time for which a serving task may miss its latency target.
  std::chrono::milliseconds LatencyMissTolerance_{4000};
  /// Delay until a pace order takes effect.
  std::chrono::milliseconds PaceDelay_{100};
  /// Duration of a machine's maintenance.
  std::chrono::milliseconds MaintenanceTime_{2000};
  /// Time that a machine needs to move to another pool.
  std::chrono::milliseconds MoveTime_{1500};
  /// Factor by which a task is slower outside the rack that holds its data.
  double OffRackSlowdown_ = 2.0;
  /// Time within which a stored configuration must be in force.
  std::chrono::milliseconds ConfigurationDelay_{2000};
  /// Time after which no task may be started on a draining worker.
  std::chrono::milliseconds DrainDelay_{2000};
  /// Time from SIGTERM to SIGKILL.
  std::chrono::milliseconds StopGrace_{6000};
  /// Whether calls on queues that are not public need a customer's key.
  bool HasCustomers_ = false;
  /// Whether the limits of customers are enforced.
  bool HasCustomerLimits_ = false;
  /// Whether jobs that cannot be served in time are refused.
  bool RefusesUnderPressure_ = false;
  /// Time after which a key that was taken away must have no effect on any
  /// node; unset if nodes without a current configuration may accept keys.
  std::optional<std::chrono::milliseconds> RevocationDelay_;
  /// Share of its limit by which a customer may exceed it.
  double LimitOverage_ = 0;
  /// Memory that the process may use, in MB; 0 if not known.
  std::uint64_t MemoryLimitMb_ = 0;
  /// Descriptors that the process may use; 0 if not known.
  std::uint64_t MaxDescriptors_ = 0;
};

} // namespace dragonflylock

#endif
