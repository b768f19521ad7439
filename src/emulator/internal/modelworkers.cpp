#include "emulator/modelworkers.h"
#include "emulator/simulation.h"
#include "scheduling/placement.h"

#include <algorithm>
#include <functional>

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds OneWayLatency{1};
constexpr milliseconds CallTimeout{800};
constexpr milliseconds MaxLeaseDuration{6000};
constexpr milliseconds StopDuration{100};
/// Interval at which a waiting hold order checks for run ends, and a worker
/// for the end of its lease.
constexpr milliseconds HoldPollInterval{20};
constexpr milliseconds MaintenanceDuration{2000};
constexpr milliseconds MoveDuration{1500};
/// Time from the start of a deadly task to the crash of its worker, and time
/// until the worker is back.
constexpr milliseconds CrashDelay{10};
constexpr milliseconds CrashDowntime{3400};
/// How long a member of a gang waits for the others.
constexpr milliseconds GangTimeout{3000};
constexpr milliseconds TicketValidity{3000};
/// For each step that needs advice, one in this many workers must not run it.
constexpr std::size_t ForbiddenWorkerDivisor = 3;
/// Time from the start of a long-running task until it works at full speed.
constexpr milliseconds LongRunningStartup{900};
constexpr std::uint32_t FullSpeedPercent = 100;
/// Factor by which a task is slower outside the rack that holds its data.
constexpr int OffRackSlowdown = 2;

milliseconds runTime(const StepSpec &Step, const WorkerEntry &Worker) {
  bool IsOffRack = !Step.DataRack_.empty() && Step.DataRack_ != Worker.Rack_;
  return Step.Estimate_ * (IsOffRack ? OffRackSlowdown : 1);
}

} // namespace

void ModelWorkers::addWorker(const std::string &Pool, Resources Capacity) {
  std::string Number = std::to_string(Workers_.size());
  ModelWorker Worker;
  Worker.Entry_.Id_ = "w" + Number;
  Worker.Entry_.Pool_ = Pool;
  Worker.Entry_.Machine_ = "m" + Number;
  Worker.Entry_.Address_ = {"10.0.0." + Number, 8000};
  Worker.Entry_.Rack_ = "r1-" + std::to_string(Workers_.size() / 4);
  Worker.Entry_.Born_ = milliseconds(1);
  Worker.Entry_.Capacity_ = Capacity;
  constexpr double SlowestClock = 0.98;
  Worker.ClockSpeed_ = Simulation_.withProbability(0.5) ? SlowestClock : 1.0;
  Workers_[Worker.Entry_.Id_] = Worker;
}

std::vector<WorkerEntry> ModelWorkers::registeredEntries() const {
  std::vector<WorkerEntry> Entries;
  for (const auto &[Id, Worker] : Workers_)
    if (Worker.IsUp_ && !Worker.UnreachableFrom_.contains("registry"))
      Entries.push_back(Worker.Entry_);
  return Entries;
}

void ModelWorkers::restart(const std::string &Id, milliseconds Delay) {
  ModelWorker &Worker = Workers_[Id];
  std::string Lifetime = Worker.Entry_.lifetime();
  std::map<TaskName, ModelRun> Lost;
  Lost.swap(Worker.Running_);
  for (const auto &[Task, Run] : Lost) {
    Checker_.onEnd(Lifetime, Task, Run.Run_, EndKind::Stopped);
    breakGang(Task, Run.Run_);
  }
  Worker.IsUp_ = false;
  Worker.EndedRuns_.clear();
  Worker.UnacknowledgedEnds_.clear();
  Worker.LastEndSequence_ = 0;
  Worker.Token_ = 0;
  Worker.LeaseEnd_ = {};
  ++Worker.Incarnation_;
  // Restarting a worker that is down must not shorten its downtime.
  Worker.RestartsAt_ = std::max(Worker.RestartsAt_, Simulation_.now() + Delay);
  auto Down =
      std::chrono::ceil<milliseconds>(Worker.RestartsAt_ - Simulation_.now());
  Simulation_.schedule(Down, [this, Id, Incarnation = Worker.Incarnation_] {
    ModelWorker &Next = Workers_[Id];
    if (Next.Incarnation_ != Incarnation)
      return;
    Next.IsUp_ = true;
    Next.Entry_.Born_ = Simulation_.elapsed() + milliseconds(2);
  });
}

