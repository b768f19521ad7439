#ifndef DRAGONFLYLOCK_EMULATOR_MODELWORKERS_H
#define DRAGONFLYLOCK_EMULATOR_MODELWORKERS_H

#include "emulator/invariantchecker.h"
#include "emulator/orderdelivery.h"
#include "emulator/randomgenerator.h"
#include "scheduling/iadvisor.h"
#include "scheduling/iworkercontrol.h"
#include "scheduling/machinetypes.h"
#include "scheduling/schedulingtypes.h"

#include <functional>
#include <map>
#include <optional>
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
  /// Rate of the steady clock of this lifetime relative to virtual time.
  double ClockSpeed_ = 1.0;
  /// The steady clock at the start of this lifetime.
  WorkerClock ClockAtStart_{0};
  /// Virtual time at which this lifetime began.
  TimePoint StartedAt_;
  /// The entry of the former lifetime while the registry still has it.
  std::optional<WorkerEntry> FormerEntry_;
  /// Whether the worker is down, or about to crash, so that orders on their way
  /// may reach the next lifetime.
  bool IsCrashing_ = false;
  /// Probability that a run fails.
  double FailureProbability_ = 0;
  FencingToken Token_ = 0;
  WorkerClock LeaseEnd_{0};
  std::map<TaskName, ModelRun> Running_;
  /// The highest run of each task that ended or was ordered to stop here;
  /// starts of this and earlier runs are refused as stale.
  std::map<TaskName, RunNumber> EndedRuns_;
  std::vector<ListedEnd> UnacknowledgedEnds_;
  /// Sequence number up to which run ends were not acknowledged before the
  /// lease expired.
  std::uint64_t LastLapsedEnd_ = 0;
  std::uint64_t LastEndSequence_ = 0;
  std::uint64_t Incarnation_ = 1;
};

/// Model of the fleet's workers and machines in virtual time. Workers run tasks
/// under leases, check fencing tokens and free resources, and report each start
/// and end of a run to the invariant checker.
class ModelWorkers {
public:
  /// Limits of the time after which a delayed start order is carried out.
  static constexpr std::chrono::milliseconds MinStartDelay{2000};
  static constexpr std::chrono::milliseconds MaxStartDelay{12000};

  using Responder = std::function<void(std::function<void()>)>;

  ModelWorkers(Simulation &Sim, InvariantChecker &Checker);

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
  /// The same, for a worker that starts again before the registry has noticed.
  /// The registry has the former lifetime until \p RegistrationDelay after the
  /// start of the next one.
  void crashUnnoticed(const std::string &Id, std::chrono::milliseconds Delay,
                      std::chrono::milliseconds RegistrationDelay);
  /// \returns the delivery of orders, whose faults can be set.
  OrderDelivery &delivery() { return Delivery_; }
  /// \returns the worker's steady clock.
  WorkerClock clockOf(const ModelWorker &Worker) const;
  /// \returns the number of crashes that tasks have caused.
  std::size_t crashesByTasks() const { return CrashesByTasks_; }
  /// Whether to print the orders and run ends at each worker.
  bool IsLogging_ = false;
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
  void pace(const std::string &Node, const Responder &Respond,
            const WorkerTarget &Target, FencingToken Token,
            const IWorkerControl::OrderCallback &Done);
  /// \returns tickets for those of \p Workers that may run the step.
  Advice advise(const std::string &Step,
                const std::vector<std::string> &Workers) const;
  MachineList machines() const;
  MachineOutcome maintain(const MachineOrder &Order, std::uint64_t Wave);
  MachineOutcome move(const MachineOrder &Order, const std::string &Pool);
  /// \returns the resources that the worker's runs reserve.
  static Resources usedResources(const ModelWorker &Worker);

private:
  /// The same as restart(), for a worker that joins under a new address.
  void restartAtNewAddress(const std::string &Id,
                           std::chrono::milliseconds Delay);
  /// A hold order and its sender.
  struct PendingHold {
    std::string Node_;
    Responder Respond_;
    WorkerTarget Target_;
    HoldOrder Order_;
    IWorkerControl::HoldCallback Done_;
    TimePoint SentAt_;
  };

  /// \returns how long an order has been on its way, for the log.
  std::string onWay(TimePoint SentAt) const;
  void log(const ModelWorker &Worker, const std::string &Event) const;
  ModelWorker *findReachable(const std::string &Node,
                             const WorkerTarget &Target);
  /// Sets the clock of a lifetime that begins now.
  void startClock(ModelWorker &Worker);
  /// \returns whether the token is not lower than any that the worker has seen.
  static bool acceptToken(ModelWorker &Worker, FencingToken Token);
  /// Extends the lease of all runs up to \p End, but not beyond the maximum
  /// from now on.
  void extendLease(ModelWorker &Worker, WorkerClock End);
  /// Ends the worker's runs if its lease has expired.
  void endExpiredLease(ModelWorker &Worker);
  OrderAnswer applyStart(ModelWorker &Worker, const StartOrder &Order,
                         TimePoint SentAt);
  OrderOutcome applyStop(ModelWorker &Worker, const TaskName &Task,
                         RunNumber Run, FencingToken Token);
  void applyHold(ModelWorker &Worker, const PendingHold &Hold);
  /// Delivers an order whose response does not wait for anything.
  void sendOrder(const std::string &Node, const Responder &Respond,
                 const WorkerTarget &Target,
                 const std::function<OrderOutcome(ModelWorker &)> &Apply,
                 const IWorkerControl::OrderCallback &Done);
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
  /// Ends the worker's runs once its lease has expired, now or later.
  void checkLease(const std::string &Id);
  /// Responds once there are run ends to report or at \p Deadline.
  void answerHold(const PendingHold &Hold, std::uint64_t Incarnation,
                  TimePoint Deadline, std::uint64_t SeenEndSequence);
  /// Carries out a hold order that was held up or late.
  void holdLate(const PendingHold &Hold);

  Simulation &Simulation_;
  InvariantChecker &Checker_;
  OrderDelivery Delivery_;
  RandomGenerator ClockRandom_;
  std::map<std::string, ModelWorker> Workers_;
  std::uint64_t NextSerial_ = 0;
  std::size_t CrashesByTasks_ = 0;
};

} // namespace dragonflylock

#endif
