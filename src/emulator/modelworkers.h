#ifndef DRAGONFLYLOCK_EMULATOR_MODELWORKERS_H
#define DRAGONFLYLOCK_EMULATOR_MODELWORKERS_H

#include "emulator/invariantchecker.h"
#include "scheduling/iadvisor.h"
#include "scheduling/iworkercontrol.h"
#include "scheduling/machinetypes.h"
#include "scheduling/schedulingtypes.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace dragonflylock {

class Simulation;

/// A run on a model worker.
struct ModelRun {
  RunNumber Run_ = 0;
  Resources Resources_;
  TimePoint Started_;
  std::uint64_t Serial_ = 0;
  /// Whether the run waits for the other members of its gang.
  bool IsWaitingForGang_ = false;
};

/// State of a model worker and its machine.
struct ModelWorker {
  WorkerEntry Entry_;
  bool IsUp_ = true;
  /// Earliest start of the next lifetime, while the worker is down.
  TimePoint RestartsAt_;
  /// Nodes that can't reach the worker. "registry" stands for the worker
  /// registry, which then does not list it.
  std::set<std::string> UnreachableFrom_;
  /// Rate of the worker's steady clock relative to virtual time.
  double ClockSpeed_ = 1.0;
  /// Probability that a run fails.
  double FailureProbability_ = 0;
  FencingToken Token_ = 0;
  WorkerClock LeaseEnd_{0};
  std::map<TaskName, ModelRun> Running_;
  /// The highest run of each task that ended or was ordered to stop here;
  /// starts of this and earlier runs are refused as stale.
  std::map<TaskName, RunNumber> EndedRuns_;
  std::vector<ListedEnd> UnacknowledgedEnds_;
  std::uint64_t LastEndSequence_ = 0;
  std::uint64_t Incarnation_ = 1;
};

/// Model of the fleet's workers and machines in virtual time. Workers run tasks
/// under leases, check fencing tokens and free resources, and report each start
/// and end of a run to the invariant checker.
class ModelWorkers {
public:
  using Responder = std::function<void(std::function<void()>)>;

  ModelWorkers(Simulation &Sim, InvariantChecker &Checker)
      : Simulation_(Sim), Checker_(Checker) {}

  /// Adds a worker on a new machine to \p Pool.
  void addWorker(const std::string &Pool, Resources Capacity);
  std::map<std::string, ModelWorker> &workers() { return Workers_; }
  /// \returns the registry entries of workers that are up and not cut off from
  /// the registry.
  std::vector<WorkerEntry> registeredEntries() const;
  /// Ends the worker's lifetime with all its runs; the next lifetime begins
  /// after \p Delay, or later if an earlier restart still takes longer.
  void restart(const std::string &Id, std::chrono::milliseconds Delay);
  /// The same, for a worker that crashes.
  void crash(const std::string &Id, std::chrono::milliseconds Delay);
  /// \returns the number of crashes that tasks have caused.
  std::size_t crashesByTasks() const { return CrashesByTasks_; }
  /// Probability that a start order gets no response and is executed seconds
  /// later.
  double DelayedExecutionProbability_ = 0;

  void start(const std::string &Node, const Responder &Respond,
             const WorkerTarget &Target, const StartOrder &Order,
             const IWorkerControl::OrderCallback &Done);
  void stop(const std::string &Node, const Responder &Respond,
            const WorkerTarget &Target, const TaskName &Task, RunNumber Run,
            FencingToken Token, const IWorkerControl::OrderCallback &Done);
  void hold(const std::string &Node, const Responder &Respond,
            const WorkerTarget &Target, const HoldOrder &Order,
            const IWorkerControl::HoldCallback &Done);
  /// \returns tickets for those of \p Workers that may run the step.
  Advice advise(const std::string &Step,
                const std::vector<std::string> &Workers) const;
  MachineList machines() const;
  MachineOutcome maintain(const MachineOrder &Order, std::uint64_t Wave);
  MachineOutcome move(const MachineOrder &Order, const std::string &Pool);
  /// \returns the resources that the worker's runs reserve.
  static Resources usedResources(const ModelWorker &Worker);

private:
  ModelWorker *findReachable(const std::string &Node,
                             const WorkerTarget &Target);
  OrderAnswer applyStart(ModelWorker &Worker, const StartOrder &Order);
  WorkerClock clockOf(const ModelWorker &Worker) const;
  /// Starts the gang's work once all members of the run have started. A member
  /// that waits too long for the others ends.
  void joinGang(const std::string &Id, const TaskName &Task,
                const ModelRun &Run);
  /// \returns the workers on which members of the gang's run are, by task.
  std::map<TaskName, ModelWorker *> membersOf(const TaskName &AnyMember,
                                              RunNumber Run);
  /// Ends all members as done, or one of them as failed, which ends the others.
  void finishGang(const TaskName &AnyMember, RunNumber Run);
  /// Ends the members that are at work because another member ended
  /// before it was done.
  void breakGang(const TaskName &AnyMember, RunNumber Run);
  bool hasTicket(const ModelWorker &Worker, const StartOrder &Order) const;
  void completeRun(const std::string &Id, std::uint64_t Incarnation,
                   const TaskName &Task, std::uint64_t Serial);
  void endRun(ModelWorker &Worker, const TaskName &Task, EndKind Kind);
  /// Ends the worker's runs once its lease has expired.
  void checkLease(const std::string &Id);
  /// Responds once there are run ends to report or at \p Deadline.
  void answerHold(const std::string &Id, std::uint64_t Incarnation,
                  const Responder &Respond,
                  const IWorkerControl::HoldCallback &Done, TimePoint Deadline,
                  std::uint64_t SeenEndSequence);

  Simulation &Simulation_;
  InvariantChecker &Checker_;
  std::map<std::string, ModelWorker> Workers_;
  std::uint64_t NextSerial_ = 0;
  std::size_t CrashesByTasks_ = 0;
};

} // namespace dragonflylock

#endif