void ModelWorkers::crash(const std::string &Id, milliseconds Delay) {
  for (const auto &[Task, Run] : Workers_[Id].Running_)
    Checker_.onCrash(Task);
  restart(Id, Delay);
}

ModelWorker *ModelWorkers::findReachable(const std::string &Node,
                                         const WorkerTarget &Target) {
  ModelWorker &Worker = Workers_[Target.Id_];
  bool IsReached = Worker.IsUp_ && !Worker.UnreachableFrom_.contains(Node) &&
                   Worker.Entry_.Address_ == Target.Address_;
  return IsReached ? &Worker : nullptr;
}

WorkerClock ModelWorkers::clockOf(const ModelWorker &Worker) const {
  return milliseconds(static_cast<std::int64_t>(
      static_cast<double>(Simulation_.elapsed().count()) * Worker.ClockSpeed_));
}

Resources ModelWorkers::usedResources(const ModelWorker &Worker) {
  Resources Used;
  for (const auto &[Task, Run] : Worker.Running_)
    Used += Run.Resources_;
  return Used;
}

void ModelWorkers::start(const std::string &Node, const Responder &Respond,
                         const WorkerTarget &Target, const StartOrder &Order,
                         const IWorkerControl::OrderCallback &Done) {
  bool IsDelayed = Simulation_.withProbability(DelayedExecutionProbability_);
  if (IsDelayed)
    Simulation_.schedule(milliseconds(Simulation_.randomInRange(2000, 12000)),
                         [this, Node, Target, Order] {
                           if (ModelWorker *Worker =
                                   findReachable(Node, Target))
                             applyStart(*Worker, Order);
                         });
  if (IsDelayed || findReachable(Node, Target) == nullptr) {
    Simulation_.schedule(CallTimeout, [=] {
      Respond([=] { Done({OrderOutcome::Unknown, WorkerClock(0)}); });
    });
    return;
  }
  Simulation_.schedule(OneWayLatency, [=, this] {
    ModelWorker *Worker = findReachable(Node, Target);
    OrderAnswer Response{OrderOutcome::Unknown, WorkerClock(0)};
    if (Worker != nullptr)
      Response = applyStart(*Worker, Order);
    Simulation_.schedule(OneWayLatency,
                         [=] { Respond([=] { Done(Response); }); });
  });
}

OrderAnswer ModelWorkers::applyStart(ModelWorker &Worker,
                                     const StartOrder &Order) {
  WorkerClock Clock = clockOf(Worker);
  if (Order.Token_ < Worker.Token_)
    return {OrderOutcome::Fenced, Clock};
  Worker.Token_ = Order.Token_;
  auto Known = Worker.Running_.find(Order.Task_);
  if (Known != Worker.Running_.end() && Known->second.Run_ == Order.Run_)
    return {OrderOutcome::Accepted, Clock};
  if (Clock >= Order.LeaseEnd_)
    return {OrderOutcome::TooLate, Clock};
  Worker.LeaseEnd_ = std::max(Worker.LeaseEnd_, Order.LeaseEnd_);
  auto Ended = Worker.EndedRuns_.find(Order.Task_);
  if (Ended != Worker.EndedRuns_.end() && Order.Run_ <= Ended->second)
    return {OrderOutcome::StaleRun, Clock};
  const StepSpec &Step =
      Checker_.job(Order.Task_.Job_).Spec_.Steps_[Order.Task_.Step_];
  Resources Free = Worker.Entry_.Capacity_;
  Free -= usedResources(Worker);
  if (!Free.canFit(requiredResources(Step)))
    return {OrderOutcome::NoRoom, Clock};
  if (!hasTicket(Worker, Order))
    return {OrderOutcome::BadTicket, Clock};
  Checker_.onStart(Worker.Entry_, Order.Task_, Order.Payload_);
  ModelRun Run{Order.Run_, requiredResources(Step), Simulation_.now(),
               ++NextSerial_, Step.IsGang_};
  Worker.Running_[Order.Task_] = Run;
  if (Checker_.job(Order.Task_.Job_).DeadlyTask_ == Order.Task_)
    Simulation_.schedule(CrashDelay, [this, Id = Worker.Entry_.Id_,
                                      Incarnation = Worker.Incarnation_] {
      if (Workers_[Id].Incarnation_ != Incarnation)
        return;
      ++CrashesByTasks_;
      crash(Id, CrashDowntime);
    });
  if (Step.IsGang_)
    joinGang(Worker.Entry_.Id_, Order.Task_, Run);
  else if (!Step.IsLongRunning_)
    Simulation_.schedule(
        runTime(Step, Worker.Entry_) * Simulation_.randomInRange(50, 200) / 100,
        [this, Id = Worker.Entry_.Id_, Incarnation = Worker.Incarnation_,
         Task = Order.Task_,
         Serial = Run.Serial_] { completeRun(Id, Incarnation, Task, Serial); });
  checkLease(Worker.Entry_.Id_);
  return {OrderOutcome::Accepted, Clock};
}

