#ifndef DRAGONFLYLOCK_SCHEDULING_INTERNAL_POOLREPORTER_H
#define DRAGONFLYLOCK_SCHEDULING_INTERNAL_POOLREPORTER_H

#include "global/iclock.h"

#include <cstdint>

namespace dragonflylock {

class ActiveJob;
class DemandTracker;
class Dispatcher;
class JobFollower;
struct PoolState;
struct PoolView;

/// Reports the state of a pool to operators and to the log.
class PoolReporter {
public:
  PoolReporter(PoolState &Pool, const DemandTracker &Demands,
               const Dispatcher &Starts, const JobFollower &Follower)
      : Pool_(Pool), Demands_(Demands), Dispatcher_(Starts),
        Follower_(Follower) {}

  PoolView view() const;
  /// Logs the state of the pool at intervals, and the jobs whose tasks have
  /// waited the longest with what keeps them from starting.
  void tick();

private:
  /// Number of workers in each state that matters for starts.
  struct WorkerCounts {
    std::uint64_t Usable_ = 0;
    std::uint64_t Unfenced_ = 0;
    std::uint64_t NotInRoster_ = 0;
    std::uint64_t Draining_ = 0;
    std::uint64_t Unanswering_ = 0;
    std::uint64_t SetAside_ = 0;
  };

  WorkerCounts countWorkers() const;
  void logStatus() const;
  void logWaitingJobs() const;
  void logWaitingJob(const ActiveJob &Job) const;

  PoolState &Pool_;
  const DemandTracker &Demands_;
  const Dispatcher &Dispatcher_;
  const JobFollower &Follower_;
  TimePoint NextReport_;
};

} // namespace dragonflylock

#endif
