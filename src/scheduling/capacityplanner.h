#ifndef DRAGONFLYLOCK_SCHEDULING_CAPACITYPLANNER_H
#define DRAGONFLYLOCK_SCHEDULING_CAPACITYPLANNER_H

#include <chrono>
#include <cstdint>

namespace dragonflylock {

/// Load of a pool, in machines. A task counts as the largest of the shares that
/// it takes of a machine's processors, memory and accelerators.
struct PoolLoad {
  /// Machines that are ready for jobs.
  std::uint32_t Machines_ = 0;
  /// Machines that the pool has while none is moved from or to another pool.
  std::uint32_t HomeMachines_ = 0;
  /// Capacity that long-running tasks take, in machines.
  double LongRunningLoad_ = 0;
  /// Capacity that the other running tasks take, in machines.
  double RunningLoad_ = 0;
  /// Machines needed so that the tasks that could start now end within
  /// CapacityPlanner::BacklogClearTime.
  double WaitingLoad_ = 0;
  /// Work that was accepted in the last second, in machine-seconds. Equals the
  /// number of machines needed while work keeps arriving at this rate.
  double ArrivalLoad_ = 0;
  /// Arrivals that are predicted for the time until requested machines are
  /// ready, in the unit of ArrivalLoad_; 0 for no prediction.
  double ForecastLoad_ = 0;
  /// Machines needed for all tasks of accepted jobs that have not started,
  /// including those that cannot start yet. Measured only where home machines
  /// may be returned.
  double UnstartedLoad_ = 0;
  /// Longest time for which a job's next tasks have found no free capacity.
  std::chrono::milliseconds LongestWait_{0};
};

/// Computes how many machines a pool needs for its load. Meant for bursts that
/// exceed the pool's capacity for longer than a machine takes to move between
/// pools.
class CapacityPlanner {
public:
  /// Target time to run the waiting tasks after the requested machines have
  /// arrived.
  static constexpr std::chrono::milliseconds BacklogClearTime{2500};

  /// \param MoveTime time during which a machine that moves between two pools
  /// is available to neither.
  explicit CapacityPlanner(std::chrono::milliseconds MoveTime)
      : MoveTime_(MoveTime) {}

  /// \returns the number of machines that the pool needs in addition to those
  /// it has.
  std::uint32_t missingMachines(const PoolLoad &Load) const;
  /// \returns the number of machines that the pool does not need, not counting
  /// its home machines.
  std::uint32_t surplusMachines(const PoolLoad &Load) const;
  /// \returns the number of machines, home machines included, that neither the
  /// accepted work nor the reserve for unforeseen arrivals needs.
  std::uint32_t returnableMachines(const PoolLoad &Load) const;
  /// \returns the number of home machines that always stay in the pool.
  static std::uint32_t reserveOf(std::uint32_t HomeMachines);
  /// \returns how long before a predicted peak its machines are requested.
  std::chrono::milliseconds leadTime() const;
  /// \returns the time until the next predicted peak below which home machines
  /// stay in the pool.
  std::chrono::milliseconds minIdlePhase() const;
  /// \returns the time for which a machine must be idle before it is returned
  /// to the spare pool.
  std::chrono::milliseconds releaseDelay() const;

private:
  std::chrono::milliseconds MoveTime_;
};

} // namespace dragonflylock

#endif
