#ifndef DRAGONFLYLOCK_EMULATOR_EMULATOR_H
#define DRAGONFLYLOCK_EMULATOR_EMULATOR_H

#include "scheduling/schedulingtypes.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace dragonflylock {

/// Processor share of a small node, compared with the other nodes.
inline constexpr double SmallNodeShare = 0.24;

/// Configuration of an emulation.
struct EmulatorOptions {
  std::uint64_t Seed_ = 1;
  std::uint32_t Nodes_ = 5;
  std::uint32_t Pools_ = 2;
  std::uint32_t WorkersPerPool_ = 6;
  std::uint32_t SpareMachines_ = 4;
  Resources WorkerCapacity_{16000, 32768, 0};
  /// Jobs that callers submit per second, over all pools.
  double JobsPerSecond_ = 6;
  /// Period in which jobs are submitted and faults begin.
  std::chrono::milliseconds TrafficDuration_{30000};
  /// Time after the traffic period within which accepted jobs must end.
  std::chrono::milliseconds CompletionTimeout_{40000};
  /// Number of faults that begin during the traffic period.
  std::uint32_t Faults_ = 6;
  /// Number of additional faults in which workers crash, come back under their
  /// old ids and are cut off soon after.
  std::uint32_t ReturningWorkersFaults_ = 0;
  /// Share of the jobs with a step whose tasks take about 10 s.
  double LongJobShare_ = 0;
  /// Share of the callers that get no response to a submission and then cancel
  /// the job instead of submitting it again.
  double GivingUpShare_ = 0;
  /// Whether a maintenance wave is announced.
  bool HasMaintenanceWave_ = true;
  /// Number of waves, if there are any. They are announced one after the other
  /// during the traffic period and overlap.
  std::uint32_t Waves_ = 1;
  /// Whether jobs have the features of addVariety().
  bool HasVariedJobs_ = false;
  /// Number of configurations that follow the first one. They change timeouts,
  /// add queues, to which callers submit at once, and remove them again.
  std::uint32_t ConfigurationChanges_ = 0;
  /// Whether it is checked that no job waits beside idle capacity.
  bool ChecksIdleCapacity_ = false;
  /// Whether the steps of the last pool's queue require advice.
  bool HasAdvice_ = true;
  /// Share of the jobs with one task that crashes each worker that starts it.
  double DeadlyJobShare_ = 0;
  /// Probability that a run fails.
  double FailureProbability_ = 0.02;
  /// CPU time that a node spends on each store call, each start, stop or hold
  /// order and each response. A node processes these one after the other; 0
  /// disables the CPU model.
  std::chrono::microseconds CpuTimePerCall_{0};
  /// Number of nodes that have only SmallNodeShare of the processor of the
  /// others.
  std::uint32_t SmallNodes_ = 0;
  /// Time from the start at which the other nodes are started, if there are
  /// small ones.
  std::chrono::milliseconds LargeNodesStartAt_{0};
  /// Interval at which a caller polls the state of its job.
  std::chrono::milliseconds PollInterval_{700};
  /// Time from the start at which all nodes lose power for about a second.
  std::optional<std::chrono::milliseconds> PowerLossAt_;
  /// Bandwidth of each node's link for store responses; 0 for no limit.
  std::uint64_t LinkBytesPerSecond_ = 0;
};

/// Result of an emulation.
struct EmulatorReport {
  /// Violated invariants, with the time of each.
  std::vector<std::string> Violations_;
  /// Injected faults, with the time and duration of each.
  std::vector<std::string> Faults_;
  std::size_t Jobs_ = 0;
  std::size_t Accepted_ = 0;
  std::size_t Completed_ = 0;
  /// Jobs that were given up although they have no task that crashes workers.
  std::size_t GivenUpWithoutCause_ = 0;
  /// Crashes of workers by tasks.
  std::size_t CrashesByTasks_ = 0;
  /// Number of times that a node lost a pool because its lease had expired.
  std::size_t ExpiredPoolLeases_ = 0;
};

/// Runs several scheduler nodes with their production decision logic against
/// models of the workers, the store and the callers, in virtual time. All
/// random choices derive from one seed.
class Emulator {
public:
  explicit Emulator(EmulatorOptions Options);
  ~Emulator();
  Emulator(const Emulator &) = delete;
  Emulator &operator=(const Emulator &) = delete;

  EmulatorReport run();

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace dragonflylock

#endif
