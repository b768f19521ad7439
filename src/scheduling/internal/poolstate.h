#ifndef DRAGONFLYLOCK_SCHEDULING_INTERNAL_POOLSTATE_H
#define DRAGONFLYLOCK_SCHEDULING_INTERNAL_POOLSTATE_H

#include "scheduling/activejob.h"
#include "scheduling/internal/jobindex.h"
#include "scheduling/schedulingsettings.h"
#include "scheduling/workersession.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace dragonflylock {

class IClock;
class ILogger;
class IStore;
class IWorkerControl;

/// An end that may be acknowledged once its job's progress is stored.
struct PendingAcknowledgement {
  std::string Worker_;
  std::uint64_t Sequence_ = 0;
  /// The job's change that holds the end's consequence.
  std::uint64_t Change_ = 0;
};

/// What the parts of a pool's owner share. Used by the thread that decides.
struct PoolState {
  PoolState(std::string Pool, const SchedulingSettings &Settings,
            const IClock &Clock, IStore &Store, IWorkerControl &Workers,
            ILogger &Logger)
      : Pool_(std::move(Pool)), Settings_(Settings), Clock_(Clock),
        Store_(Store), Workers_(Workers), Logger_(Logger), Index_(*this) {}

  std::string Pool_;
  const SchedulingSettings &Settings_;
  const IClock &Clock_;
  IStore &Store_;
  IWorkerControl &Workers_;
  ILogger &Logger_;

  FencingToken Token_ = 0;
  /// The run number before the first one of this owner.
  RunNumber RunNumberBase_ = 0;
  /// When runs that an earlier owner started have lapsed for certain.
  TimePoint InheritedRunsExpireAt_;
  /// End of the owner's lease.
  TimePoint LeaseEnd_;
  /// By job id; to be changed by addJob and removeJob.
  std::map<std::string, std::unique_ptr<ActiveJob>> Jobs_;
  JobIndex Index_;
  /// By lifetime.
  std::map<std::string, std::unique_ptr<WorkerSession>> Sessions_;
  std::shared_ptr<const SchedulingConfiguration> Configuration_;
  /// Whether the roster of the earlier owners has been read. Where it is
  /// missing, each worker may have had their orders.
  bool IsRosterKnown_ = false;
  /// By job id.
  std::map<std::string, std::vector<PendingAcknowledgement>>
      PendingAcknowledgements_;
  /// Whether the pool's work needs more machines than it has.
  bool LacksMachines_ = false;
  /// Whether something has changed that may let a task start.
  bool NeedsDispatch_ = false;
  /// Whether something has changed that may make a run unwanted.
  bool NeedsStopCheck_ = false;

  /// \returns whether this process still owns the pool. To be asked right
  /// before each act, since the process may have been paused.
  bool holdsLease() const;
  /// \returns the session of the worker's lifetime, which is made where there
  /// is none.
  WorkerSession &findOrCreateSession(const WorkerEntry &Entry);
  /// \returns whether something that an earlier owner started may run on the
  /// worker without this owner knowing of it, until its lease has lapsed.
  bool mayHaveInheritedRuns(const WorkerSession &Session) const;
  void addJob(std::unique_ptr<ActiveJob> Job);
  void removeJob(ActiveJob &Job);
  ActiveJob *job(const std::string &Id);
  WorkerSession *session(const std::string &Lifetime);
  /// \returns the registered worker on the machine, or null.
  WorkerSession *sessionOn(const std::string &Machine);
  /// \returns the queue's setting, or defaults where it has been removed.
  const QueueSetting &queueOf(const ActiveJob &Job) const;
  /// \returns when a lease granted at \p Now has ended for certain.
  TimePoint latestLeaseExpiry(TimePoint Now) const;
  std::chrono::milliseconds wallTime() const;
};

} // namespace dragonflylock

#endif
