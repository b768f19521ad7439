#ifndef DRAGONFLYLOCK_SCHEDULING_CAPACITYPLANNER_H
#define DRAGONFLYLOCK_SCHEDULING_CAPACITYPLANNER_H

#include <chrono>
#include <cstdint>

namespace dragonflylock {

/// Load of a pool. A task weighs the largest share of a machine's processors,
/// memory or accelerators that it takes.
struct PoolLoad {
  /// Machines that are ready for jobs.
  std::uint32_t Machines_ = 0;
  /// Machines that the pool has while no other pool borrows or lends.
  std::uint32_t HomeMachines_ = 0;
  /// Machines' worth of room that lasting tasks take.
  double LongRunningLoad_ = 0;
  /// Machines' worth of room that other tasks take which run.
  double RunningLoad_ = 0;
  /// Machines' worth of room in which the tasks that could start now would
  /// end within CapacityPlanner::BacklogClearTime.
  double WaitingLoad_ = 0;
  /// Work that was accepted in the last second, in machine-seconds; the room
  /// that it takes while it goes on arriving.
  double ArrivalLoad_ = 0;
  /// Longest time for which a job's next tasks have found no room.
  std::chrono::milliseconds LongestWait_{0};
};

/// Decides how many machines a pool wants for the work it has. Answers bursts
/// that exceed a pool's machines for longer than a machine needs to move.
class CapacityPlanner {
public:
  /// Time in which waiting tasks are to be worked off once machines have come.
  static constexpr std::chrono::milliseconds BacklogClearTime{2500};

  /// \param MoveTime time in which a machine that changes its pool serves
  /// neither.
  explicit CapacityPlanner(std::chrono::milliseconds MoveTime)
      : MoveTime_(MoveTime) {}

  /// \returns machines that the pool should have besides those it has.
  std::uint32_t missingMachines(const PoolLoad &Load) const;
  /// \returns machines that are not the pool's own and that it does not need.
  std::uint32_t surplusMachines(const PoolLoad &Load) const;
  /// \returns the time for which a machine must be idle before it goes to the
  /// spare pool.
  std::chrono::milliseconds releaseDelay() const;

private:
  std::chrono::milliseconds MoveTime_;
};

} // namespace dragonflylock

#endif
