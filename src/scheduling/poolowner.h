#ifndef DRAGONFLYLOCK_SCHEDULING_POOLOWNER_H
#define DRAGONFLYLOCK_SCHEDULING_POOLOWNER_H

#include "scheduling/schedulingtypes.h"
#include "scheduling/storetypes.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace dragonflylock {

class DemandBoard;
class IAdvisor;
class IClock;
class ILogger;
class IMachineControl;
class IStore;
class IWorkerControl;
class MachineLedger;
struct PoolView;
struct SchedulingSettings;

/// How a node came to own a pool.
struct PoolOwnership {
  std::string Pool_;
  FencingToken Token_ = 0;
  /// Number of owners that the pool had before.
  std::uint64_t Predecessors_ = 0;
  /// End of the lease, by this process's clock.
  TimePoint LeaseEnd_;
  /// When the owner before this one had stopped acting for certain; unset
  /// where that is only known of the moment of the takeover.
  std::optional<TimePoint> PredecessorEnd_;
};

/// Schedules the jobs of one pool while this node owns it: places tasks on
/// workers, keeps their leases, stores what has ended, and empties machines
/// for their maintenance. Used by the thread that decides.
class PoolOwner {
public:
  /// Collects what an owner works with; all must outlive it.
  class Builder {
  public:
    Builder &settings(const SchedulingSettings &Value);
    Builder &clock(const IClock &Value);
    Builder &store(IStore &Value);
    Builder &workers(IWorkerControl &Value);
    Builder &machines(IMachineControl &Value);
    Builder &advisor(IAdvisor &Value);
    Builder &ledger(MachineLedger &Value);
    Builder &demands(DemandBoard &Value);
    Builder &logger(ILogger &Value);
    /// \returns an owner that has not begun to act.
    std::unique_ptr<PoolOwner> build(const PoolOwnership &Ownership) const;

  private:
    friend class PoolOwner;
    const SchedulingSettings *Settings_ = nullptr;
    const IClock *Clock_ = nullptr;
    IStore *Store_ = nullptr;
    IWorkerControl *Workers_ = nullptr;
    IMachineControl *Machines_ = nullptr;
    IAdvisor *Advisor_ = nullptr;
    MachineLedger *Ledger_ = nullptr;
    DemandBoard *Demands_ = nullptr;
    ILogger *Logger_ = nullptr;
  };

  ~PoolOwner();
  PoolOwner(const PoolOwner &) = delete;
  PoolOwner &operator=(const PoolOwner &) = delete;

  /// Notes that the lease was renewed until \p End.
  void extendLease(TimePoint End);
  void
  onConfiguration(std::shared_ptr<const SchedulingConfiguration> Configuration);
  /// Takes in all workers that are registered, also those of other pools.
  void onWorkers(const std::vector<WorkerEntry> &Workers);
  /// Takes in the waves that operators have asked for.
  void onWaves(const std::vector<MaintenanceWave> &Waves);
  /// Does what is due.
  void tick();

  const std::string &pool() const;
  FencingToken token() const;
  /// \returns for each queue how many accepted jobs have not begun; nothing
  /// before they have been loaded.
  std::optional<std::map<std::string, std::uint64_t>> pendingJobs() const;
  /// \returns what operators are shown of the pool.
  PoolView view() const;
  /// \returns the job's state, or nothing for one that is not held here.
  std::optional<JobPhase> stateOf(const std::string &Job) const;

private:
  struct Parts;
  explicit PoolOwner(std::unique_ptr<Parts> Built);

  std::unique_ptr<Parts> Parts_;
};

} // namespace dragonflylock

#endif
