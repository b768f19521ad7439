#ifndef DRAGONFLYLOCK_SCHEDULING_INTERNAL_INHERITEDRUNS_H
#define DRAGONFLYLOCK_SCHEDULING_INTERNAL_INHERITEDRUNS_H

#include "global/iclock.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <set>
#include <string>

namespace dragonflylock {

class WorkerSession;
struct PoolState;

/// Decides when tasks that previous owners of the pool may have started can be
/// started by this owner. A task has to wait as long as a worker may be
/// running it that has not answered this owner:
/// - If the previous owner has recorded what may run on the worker, the
/// recorded
///   tasks wait, until the worker has answered or its leases have expired.
/// - Otherwise all tasks wait, since the worker may run any of them, apart from
///   those of jobs that no previous owner can have started; see StartWatermark.
/// This decides how long a pool stands still after a change of owner while some
/// workers are cut off.
class InheritedRuns {
public:
  /// \param HasPredecessor whether a previous owner may have left runs behind.
  InheritedRuns(PoolState &Pool, bool HasPredecessor)
      : Pool_(Pool), HasPredecessor_(HasPredecessor) {}

  /// Called when the jobs of the pool have been loaded. Their tasks wait from
  /// now on if there was a previous owner.
  void onLoaded();
  /// Lets the tasks start that no worker can be running any more. Call it after
  /// onLoaded() whenever workers may have answered or leases expired.
  void update();
  /// \returns whether it is known which tasks may still run for previous
  /// owners; before, all tasks that they may have started count.
  bool isSettled() const { return IsSettled_; }
  /// \returns whether machines may be maintained and moved: before every worker
  /// has been contacted, it is not known which runs such an order would end.
  bool mayOrderMachines() { return IsSettled_ && areWorkersContacted(); }

private:
  /// \returns whether every worker that a previous owner may have used has
  /// answered this owner, has failed to, or can't be asked.
  bool areWorkersContacted();
  /// \returns whether the worker has answered, has failed to, or can't be
  /// asked.
  bool isContacted(const WorkerSession &Session) const;
  /// \returns whether all tasks that may be running for a previous owner are
  /// known.
  bool isEveryRunKnown() const;
  /// Makes the tasks wait that may run on workers which have not answered, and
  /// lets the others start.
  void settle(bool HaveLeasesExpired);
  /// Lets the tasks start whose worker has answered since the last call.
  void releaseAnswered();
  /// Logs at intervals which workers keep inherited tasks from starting.
  void logWait();
  std::chrono::milliseconds timeSinceLoaded() const;

  PoolState &Pool_;
  const bool HasPredecessor_;
  bool IsSettled_ = false;
  bool WereWorkersContacted_ = false;
  /// By worker lifetime: the tasks that may run on a worker that has not
  /// answered.
  std::map<std::string, std::set<std::string>> TasksInDoubt_;
  /// By task: the number of workers in TasksInDoubt_ that may run it.
  std::map<std::string, std::size_t> WorkersInDoubt_;
  TimePoint LoadedAt_;
  TimePoint NextWaitLog_;
};

} // namespace dragonflylock

#endif
