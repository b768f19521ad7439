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

/// One worker in virtual time.
struct ModelWorker {
  WorkerEntry Entry_;
  bool IsUp_ = true;
  /// Earliest start of the next lifetime, while the worker is down.
  TimePoint RestartsAt_;
  /// Nodes that it can't be reached from.
  std::set<std::string> UnreachableFrom_;
  /// The worker's steady clock runs at this share of the true speed.
  double ClockSpeed_ = 1.0;
  /// Share of the runs that fail.
  double FailureProbability_ = 0;
  FencingToken Token_ = 0;
  WorkerClock LeaseEnd_{0};
  std::map<TaskName, ModelRun> Running_;
  /// The highest run of each task that was stopped or ended here.
  std::map<TaskName, RunNumber> EndedRuns_;
  std::vector<ListedEnd> UnacknowledgedEnds_;
  std::uint64_t LastEndSequence_ = 0;
  std::uint64_t Incarnation_ = 1;
};

/// The workers and machines of the emulated fleet: they run tasks under
/// leases, check tokens and room, and report each start to the rules.
class ModelWorkers {
public:
  using Responder = std::function<void(std::function<void()>)>;

  ModelWorkers(Simulation &Sim, InvariantChecker &Checker)
      : Simulation_(Sim), Checker_(Checker) {}

  /// Adds a worker of \p Pool on a machine of its own.
  void addWorker(const std::string &Pool, Resources Capacity);
  std::map<std::string, ModelWorker> &workers() { return Workers_; }
  /// \returns the entries that workers have registered.
  std::vector<WorkerEntry> registeredEntries() const;
  /// Ends a worker's life; another begins after \p Delay.
  void restart(const std::string &Id, std::chrono::milliseconds Delay);
  /// Share of the orders that are not answered and carried out late.
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
  /// \returns which of \p Workers may run the step, with their tickets.
  Advice advise(const std::string &Step,
                const std::vector<std::string> &Workers) const;
  MachineList machines() const;
  MachineOutcome maintain(const MachineOrder &Order, std::uint64_t Wave);
  MachineOutcome move(const MachineOrder &Order, const std::string &Pool);

private:
  ModelWorker *findReachable(const std::string &Node,
                             const WorkerTarget &Target);
  OrderAnswer applyStart(ModelWorker &Worker, const StartOrder &Order);
  WorkerClock clockOf(const ModelWorker &Worker) const;
  Resources usedResources(const ModelWorker &Worker) const;
  /// Lets a gang work once all members of the run are there; a member that is
  /// alone for too long ends.
  void joinGang(const std::string &Id, const TaskName &Task,
                const ModelRun &Run);
  /// \returns the workers on which members of the run are, by task.
  std::map<TaskName, ModelWorker *> membersOf(const TaskName &AnyMember,
                                              RunNumber Run);
  void finishGang(const TaskName &AnyMember, RunNumber Run);
  void breakGang(const TaskName &AnyMember, RunNumber Run);
  bool hasTicket(const ModelWorker &Worker, const StartOrder &Order) const;
  void completeRun(const std::string &Id, std::uint64_t Incarnation,
                   const TaskName &Task, std::uint64_t Serial);
  void endRun(ModelWorker &Worker, const TaskName &Task, EndKind Kind);
  void checkLease(const std::string &Id);
  void answerHold(const std::string &Id, std::uint64_t Incarnation,
                  const Responder &Respond,
                  const IWorkerControl::HoldCallback &Done, TimePoint Deadline,
                  std::uint64_t SeenEndSequence);

  Simulation &Simulation_;
  InvariantChecker &Checker_;
  std::map<std::string, ModelWorker> Workers_;
  std::uint64_t NextSerial_ = 0;
};

} // namespace dragonflylock

#endif