void ModelWorkers::completeRun(const std::string &Id, std::uint64_t Incarnation,
                               const TaskName &Task, std::uint64_t Serial) {
  ModelWorker &Worker = Workers_[Id];
  auto Found = Worker.Running_.find(Task);
  if (Worker.Incarnation_ != Incarnation || Found == Worker.Running_.end() ||
      Found->second.Serial_ != Serial)
    return;
  endRun(Worker, Task,
         Simulation_.withProbability(Worker.FailureProbability_)
             ? EndKind::Failed
             : EndKind::Done);
}

std::map<TaskName, ModelWorker *>
ModelWorkers::membersOf(const TaskName &AnyMember, RunNumber Run) {
  std::map<TaskName, ModelWorker *> Members;
  for (auto &[Id, Worker] : Workers_)
    for (const auto &[Task, Each] : Worker.Running_)
      if (Task.Job_ == AnyMember.Job_ &&
          Task.Occurrence_ == AnyMember.Occurrence_ &&
          Task.Step_ == AnyMember.Step_ && Each.Run_ == Run)
        Members[Task] = &Worker;
  return Members;
}

void ModelWorkers::joinGang(const std::string &Id, const TaskName &Task,
                            const ModelRun &Run) {
  const StepSpec &Step = Checker_.job(Task.Job_).Spec_.Steps_[Task.Step_];
  auto Members = membersOf(Task, Run.Run_);
  if (Members.size() == Step.TaskCount_) {
    for (auto &[Name, Worker] : Members)
      Worker->Running_[Name].IsWaitingForGang_ = false;
    Simulation_.schedule(
        Step.Estimate_ * Simulation_.randomInRange(50, 200) / 100,
        [this, Task, Number = Run.Run_] { finishGang(Task, Number); });
    return;
  }
  Simulation_.schedule(GangTimeout, [this, Id, Task, Serial = Run.Serial_] {
    ModelWorker &Worker = Workers_[Id];
    auto Found = Worker.Running_.find(Task);
    if (Found == Worker.Running_.end() || Found->second.Serial_ != Serial ||
        !Found->second.IsWaitingForGang_)
      return;
    Checker_.onGangIncomplete(Task);
    endRun(Worker, Task, EndKind::GangIncomplete);
  });
}

void ModelWorkers::finishGang(const TaskName &AnyMember, RunNumber Run) {
  const StepSpec &Step =
      Checker_.job(AnyMember.Job_).Spec_.Steps_[AnyMember.Step_];
  auto Members = membersOf(AnyMember, Run);
  if (Members.size() != Step.TaskCount_)
    return; // A member ended early, which ended the others too.
  auto First = Members.begin();
  if (Simulation_.withProbability(First->second->FailureProbability_)) {
    endRun(*First->second, First->first, EndKind::Failed);
    return;
  }
  for (auto &[Name, Worker] : Members)
    endRun(*Worker, Name, EndKind::Done);
}

void ModelWorkers::breakGang(const TaskName &AnyMember, RunNumber Run) {
  if (!Checker_.job(AnyMember.Job_).Spec_.Steps_[AnyMember.Step_].IsGang_)
    return;
  for (auto &[Name, Worker] : membersOf(AnyMember, Run))
    if (!Worker->Running_[Name].IsWaitingForGang_)
      endRun(*Worker, Name, EndKind::GangBroken);
}

bool ModelWorkers::hasTicket(const ModelWorker &Worker,
                             const StartOrder &Order) const {
  if (!Checker_.job(Order.Task_.Job_).NeedsAdvice_)
    return true;
  std::string Step = Order.Task_.Job_ + "." +
                     std::to_string(Order.Task_.Occurrence_) + "." +
                     std::to_string(Order.Task_.Step_);
  Advice Result = advise(Step, {Worker.Entry_.Id_});
  auto Ticket = Result.Tickets_.find(Worker.Entry_.Id_);
  return Ticket != Result.Tickets_.end() && Ticket->second == Order.Ticket_;
}

