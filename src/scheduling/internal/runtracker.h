#ifndef DRAGONFLYLOCK_SCHEDULING_INTERNAL_RUNTRACKER_H
#define DRAGONFLYLOCK_SCHEDULING_INTERNAL_RUNTRACKER_H

#include "scheduling/internal/crashblame.h"
#include "scheduling/schedulingtypes.h"
#include "scheduling/workercalls.h"

#include <cstdint>
#include <functional>
#include <string>

namespace dragonflylock {

class ActiveJob;
class WorkerSession;
struct TaskRun;
struct PoolState;
struct SessionRun;

/// Tracks the runs of a pool's tasks from the lists of the workers, and updates
/// the state of their jobs.
class RunTracker {
public:
  explicit RunTracker(PoolState &Pool) : Pool_(Pool) {}

  /// Processes a run end that \p Session listed.
  void onRunEnded(WorkerSession &Session, const ListedEnd &End);
  /// Called when a task of the job is known to run.
  static void recordRunning(ActiveJob &Job);
  /// Processes a run that \p Session lists as running.
  /// \returns false if the run should not exist and has to be stopped.
  bool onRunListed(WorkerSession &Session, const ListedRun &Listed);
  /// Called when the worker's lifetime is known to have ended, before its runs
  /// are removed. If the worker has crashed, the tasks that it had just started
  /// are suspected; a task that is suspected too often is given up.
  void recordCrash(WorkerSession &Session);
  /// Called when the registry no longer lists the worker's lifetime.
  void noteGone(const WorkerSession &Session);
  /// Gives up the tasks that are to blame for crashes during their trials.
  void judgeTrials();
  /// Removes a run that certainly does not exist now, so that its task may
  /// start again, or may once a start without a response can no longer be
  /// carried out.
  void release(WorkerSession &Session, const TaskName &Name);
  /// Removes all runs of a lifetime whose id no worker has any more, because a
  /// machine order has ended it or another worker is on its machine.
  void releaseAll(WorkerSession &Session);
  /// Removes the runs that ended with their worker's lifetime. A start that
  /// this lifetime has not listed may have reached a later lifetime, which uses
  /// the same worker id, so that run stays until the later lifetime has been
  /// asked.
  void releaseListed(WorkerSession &Session);
  /// Removes the runs that no lifetime of the worker id can be executing.
  /// \param Time when the id had no lifetime, by the list of machines.
  void releaseConfirmedBefore(WorkerSession &Session, TimePoint Time);
  /// Removes the runs whose leases have expired.
  void releaseExpired(WorkerSession &Session);
  /// Removes the runs that ended with \p Session. Runs that may have reached \p
  /// Successor instead, a later lifetime of the same worker id, move there and
  /// are marked to be stopped.
  void transferRuns(WorkerSession &Session, WorkerSession &Successor);
  /// Updates the state of the job if all its tasks are done, it has failed or
  /// it has been cancelled.
  void updateJobState(ActiveJob &Job);

private:
  void releaseMatching(WorkerSession &Session,
                       const std::function<bool(const SessionRun &)> &IsOver);
  /// Updates the run from what its worker lists.
  void applyListedRun(TaskRun &Run, const std::string &Lifetime,
                      const ListedRun &Listed) const;
  void recordCheckpoint(ActiveJob &Job, const TaskName &Name,
                        const std::string &Checkpoint);
  /// Counts the run of a task that has ended as done.
  void countFinishedWork(const StepSpec &Step, const TaskRun &Run);
  void markDone(ActiveJob &Job, const TaskName &Name);
  void markTaskDone(ActiveJob &Job, const TaskName &Name);
  void noteFailure(WorkerSession &Session, ActiveJob &Job,
                   const ListedEnd &End);
  void countWorkerFailure(WorkerSession &Session, const ActiveJob &Job,
                          const ListedEnd &End);
  /// Called when a run of a long-running task has ended by itself. Delays the
  /// next start if the task's runs are short and the pool has used up its
  /// immediate restarts for now.
  void delayRestart(const TaskName &Name, TaskRun &Run);
  /// \returns whether no more than half of the workers would be set aside. When
  /// runs fail on most workers, the cause is more likely to be the tasks.
  bool maySetAside(const WorkerSession &Candidate) const;
  /// Records that the worker crashed shortly after it had started the run.
  void suspect(const WorkerSession &Session, const TaskName &Name,
               RunNumber Run);
  /// Records that the task is to blame for another crash.
  void addCrashedRun(ActiveJob &Job, const TaskName &Name, RunNumber Run);
  void applyVerdict(const CrashVerdict &Verdict);
  bool hasFailed(ActiveJob &Job) const;

  PoolState &Pool_;
  CrashBlame Blame_;
  /// Immediate restarts after short runs in the current interval.
  std::uint32_t ImmediateRestarts_ = 0;
  TimePoint RestartIntervalEnd_;
};

} // namespace dragonflylock

#endif
