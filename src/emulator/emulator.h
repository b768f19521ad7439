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

/// What an emulated day is made of.
struct EmulatorOptions {
  std::uint64_t Seed_ = 1;
  std::uint32_t Nodes_ = 5;
  std::uint32_t Pools_ = 2;
  std::uint32_t WorkersPerPool_ = 6;
  std::uint32_t SpareMachines_ = 4;
  Resources WorkerCapacity_{16000, 32768, 0};
  /// Jobs that callers submit in each second of all pools.
  double JobsPerSecond_ = 6;
  /// Time in which jobs are submitted and faults begin.
  std::chrono::milliseconds TrafficDuration_{30000};
  /// Time after the traffic in which accepted jobs must end.
  std::chrono::milliseconds CompletionTimeout_{40000};
  /// Faults that begin during the traffic.
  std::uint32_t Faults_ = 6;
  /// Whether a maintenance wave is announced.
  bool HasMaintenanceWave_ = true;
  /// Whether the last pool's queue needs advice for its steps.
  bool HasAdvice_ = true;
  /// Share of the tasks that fail.
  double FailureProbability_ = 0.02;
  /// Processor time of a node for each call that it makes and each answer that
  /// it reads, which it does one after the other; 0 plays without it.
  std::chrono::microseconds CpuTimePerCall_{0};
  /// Pause of a caller before it asks for its job's state again.
  std::chrono::milliseconds PollInterval_{700};
  /// When all nodes lose power for a moment.
  std::optional<std::chrono::milliseconds> PowerLossAt_;
  /// What each node's link carries of the store's answers; 0 for no limit.
  std::uint64_t LinkBytesPerSecond_ = 0;
};

/// What came of an emulated day.
struct EmulatorReport {
  std::vector<std::string> Violations_;
  /// The faults that were played, with the time of each.
  std::vector<std::string> Faults_;
  std::size_t Jobs_ = 0;
  std::size_t Accepted_ = 0;
  std::size_t Completed_ = 0;
  /// Times that a node lost a pool because its lease had ended.
  std::size_t ExpiredPoolLeases_ = 0;
};

/// Plays a day with the real decisions of several nodes against model
/// workers, a model store and model callers, in virtual time and from one
/// seed.
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
