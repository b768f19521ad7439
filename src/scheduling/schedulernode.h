#ifndef DRAGONFLYLOCK_SCHEDULING_SCHEDULERNODE_H
#define DRAGONFLYLOCK_SCHEDULING_SCHEDULERNODE_H

#include "scheduling/jobrequesthandler.h"
#include "scheduling/schedulingsettings.h"
#include "scheduling/schedulingtypes.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace dragonflylock {

class IAdvisor;
class IClock;
class ILogger;
class IMachineControl;
class IStore;
class IWorkerControl;
struct PoolView;

/// Everything that one node decides: which pools it owns, what their tasks
/// do, and what callers are told. It has no thread and no socket of its own;
/// all calls come from one thread.
class SchedulerNode {
public:
  /// Collects what a node works with; all must outlive it.
  class Builder {
  public:
    Builder &settings(SchedulingSettings Value);
    /// \param Value tells this process from earlier ones of the node.
    Builder &process(std::string Value);
    Builder &clock(const IClock &Value);
    Builder &store(IStore &Value);
    /// \param Value carries the few calls by which pools are won and kept,
    ///   before all others; the store itself where it is not set.
    Builder &leases(IStore &Value);
    Builder &workers(IWorkerControl &Value);
    Builder &machines(IMachineControl &Value);
    Builder &advisor(IAdvisor &Value);
    Builder &logger(ILogger &Value);
    std::unique_ptr<SchedulerNode> build() const;

  private:
    friend class SchedulerNode;
    SchedulingSettings Settings_;
    std::string Process_;
    const IClock *Clock_ = nullptr;
    IStore *Store_ = nullptr;
    IStore *Leases_ = nullptr;
    IWorkerControl *Workers_ = nullptr;
    IMachineControl *Machines_ = nullptr;
    IAdvisor *Advisor_ = nullptr;
    ILogger *Logger_ = nullptr;
  };

  ~SchedulerNode();
  SchedulerNode(const SchedulerNode &) = delete;
  SchedulerNode &operator=(const SchedulerNode &) = delete;

  /// Takes in a configuration; one that is not newer than that in force is
  /// passed over.
  void onConfiguration(SchedulingConfiguration Configuration);
  /// Takes in a worker's entry.
  void onWorker(const WorkerEntry &Worker);
  /// Takes in that a worker is no longer registered.
  void onWorkerGone(const std::string &Id);
  /// Takes in all registered workers; others are gone.
  void onAllWorkers(const std::vector<WorkerEntry> &Workers);
  void onWave(const MaintenanceWave &Wave);
  /// Puts changed limits into force; the node's name stays.
  void onSettings(const SchedulingSettings &Settings);

  /// Does what is due. To be called after every event and at least every
  /// 50 ms.
  void tick();
  /// Gives all pools up before the process stops.
  void release();

  /// \returns the configuration in force, or null before the first one.
  const SchedulingConfiguration *configuration() const;
  /// \returns whether the node can serve callers.
  bool isReady() const;
  /// \returns whether the node needs to know the registered workers.
  bool needsWorkers() const;
  /// \returns what operators are shown of the pools that this node owns.
  std::vector<PoolView> pools() const;
  /// \returns where callers' jobs are handed in.
  JobRequestHandler &desk();
  /// \returns how many accepted jobs of a queue have not begun; nothing before
  /// the owners' reports have been read.
  std::optional<std::uint64_t> pending(const std::string &Queue) const;

private:
  struct Parts;
  explicit SchedulerNode(std::unique_ptr<Parts> Built);

  std::unique_ptr<Parts> Parts_;
};

} // namespace dragonflylock

#endif
