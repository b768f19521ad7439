#ifndef DRAGONFLYLOCK_SCHEDULING_SCHEDULERNODE_H
#define DRAGONFLYLOCK_SCHEDULING_SCHEDULERNODE_H

#include "global/iclock.h"
#include "scheduling/jobrequesthandler.h"
#include "scheduling/schedulingsettings.h"
#include "scheduling/schedulingtypes.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflylock {

class IAdvisor;
class ICustomerLimitsRegistry;
class ILogger;
class IMachineControl;
class IStore;
class IWorkerControl;
struct AccessDecision;
struct PoolView;

/// The scheduling logic of one node: acquires pools, schedules their tasks and
/// serves callers' requests. Has no threads or sockets of its own; all calls
/// must come from the same thread.
class SchedulerNode {
public:
  /// Collects the dependencies of a node; those passed by reference must
  /// outlive it.
  class Builder {
  public:
    Builder &settings(SchedulingSettings Value);
    /// \param Value distinguishes this process from earlier processes of the
    ///   node.
    Builder &process(std::string Value);
    Builder &clock(const IClock &Value);
    Builder &store(IStore &Value);
    /// \param Value carries the few calls that acquire and renew pool leases,
    ///   ahead of all other calls. Defaults to the store.
    Builder &leaseStore(IStore &Value);
    Builder &workers(IWorkerControl &Value);
    Builder &machines(IMachineControl &Value);
    Builder &advisor(IAdvisor &Value);
    /// \param Value enforces the limits of customers. Without it, there are no
    ///   limits.
    Builder &limits(ICustomerLimitsRegistry &Value);
    Builder &logger(ILogger &Value);
    std::unique_ptr<SchedulerNode> build() const;

  private:
    friend class SchedulerNode;
    SchedulingSettings Settings_;
    std::string Process_;
    const IClock *Clock_ = nullptr;
    IStore *Store_ = nullptr;
    IStore *LeaseStore_ = nullptr;
    IWorkerControl *Workers_ = nullptr;
    IMachineControl *Machines_ = nullptr;
    IAdvisor *Advisor_ = nullptr;
    ICustomerLimitsRegistry *Limits_ = nullptr;
    ILogger *Logger_ = nullptr;
  };

  ~SchedulerNode();
  SchedulerNode(const SchedulerNode &) = delete;
  SchedulerNode &operator=(const SchedulerNode &) = delete;

  /// Applies a configuration; ignored unless it is newer than the one in force.
  void onConfiguration(SchedulingConfiguration Configuration);
  /// Called when all configurations stored before \p AsOf have been passed on.
  void onConfigurationsRead(TimePoint AsOf);
  /// Called when the store has shown that the configuration in force was the
  /// newest one at \p AsOf.
  void onConfigurationProven(TimePoint AsOf);
  /// Adds or updates a worker's registry entry.
  void onWorker(const WorkerEntry &Worker);
  /// Called when a worker is no longer registered.
  void onWorkerRemoved(const std::string &Id);
  /// Replaces the known workers with all workers that are registered.
  void onWorkerSnapshot(const std::vector<WorkerEntry> &Workers);
  /// Called when the registry is no longer followed. The workers are unknown
  /// until the next snapshot.
  void onWorkersUnfollowed();
  void onWave(const MaintenanceWave &Wave);
  /// Applies changed settings, except for the node's name.
  void onSettings(const SchedulingSettings &Settings);

  /// Performs all work that is due. Must be called after every event and at
  /// least every 50 ms.
  void tick();
  /// Releases all pools before the process stops.
  void release();

  /// \returns the configuration in force, or null before the first one.
  const SchedulingConfiguration *configuration() const;
  /// \returns the time for which a newer configuration may have been stored
  /// without this node knowing. Meaningless while there is no configuration.
  std::chrono::milliseconds configurationAge() const;
  /// \returns whether the configuration in force can't miss a change that has
  /// to be in force by now. An older one must not be the reason to refuse a
  /// queue, nor to serve one that may have been removed.
  bool isConfigurationCurrent() const;
  /// Decides whether a call may use a queue of the configuration in force.
  /// \param Authorization the values of all such headers of the call.
  AccessDecision
  authorize(const QueueSetting &Queue,
            const std::vector<std::string_view> &Authorization) const;
  /// \returns whether the node can serve callers.
  bool isReady() const;
  /// \returns whether the node needs the worker registry to be followed.
  bool needsWorkers() const;
  /// \returns the state of the pools that this node owns, as shown to
  /// operators.
  std::vector<PoolView> pools() const;
  /// \returns the handler of callers' job requests.
  JobRequestHandler &jobRequests();
  /// \returns the number of accepted jobs of the queue that have not started;
  /// std::nullopt if the queue is not configured or the report of its pool's
  /// current owner is not known.
  std::optional<std::uint64_t> pendingJobCount(const std::string &Queue) const;

private:
  struct Parts;
  explicit SchedulerNode(std::unique_ptr<Parts> Built);

  std::unique_ptr<Parts> Parts_;
};

} // namespace dragonflylock

#endif