Advice ModelWorkers::advise(const std::string &Step,
                            const std::vector<std::string> &Workers) const {
  Advice Result;
  Result.IsValid_ = true;
  Result.Validity_ = TicketValidity;
  for (const std::string &Id : Workers) {
    auto Found = Workers_.find(Id);
    // Selected by worker number, so that every pool has workers that may run
    // the step.
    std::size_t Number = std::stoul(Id.substr(1));
    bool IsForbidden =
        (std::hash<std::string>()(Step) + Number) % ForbiddenWorkerDivisor == 0;
    if (Found != Workers_.end() && !IsForbidden)
      Result.Tickets_[Id] = Step + "/" + Found->second.Entry_.lifetime();
  }
  return Result;
}

void ModelWorkers::endRun(ModelWorker &Worker, const TaskName &Task,
                          EndKind Kind) {
  ModelRun Run = Worker.Running_[Task];
  Worker.Running_.erase(Task);
  Worker.EndedRuns_[Task] = std::max(Worker.EndedRuns_[Task], Run.Run_);
  Worker.UnacknowledgedEnds_.push_back(
      {++Worker.LastEndSequence_, Task, Run.Run_, Kind, ""});
  Checker_.onEnd(Worker.Entry_.lifetime(), Task, Run.Run_, Kind);
  if (Kind != EndKind::Done && Kind != EndKind::GangBroken)
    breakGang(Task, Run.Run_);
}

void ModelWorkers::checkLease(const std::string &Id) {
  ModelWorker &Worker = Workers_[Id];
  if (Worker.Running_.empty())
    return;
  if (clockOf(Worker) < Worker.LeaseEnd_) {
    Simulation_.schedule(HoldPollInterval, [this, Id] { checkLease(Id); });
    return;
  }
  while (!Worker.Running_.empty())
    endRun(Worker, TaskName(Worker.Running_.begin()->first),
           EndKind::LeaseExpired);
}

void ModelWorkers::stop(const std::string &Node, const Responder &Respond,
                        const WorkerTarget &Target, const TaskName &Task,
                        RunNumber Run, FencingToken Token,
                        const IWorkerControl::OrderCallback &Done) {
  Simulation_.schedule(OneWayLatency, [=, this] {
    ModelWorker *Worker = findReachable(Node, Target);
    if (Worker == nullptr) {
      Simulation_.schedule(CallTimeout, [=] {
        Respond([=] { Done({OrderOutcome::Unknown, WorkerClock(0)}); });
      });
      return;
    }
    OrderOutcome Outcome = OrderOutcome::Accepted;
    if (Token < Worker->Token_) {
      Outcome = OrderOutcome::Fenced;
    } else {
      Worker->Token_ = Token;
      Worker->EndedRuns_[Task] = std::max(Worker->EndedRuns_[Task], Run);
      Simulation_.schedule(StopDuration, [=, this] {
        ModelWorker &Stopping = Workers_[Target.Id_];
        auto Found = Stopping.Running_.find(Task);
        if (Found != Stopping.Running_.end() && Found->second.Run_ == Run)
          endRun(Stopping, Task, EndKind::Stopped);
      });
    }
    WorkerClock Clock = clockOf(*Worker);
    Simulation_.schedule(OneWayLatency, [=] {
      Respond([=] { Done({Outcome, Clock}); });
    });
  });
}

void ModelWorkers::hold(const std::string &Node, const Responder &Respond,
                        const WorkerTarget &Target, const HoldOrder &Order,
                        const IWorkerControl::HoldCallback &Done) {
  Simulation_.schedule(OneWayLatency, [=, this] {
    ModelWorker *Worker = findReachable(Node, Target);
    if (Worker == nullptr) {
      Simulation_.schedule(Order.Wait_ + CallTimeout,
                           [=] { Respond([=] { Done(HoldAnswer()); }); });
      return;
    }
    if (Order.Token_ < Worker->Token_) {
      HoldAnswer Refused;
      Refused.Outcome_ = OrderOutcome::Fenced;
      Simulation_.schedule(OneWayLatency,
                           [=] { Respond([=] { Done(Refused); }); });
      return;
    }
    Worker->Token_ = Order.Token_;
    WorkerClock MaxLeaseEnd = clockOf(*Worker) + MaxLeaseDuration;
    Worker->LeaseEnd_ =
        std::max(Worker->LeaseEnd_, std::min(Order.LeaseEnd_, MaxLeaseEnd));
    std::erase_if(Worker->UnacknowledgedEnds_, [&](const ListedEnd &End) {
      if (End.Sequence_ > Order.AcknowledgedEnd_)
        return false;
      Checker_.onEndAcknowledged(End.Task_, End.Run_, End.Kind_);
      return true;
    });
    answerHold(Target.Id_, Worker->Incarnation_, Respond, Done,
               Simulation_.now() + Order.Wait_, Worker->LastEndSequence_);
  });
}

