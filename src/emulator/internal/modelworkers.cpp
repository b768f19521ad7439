#include "emulator/modelworkers.h"
#include "emulator/simulation.h"
#include "scheduling/placement.h"

#include <algorithm>
#include <cstdio>
#include <functional>

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;

/// Longest interval at which a worker checks whether its lease has expired.
constexpr milliseconds LeaseCheckInterval{20};
constexpr milliseconds MaintenanceDuration{2000};
constexpr milliseconds MoveDuration{1500};
/// How long a member of a gang waits for the others.
constexpr milliseconds GangTimeout{3000};
constexpr milliseconds TicketValidity{3000};
/// For each step that needs advice, one in this many workers must not run it.
constexpr std::size_t ForbiddenWorkerDivisor = 3;
/// Rate of the slow ones among the workers' clocks.
constexpr double SlowestClock = 0.98;
/// Latest time on a worker's clock at the start of a lifetime.
constexpr WorkerClock MaxClockAtStart{10000000};

} // namespace

ModelWorkers::ModelWorkers(Simulation &Sim, InvariantChecker &Checker)
    : Simulation_(Sim), Checker_(Checker), Delivery_(Sim),
      ClockRandom_(Sim.separateGenerator("worker clocks")) {}

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
  startClock(Worker);
  Worker.ClockSpeed_ = Simulation_.withProbability(0.5) ? SlowestClock : 1.0;
  Workers_[Worker.Entry_.Id_] = Worker;
}

std::vector<WorkerEntry> ModelWorkers::registeredEntries() const {
  std::vector<WorkerEntry> Entries;
  for (const auto &[Id, Worker] : Workers_) {
    if (Worker.UnreachableFrom_.contains("registry"))
      continue;
    if (Worker.FormerEntry_)
      Entries.push_back(*Worker.FormerEntry_);
    else if (Worker.IsUp_)
      Entries.push_back(Worker.Entry_);
  }
  return Entries;
}

void ModelWorkers::log(const ModelWorker &Worker,
                       const std::string &Event) const {
  if (IsLogging_)
    std::printf("%8lld %s clock=%lld lease-end=%lld %s\n",
                static_cast<long long>(Simulation_.elapsed().count()),
                Worker.Entry_.lifetime().c_str(),
                static_cast<long long>(clockOf(Worker).count()),
                static_cast<long long>(Worker.LeaseEnd_.count()),
                Event.c_str());
}

void ModelWorkers::startClock(ModelWorker &Worker) {
  Worker.StartedAt_ = Simulation_.now();
  Worker.ClockAtStart_ =
      WorkerClock(ClockRandom_.inRange(1, MaxClockAtStart.count()));
  Worker.ClockSpeed_ = ClockRandom_.withProbability(0.5) ? SlowestClock : 1.0;
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
  log(Worker, "event=worker.down");
  Worker.IsUp_ = false;
  Worker.EndedRuns_.clear();
  Worker.UnacknowledgedEnds_.clear();
  Worker.LastEndSequence_ = 0;
  Worker.LastLapsedEnd_ = 0;
  Worker.FormerEntry_.reset();
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
    Next.IsCrashing_ = false;
    Next.Entry_.Born_ = Simulation_.elapsed() + milliseconds(2);
    startClock(Next);
    log(Next, "event=worker.up");
    Delivery_.onWorkerUp(Id);
  });
}

void ModelWorkers::crash(const std::string &Id, milliseconds Delay) {
  for (const auto &[Task, Run] : Workers_[Id].Running_)
    Checker_.onCrash(Task);
  restart(Id, Delay);
}

void ModelWorkers::restartAtNewAddress(const std::string &Id,
                                       milliseconds Delay) {
  Delivery_.onAddressLeft(Id);
  Workers_[Id].IsCrashing_ = false;
  restart(Id, Delay);
}

void ModelWorkers::crashUnnoticed(const std::string &Id, milliseconds Delay,
                                  milliseconds RegistrationDelay) {
  ModelWorker &Worker = Workers_[Id];
  std::optional<WorkerEntry> Former = Worker.FormerEntry_;
  if (!Former && Worker.IsUp_)
    Former = Worker.Entry_;
  crash(Id, Delay);
  Worker.IsCrashing_ = true;
  Worker.FormerEntry_ = Former;
  auto Registered =
      std::chrono::ceil<milliseconds>(Worker.RestartsAt_ - Simulation_.now()) +
      RegistrationDelay;
  Simulation_.schedule(Registered,
                       [this, Id, Incarnation = Worker.Incarnation_] {
                         ModelWorker &Next = Workers_[Id];
                         if (Next.Incarnation_ == Incarnation)
                           Next.FormerEntry_.reset();
                       });
}

ModelWorker *ModelWorkers::findReachable(const std::string &Node,
                                         const WorkerTarget &Target) {
  ModelWorker &Worker = Workers_[Target.Id_];
  bool IsReached = Worker.IsUp_ && !Worker.UnreachableFrom_.contains(Node) &&
                   Worker.Entry_.Address_ == Target.Address_;
  return IsReached ? &Worker : nullptr;
}

WorkerClock ModelWorkers::clockOf(const ModelWorker &Worker) const {
  auto Passed = std::chrono::duration_cast<milliseconds>(Simulation_.now() -
                                                         Worker.StartedAt_);
  return Worker.ClockAtStart_ +
         WorkerClock(static_cast<std::int64_t>(
             static_cast<double>(Passed.count()) * Worker.ClockSpeed_));
}

Resources ModelWorkers::usedResources(const ModelWorker &Worker) {
  Resources Used;
  for (const auto &[Task, Run] : Worker.Running_)
    Used += Run.Resources_;
  return Used;
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
  log(Worker, "event=run.end task=" + Task.text() +
                  " run=" + std::to_string(Run.Run_) +
                  " kind=" + std::to_string(static_cast<int>(Kind)));
  Worker.Running_.erase(Task);
  Worker.EndedRuns_[Task] = std::max(Worker.EndedRuns_[Task], Run.Run_);
  Worker.UnacknowledgedEnds_.push_back(
      {++Worker.LastEndSequence_, Task, Run.Run_, Kind, ""});
  Checker_.onEnd(Worker.Entry_.lifetime(), Task, Run.Run_, Kind);
  if (Kind != EndKind::Done && Kind != EndKind::GangBroken)
    breakGang(Task, Run.Run_);
}

void ModelWorkers::endExpiredLease(ModelWorker &Worker) {
  if (clockOf(Worker) < Worker.LeaseEnd_)
    return;
  while (!Worker.Running_.empty())
    endRun(Worker, TaskName(Worker.Running_.begin()->first),
           EndKind::LeaseExpired);
  Worker.LastLapsedEnd_ = Worker.LastEndSequence_;
}

void ModelWorkers::checkLease(const std::string &Id) {
  ModelWorker &Worker = Workers_[Id];
  endExpiredLease(Worker);
  if (!Worker.Running_.empty())
    Simulation_.schedule(
        std::min(LeaseCheckInterval, Worker.LeaseEnd_ - clockOf(Worker)),
        [this, Id] { checkLease(Id); });
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
            restartAtNewAddress(Id, MaintenanceDuration);
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
    restartAtNewAddress(Id, MoveDuration);
    Worker.Entry_.Pool_ = Pool;
    return MachineOutcome::Accepted;
  }
  return MachineOutcome::Refused;
}

} // namespace dragonflylock
