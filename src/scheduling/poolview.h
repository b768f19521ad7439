#ifndef DRAGONFLYLOCK_SCHEDULING_POOLVIEW_H
#define DRAGONFLYLOCK_SCHEDULING_POOLVIEW_H

#include "scheduling/schedulingtypes.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace dragonflylock {

/// What the owner of a pool knows of it, for operators.
struct PoolView {
  std::string Pool_;
  FencingToken Token_ = 0;
  /// Time until the owner's lease ends.
  std::chrono::milliseconds LeaseLeft_{0};
  std::uint64_t Jobs_ = 0;
  /// How often the owner has looked for a start of a job's tasks.
  std::uint64_t JobVisits_ = 0;
  std::uint64_t Runs_ = 0;
  /// Tasks that could start and have no room.
  std::uint64_t WaitingTasks_ = 0;
  std::uint64_t Workers_ = 0;
  Resources Free_;
  Resources Total_;
  /// Machines that the pool asks others for, and that are on their way.
  std::uint64_t MissingMachines_ = 0;
  std::uint64_t IncomingMachines_ = 0;
};

} // namespace dragonflylock

#endif