void ModelWorkers::answerHold(const std::string &Id, std::uint64_t Incarnation,
                              const Responder &Respond,
                              const IWorkerControl::HoldCallback &Done,
                              TimePoint Deadline,
                              std::uint64_t SeenEndSequence) {
  ModelWorker &Worker = Workers_[Id];
  if (Worker.Incarnation_ != Incarnation) {
    Simulation_.schedule(CallTimeout,
                         [=] { Respond([=] { Done(HoldAnswer()); }); });
    return;
  }
  bool HasNewEnds = !Worker.UnacknowledgedEnds_.empty() ||
                    Worker.LastEndSequence_ > SeenEndSequence;
  if (!HasNewEnds && Simulation_.now() < Deadline) {
    Simulation_.schedule(HoldPollInterval, [=, this] {
      answerHold(Id, Incarnation, Respond, Done, Deadline, SeenEndSequence);
    });
    return;
  }
  HoldAnswer Response;
  Response.Outcome_ = OrderOutcome::Accepted;
  Response.Clock_ = clockOf(Worker);
  Response.Born_ = Worker.Entry_.Born_;
  Response.Ended_ = Worker.UnacknowledgedEnds_;
  for (const auto &[Task, Run] : Worker.Running_) {
    bool HasStarted = Simulation_.now() - Run.Started_ >= LongRunningStartup;
    Response.Running_.push_back(
        {Task, Run.Run_, "", HasStarted ? FullSpeedPercent : 0, 0});
  }
  Simulation_.schedule(OneWayLatency,
                       [=] { Respond([=] { Done(Response); }); });
}

MachineList ModelWorkers::machines() const {
  MachineList List;
  List.IsValid_ = true;
  for (const auto &[Id, Worker] : Workers_) {
    Machine Each;
    Each.Name_ = Worker.Entry_.Machine_;
    Each.Pool_ = Worker.Entry_.Pool_;
    Each.State_ = Worker.IsUp_ ? MachineState::Up : MachineState::Maintained;
    Each.Capacity_ = Worker.Entry_.Capacity_;
    if (Worker.IsUp_)
      Each.Worker_ = Id;
    List.Machines_.push_back(Each);
  }
  return List;
}

MachineOutcome ModelWorkers::maintain(const MachineOrder &Order,
                                      std::uint64_t Wave) {
  return Checker_.onMaintenance(
      Order, Wave, [this](const std::string &Machine) {
        for (auto &[Id, Worker] : Workers_)
          if (Worker.Entry_.Machine_ == Machine && Worker.IsUp_) {
            std::set<TaskName> Ended;
            for (const auto &[Task, Run] : Worker.Running_)
              Ended.insert(Task);
            Checker_.checkBudgets(Ended);
            restart(Id, MaintenanceDuration);
            return true;
          }
        return false;
      });
}

MachineOutcome ModelWorkers::move(const MachineOrder &Order,
                                  const std::string &Pool) {
  Checker_.checkOrderHolder(Order);
  for (auto &[Id, Worker] : Workers_) {
    if (Worker.Entry_.Machine_ != Order.Machine_)
      continue;
    if (Worker.Entry_.Pool_ == Pool)
      return MachineOutcome::Accepted;
    if (!Worker.IsUp_)
      return MachineOutcome::Busy;
    std::set<TaskName> Ended;
    for (const auto &[Task, Run] : Worker.Running_)
      Ended.insert(Task);
    Checker_.checkBudgets(Ended);
    restart(Id, MoveDuration);
    Worker.Entry_.Pool_ = Pool;
    return MachineOutcome::Accepted;
  }
  return MachineOutcome::Refused;
}

} // namespace dragonflylock
