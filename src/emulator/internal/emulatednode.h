#ifndef DRAGONFLYLOCK_EMULATOR_INTERNAL_EMULATEDNODE_H
#define DRAGONFLYLOCK_EMULATOR_INTERNAL_EMULATEDNODE_H

#include "emulator/modelstore.h"
#include "emulator/modelworkers.h"
#include "global/ilogger.h"
#include "scheduling/iadvisor.h"
#include "scheduling/imachinecontrol.h"
#include "scheduling/istore.h"
#include "scheduling/iworkercontrol.h"
#include "scheduling/schedulernode.h"
#include "scheduling/versionedrowwriter.h"

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace dragonflylock {

class Simulation;

/// State that all nodes of an emulation share.
struct EmulationContext {
  Simulation &Simulation_;
  ModelStore &Store_;
  ModelWorkers &Workers_;
  SchedulingConfiguration Configuration_;
  std::vector<MaintenanceWave> Waves_;
  /// Whether to print the log events of the nodes.
  bool IsLogging_ = false;
  /// CPU time of a node with one core for each call and each response; 0
  /// disables the CPU model.
  std::chrono::microseconds CpuTimePerCall_{0};
  /// Number of times that a node lost a pool because its lease had expired.
  std::size_t ExpiredPoolLeases_ = 0;
};

/// Runs a scheduler node whose interfaces are served by the models. The node
/// can be killed, restarted and frozen.
class EmulatedNode : public IStore,
                     public IWorkerControl,
                     public IMachineControl,
                     public IAdvisor,
                     public ILogger {
public:
  /// \param Cores processor cores of the node; the CPU time of its calls grows
  /// accordingly.
  EmulatedNode(std::string Name, double Cores, EmulationContext &Context);

  void start();
  void kill();
  /// Delays all work that reaches the node until \p Duration has passed.
  void freeze(std::chrono::milliseconds Duration);
  /// Releases the node's pools and ends its process shortly after.
  void stopGracefully();
  bool isUp() const { return Node_ != nullptr; }
  const std::string &name() const { return Name_; }
  /// \returns whether the node owns the pool as far as it knows.
  bool ownsPool(const std::string &Pool) const;
  /// \returns the scheduler node, or null if it is down, frozen or not ready.
  SchedulerNode *readyScheduler();
  /// Delivers the configuration that is in force \p Delay later, unless the
  /// process ends before.
  void updateConfiguration(std::chrono::milliseconds Delay);

  void transact(StoreTransaction Transaction,
                TransactionCallback Done) override;
  void readRange(const std::string &Table, const std::string &Partition,
                 const std::string &From, const std::string &To,
                 std::size_t MaxRows, RangeCallback Done) override;
  void awaitChanges(const std::string &Table, StoreVersion After,
                    std::chrono::milliseconds WaitTimeout,
                    ChangesCallback Done) override;
  void start(const WorkerTarget &Target, const StartOrder &Order,
             IWorkerControl::OrderCallback Done) override;
  void stop(const WorkerTarget &Target, const TaskName &Task, RunNumber Run,
            FencingToken Token, IWorkerControl::OrderCallback Done) override;
  void hold(const WorkerTarget &Target, const HoldOrder &Order,
            HoldCallback Done) override;
  void pace(const WorkerTarget &Target, const TaskName &Task, RunNumber Run,
            std::uint32_t Percent, FencingToken Token,
            IWorkerControl::OrderCallback Done) override;
  void advise(const std::string &Step, const std::vector<std::string> &Workers,
              IAdvisor::Done Callback) override;
  void list(ListDone Done) override;
  void maintain(const MachineOrder &Order, std::uint64_t Wave,
                IMachineControl::OrderDone Done) override;
  void move(const MachineOrder &Order, const std::string &Pool,
            IMachineControl::OrderDone Done) override;
  void reportWave(std::uint64_t Wave, bool IsCompleted,
                  ReportDone Done) override;
  void write(LogLevel Level, const LogEvent &Event) override;

private:
  using Work = std::function<void()>;

  /// \returns a function that runs work on the current incarnation of the node.
  ModelStore::Responder responder();
  /// Runs \p Next once the node's CPU is free and the node is not frozen.
  void deliver(std::uint64_t Incarnation, const Work &Next);
  /// Runs \p Next once the CPU has finished the work queued before it.
  void queueOnCpu(std::uint64_t Incarnation, const Work &Next);
  void runWhenNotFrozen(std::uint64_t Incarnation, const Work &Next);
  void tick(std::uint64_t Incarnation);
  void deliverFleetState();
  void deliverWorkers();
  void deliverWorkerChanges(const std::vector<WorkerEntry> &Entries);

  std::string Name_;
  double Cores_;
  EmulationContext &Context_;
  /// Begins anew with each process.
  std::optional<VersionedRowWriter> WaveStates_;
  std::unique_ptr<SchedulerNode> Node_;
  std::uint64_t Incarnation_ = 0;
  TimePoint FrozenUntil_;
  /// When the CPU will have finished the work queued so far.
  TimePoint CpuBusyUntil_;
  /// Whether a tick waits for the CPU.
  bool IsTickQueued_ = false;
  bool IsStopping_ = false;
  /// Ids of the workers that were delivered last; nothing while the node does
  /// not follow the registry.
  std::optional<std::set<std::string>> FollowedWorkers_;
};

} // namespace dragonflylock

#endif
