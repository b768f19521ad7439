#ifndef DRAGONFLYLOCK_SCHEDULING_POOLOWNER_H
#define DRAGONFLYLOCK_SCHEDULING_POOLOWNER_H

#include "scheduling/schedulingtypes.h"
#include "scheduling/storetypes.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace dragonflylock {

class CustomerUsage;
class DemandTracker;
class IAdvisor;
class IClock;
class ICustomerLimits;
class ILogger;
class IMachineControl;
class IStore;
class IWorkerControl;
class MachineOrderTracker;
struct PoolBacklog;
struct PoolView;
struct SchedulingSettings;

/// A node's ownership of a pool, from the moment it acquired the pool's lease.
struct PoolOwnership {
  std::string Pool_;
  FencingToken Token_ = 0;
  /// Range of run numbers that is reserved for this owner; 0 if the pool has
  /// had no other owner.
  std::uint64_t RunNumberRange_ = 0;
  /// Lease expiry on this process's clock.
  TimePoint LeaseEnd_;
  /// Time by which the previous owner had certainly stopped acting. Unset if
  /// that is certain only from the takeover on.
  std::optional<TimePoint> PredecessorEnd_;
  /// Token of the previous owner; 0 if there was none.
  FencingToken PredecessorToken_ = 0;
};

/// Schedules the jobs of one pool while this node owns it: places tasks on
/// workers, renews the workers' leases, stores the progress of jobs and drains
/// machines for maintenance. Not thread-safe; used only by the decision thread.
class PoolOwner {
public:
  /// Collects the dependencies of an owner; all of them must outlive it.
  class Builder {
  public:
    Builder &settings(const SchedulingSettings &Value);
    Builder &clock(const IClock &Value);
    Builder &store(IStore &Value);
    Builder &workers(IWorkerControl &Value);
    Builder &machines(IMachineControl &Value);
    Builder &advisor(IAdvisor &Value);
    Builder &machineOrders(MachineOrderTracker &Value);
    Builder &demands(DemandTracker &Value);
    /// \param Value null if customers have no limits.
    Builder &limits(ICustomerLimits *Value);
    Builder &logger(ILogger &Value);
    /// \returns an owner that issues no calls before its first tick().
    std::unique_ptr<PoolOwner> build(const PoolOwnership &Ownership) const;

  private:
    friend class PoolOwner;
    const SchedulingSettings *Settings_ = nullptr;
    const IClock *Clock_ = nullptr;
    IStore *Store_ = nullptr;
    IWorkerControl *Workers_ = nullptr;
    IMachineControl *Machines_ = nullptr;
    IAdvisor *Advisor_ = nullptr;
    MachineOrderTracker *MachineOrders_ = nullptr;
    DemandTracker *Demands_ = nullptr;
    ICustomerLimits *Limits_ = nullptr;
    ILogger *Logger_ = nullptr;
  };

  ~PoolOwner();
  PoolOwner(const PoolOwner &) = delete;
  PoolOwner &operator=(const PoolOwner &) = delete;

  /// Called when the lease has been renewed until \p End.
  /// \param Renewal the version of the renewal; orders carry it as their token
  ///   if a worker of the pool has seen a higher token than the owner's.
  /// \param RunNumberRange the last range of run numbers that is reserved for
  ///   the owner.
  void extendLease(TimePoint End, FencingToken Renewal,
                   std::uint64_t RunNumberRange);
  void
  onConfiguration(std::shared_ptr<const SchedulingConfiguration> Configuration);
  /// Adds queues that may hold jobs of the pool.
  void addQueues(const std::set<std::string> &Queues);
  /// Updates the sessions from the worker registry.
  /// \param Workers all registered workers, including those of other pools.
  void onWorkers(const std::vector<WorkerEntry> &Workers);
  /// Adds or updates maintenance waves that operators have requested.
  void onWaves(const std::vector<MaintenanceWave> &Waves);
  /// Performs all work that is due.
  void tick();

  const std::string &pool() const;
  FencingToken token() const;
  /// \returns the last range of run numbers that this owner needs.
  std::uint64_t requestedRunNumberRange() const;
  /// \returns the number of accepted jobs that have not started, by queue;
  /// std::nullopt until the jobs have been loaded.
  std::optional<std::map<std::string, std::uint64_t>> pendingJobs() const;
  /// \returns what the customers run in the pool; null until the jobs have been
  /// loaded.
  const CustomerUsage *customerUsage();
  /// \returns whether customerUsage() counts only tasks that may really run,
  /// and not all that previous owners may have started.
  bool isUsageExact() const;
  /// Starts tasks with the next tick(), if there are any to start.
  void requestDispatch();
  /// \returns the pool's backlog as of now, or nothing if there is none or the
  /// jobs have not been loaded. Called at each report of the pending jobs.
  std::optional<PoolBacklog> measureBacklog();
  /// \returns the rows to store when the pool is released, which tell the next
  /// owner what may run on which worker. This owner must not act any more.
  std::vector<StorePut> rowsForRelease() const;
  /// \returns the pool's state as shown to operators.
  PoolView view() const;
  /// \returns the job's state, or std::nullopt if this owner does not hold the
  /// job.
  std::optional<JobPhase> stateOf(const std::string &Job) const;

private:
  struct Parts;
  explicit PoolOwner(std::unique_ptr<Parts> Built);

  std::unique_ptr<Parts> Parts_;
};

} // namespace dragonflylock

#endif
