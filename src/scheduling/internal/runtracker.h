#ifndef DRAGONFLYLOCK_SCHEDULING_INTERNAL_RUNTRACKER_H
#define DRAGONFLYLOCK_SCHEDULING_INTERNAL_RUNTRACKER_H

#include "scheduling/schedulingtypes.h"
#include "scheduling/workercalls.h"

#include <functional>
#include <string>

namespace dragonflylock {

class ActiveJob;
class WorkerSession;
struct TaskRun;
struct PoolState;
struct SessionRun;

/// Follows the runs of a pool's tasks: what workers list, how runs end, and
/// what that makes of their jobs.
class RunTracker {
public:
  explicit RunTracker(PoolState &Pool) : Pool_(Pool) {}

  /// Takes in an end that \p Session listed.
  void onRunEnded(WorkerSession &Session, const ListedEnd &End);
  /// Takes in a run that \p Session lists as running.
  /// \returns false where the run should not exist and is to be stopped.
  bool onRunListed(WorkerSession &Session, const ListedRun &Listed);
  /// Forgets a run that can't exist any more; its task may start again.
  void release(WorkerSession &Session, const TaskName &Name);
  /// Forgets all runs of a lifetime whose leases have lapsed, or that an order
  /// has ended.
  void releaseAll(WorkerSession &Session);
  /// Takes those runs as ended whose start was confirmed.
  void releaseConfirmed(WorkerSession &Session);
  /// Forgets the runs that ended with their worker's lifetime. A start that
  /// this lifetime has not listed since may have reached a later one, which
  /// answers to the same id; it stays until that one has been asked.
  void releaseEndedLifetime(WorkerSession &Session);
  /// Forgets the runs that ended with \p Session, and has those that may have
  /// reached \p Successor, a later lifetime of the same id, stopped there.
  void transferRuns(WorkerSession &Session, WorkerSession &Successor);
  /// Decides whether the job has ended, and notes its state.
  void updateJobState(ActiveJob &Job);

private:
  void releaseMatching(WorkerSession &Session,
                       const std::function<bool(const SessionRun &)> &IsOver);
  /// Has the run be what a worker lists.
  void applyListedRun(TaskRun &Run, const std::string &Lifetime,
                      const ListedRun &Listed) const;
  void recordCheckpoint(ActiveJob &Job, const TaskName &Name,
                        const std::string &Checkpoint);
  void markDone(ActiveJob &Job, const TaskName &Name);
  void markTaskDone(ActiveJob &Job, const TaskName &Name);
  void noteFailure(WorkerSession &Session, ActiveJob &Job,
                   const ListedEnd &End);
  void countWorkerFailure(WorkerSession &Session, const ActiveJob &Job,
                          const ListedEnd &End);
  bool hasFailed(ActiveJob &Job) const;

  PoolState &Pool_;
};

} // namespace dragonflylock

#endif
