#ifndef DRAGONFLYLOCK_SCHEDULING_INTERNAL_RUNBOOK_H
#define DRAGONFLYLOCK_SCHEDULING_INTERNAL_RUNBOOK_H

#include "scheduling/schedulingtypes.h"
#include "scheduling/workercalls.h"

#include <string>

namespace dragonflylock {

class ActiveJob;
class WorkerSession;
struct PoolState;

/// Follows the runs of a pool's tasks: what workers list, how runs end, and
/// what that makes of their jobs.
class RunBook {
public:
  explicit RunBook(PoolState &Pool) : Pool_(Pool) {}

  /// Takes in an end that \p Session listed.
  void onEnd(WorkerSession &Session, const ListedEnd &End);
  /// Takes in a run that \p Session lists as running.
  /// \returns false where the run should not exist and is to be stopped.
  bool onListed(WorkerSession &Session, const ListedRun &Listed);
  /// Forgets a run that can't exist any more; its task may start again.
  void release(WorkerSession &Session, const TaskName &Name);
  /// Forgets all runs of a lifetime that has ended.
  void releaseAll(WorkerSession &Session);
  /// Decides whether the job has ended, and notes its state.
  void judge(ActiveJob &Job);

private:
  void noteDone(ActiveJob &Job, const TaskName &Name);
  void noteFailure(WorkerSession &Session, ActiveJob &Job,
                   const ListedEnd &End);
  void countFailure(WorkerSession &Session, const ActiveJob &Job,
                    const ListedEnd &End);
  bool hasFailed(ActiveJob &Job) const;

  PoolState &Pool_;
};

} // namespace dragonflylock

#endif
