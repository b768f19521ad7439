#ifndef DRAGONFLYLOCK_SCHEDULING_INTERNAL_POOLSTATE_H
#define DRAGONFLYLOCK_SCHEDULING_INTERNAL_POOLSTATE_H

#include "admission/poolspeedmeter.h"
#include "customers/customerusage.h"
#include "scheduling/activejob.h"
#include "scheduling/internal/jobindex.h"
#include "scheduling/internal/latestarts.h"
#include "scheduling/schedulingsettings.h"
#include "scheduling/workersession.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace dragonflylock {

class IClock;
class ICustomerLimits;
class ILogger;
class IStore;
class IWorkerControl;

/// A run end that is acknowledged to the worker once the job's progress has
/// been stored.
struct PendingAcknowledgement {
  std::string Worker_;
  TaskName Task_;
  std::uint64_t Sequence_ = 0;
  /// Value of ActiveJob::changeCount() that includes the effects of the run
  /// end; this change must be stored first.
  std::uint64_t Change_ = 0;
};

/// State shared by the components of a PoolOwner. Not thread-safe; used only by
/// the decision thread.
struct PoolState {
  PoolState(std::string Pool, const SchedulingSettings &Settings,
            const IClock &Clock, IStore &Store, IWorkerControl &Workers,
            ILogger &Logger)
      : Pool_(std::move(Pool)), Settings_(Settings), Clock_(Clock),
        Store_(Store), Workers_(Workers), Logger_(Logger), Index_(*this),
        LateStarts_(*this) {}

  std::string Pool_;
  const SchedulingSettings &Settings_;
  const IClock &Clock_;
  IStore &Store_;
  IWorkerControl &Workers_;
  ILogger &Logger_;

  /// Token of this owner.
  FencingToken Token_ = 0;
  /// Version of the last renewal of the lease; 0 before the first one.
  FencingToken RenewalToken_ = 0;
  /// All run numbers of this owner are higher than this.
  RunNumber RunNumberBase_ = 0;
  /// Last range of run numbers that is reserved for this owner.
  std::uint64_t ReservedRunNumberRange_ = 0;
  /// Last range of run numbers that this owner has asked for.
  std::uint64_t RequestedRunNumberRange_ = 0;
  /// Time by which the leases of all runs started by previous owners have
  /// certainly expired.
  TimePoint InheritedRunsExpireAt_;
  /// Version of the latest submission that this owner knows, or its token if
  /// that is higher.
  StoreVersion LatestSubmission_ = 0;
  /// Jobs with later submissions may not be started yet; see StartWatermark.
  StoreVersion StartWatermark_ = 0;
  /// No previous owner has started jobs with later submissions. std::nullopt if
  /// that is not known.
  std::optional<StoreVersion> InheritedWatermark_;
  /// Expiry of the owner's lease.
  TimePoint LeaseEnd_;
  /// By job id. Modified only by addJob() and removeJob().
  std::map<std::string, std::unique_ptr<ActiveJob>> Jobs_;
  JobIndex Index_;
  /// Starts without a response, by which tasks may begin to run later.
  LateStarts LateStarts_;
  /// What the customers run. The index keeps it up to date; jobs without a
  /// customer are not counted.
  CustomerUsage Usage_;
  /// Limits of the customers; null if there are none.
  ICustomerLimits *Limits_ = nullptr;
  /// By worker lifetime.
  std::map<std::string, std::unique_ptr<WorkerSession>> Sessions_;
  std::shared_ptr<const SchedulingConfiguration> Configuration_;
  /// Whether the roster of the previous owners was found and read. Without it,
  /// any worker may have received their orders.
  bool IsRosterKnown_ = false;
  /// By job id.
  std::map<std::string, std::vector<PendingAcknowledgement>>
      PendingAcknowledgements_;
  /// Sum over the tasks that this owner has started and seen finished.
  FinishedWork Finished_;
  /// Whether the pool's work needs more machines than the pool has.
  bool LacksMachines_ = false;
  /// Set when a change may allow a task to start.
  bool NeedsDispatch_ = false;
  /// Set when a change may make a run unwanted.
  bool NeedsStopCheck_ = false;

  /// \returns whether this process still owns the pool, allowing for the lease
  /// margin. Call it immediately before each action, because the process may
  /// have been suspended.
  bool holdsLease() const;
  /// \returns whether no other owner uses the run number. Requests a further
  /// range when half of the last one is used, so that starts need not wait.
  bool isRunNumberReserved(RunNumber Number);
  /// \returns the session of the worker's lifetime, creating it if necessary.
  WorkerSession &findOrCreateSession(const WorkerEntry &Entry);
  /// \returns the sessions of all lifetimes of the worker id.
  std::vector<WorkerSession *> lifetimesOf(const std::string &Id) const;
  /// \returns the session of the lifetime of the same id that started last, if
  /// it started after that of \p Session; null otherwise.
  const WorkerSession *successorOf(const WorkerSession &Session) const;
  /// \returns the session of the id's lifetime that started last, or null.
  WorkerSession *latestOf(const std::string &Id) const;
  /// Gives each worker without a token one that is higher than those of the
  /// orders to its earlier lifetimes, if the last renewal provides it. Raises
  /// the token of workers with an acknowledgement that may still be carried
  /// out.
  void assignTokens();
  /// Raises the token of the worker by one. All tokens up to the version of the
  /// last renewal are this owner's, since the next owner's is higher.
  /// \returns false if there is none left until the next renewal.
  bool raiseToken(WorkerSession &Session) const;
  /// Called when an order that may grant a lease has been answered or has
  /// failed, unless the worker's lifetime has listed its runs in response. A
  /// later lifetime of the same id may just have carried it out.
  void onOrderEnded(const WorkerSession &Session, OrderOutcome Outcome);
  /// \returns whether the worker may be executing runs that a previous owner
  /// started and that this owner does not know of. Lease expiry is not
  /// considered.
  bool mayHaveInheritedRuns(const WorkerSession &Session) const;
  /// \returns the same as mayHaveInheritedRuns(), but false once the leases of
  /// such runs have certainly expired.
  bool mayHaveUnexpiredInheritedRuns(const WorkerSession &Session) const;
  /// Called when the worker has refused an order because it has seen a higher
  /// token, for example that of another pool's owner which did not know of the
  /// worker's move. Later orders to the worker carry the token of the last
  /// renewal.
  void onFenced(WorkerSession &Session);
  void addJob(std::unique_ptr<ActiveJob> Job);
  void removeJob(ActiveJob &Job);
  ActiveJob *job(const std::string &Id);
  /// \returns whether the limit of the job's customer admits the start of \p
  /// Tasks tasks that need \p PerTask each.
  bool mayStart(const ActiveJob &Job, const Resources &PerTask,
                std::size_t Tasks) const;
  WorkerSession *session(const std::string &Lifetime);
  /// \returns the registered worker on the machine, or null.
  WorkerSession *sessionOn(const std::string &Machine);
  /// \returns the policy of the job's queue, or the one that it had when the
  /// job was accepted if the queue is no longer configured.
  const QueuePolicy &policyOf(const ActiveJob &Job) const;
  /// \returns the time by which a lease granted to a worker at \p Now has
  /// certainly expired.
  TimePoint latestLeaseExpiry(TimePoint Now) const;
  std::chrono::milliseconds wallTime() const;

private:
  /// Marks the earlier ones of the id's lifetimes as superseded.
  void supersedeEarlierLifetimes(const std::string &Id);
  void assignToken(WorkerSession &Session);
};

} // namespace dragonflylock

#endif
