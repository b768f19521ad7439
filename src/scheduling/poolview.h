#ifndef DRAGONFLYLOCK_SCHEDULING_POOLVIEW_H
#define DRAGONFLYLOCK_SCHEDULING_POOLVIEW_H

#include "scheduling/schedulingtypes.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace dragonflylock {

/// State of a pool as its owner reports it to operators.
struct PoolView {
  std::string Pool_;
  FencingToken Token_ = 0;
  /// Time until the owner's lease expires.
  std::chrono::milliseconds LeaseLeft_{0};
  std::uint64_t Jobs_ = 0;
  /// How many times dispatch has examined a job for startable tasks.
  std::uint64_t JobVisits_ = 0;
  std::uint64_t Runs_ = 0;
  /// Tasks that are ready to start but have not been started.
  std::uint64_t WaitingTasks_ = 0;
  std::uint64_t Workers_ = 0;
  Resources Free_;
  Resources Total_;
  /// Machines that the pool requests in addition to IncomingMachines_, the
  /// machines already on their way to it.
  std::uint64_t MissingMachines_ = 0;
  std::uint64_t IncomingMachines_ = 0;
};

} // namespace dragonflylock

#endif
