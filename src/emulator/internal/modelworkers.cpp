#include "emulator/modelworkers.h"
#include "emulator/simulation.h"

#include <algorithm>
#include <functional>

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds OneWay{1};
constexpr milliseconds CallLimit{800};
constexpr milliseconds LongestHold{6000};
constexpr milliseconds StopTime{100};
/// How often a waiting hold looks for an end.
constexpr milliseconds HoldStep{20};
constexpr milliseconds MaintenanceTime{2000};
constexpr milliseconds MoveTime{1500};
/// How long a member of a gang waits for the others.
constexpr milliseconds GangTimeout{3000};
/// Validity of an advice ticket.
constexpr milliseconds TicketTime{3000};
/// One in so many workers must not run a step that needs advice.
constexpr std::size_t ForbiddenOneIn = 3;
/// Time from the start of a lasting task until it works at full speed.
constexpr milliseconds LastingStartup{900};
constexpr std::uint32_t FullSpeed = 100;

} // namespace

void ModelWorkers::add(const std::string &Pool, Resources Capacity) {
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
  Worker.ClockSpeed_ = World_.happens(0.5) ? SlowestClock : 1.0;
  Workers_[Worker.Entry_.Id_] = Worker;
}

std::vector<WorkerEntry> ModelWorkers::registered() const {
  std::vector<WorkerEntry> Entries;
  for (const auto &[Id, Worker] : Workers_)
    if (Worker.IsUp_ && !Worker.CutFrom_.contains("registry"))
      Entries.push_back(Worker.Entry_);
  return Entries;
}

void ModelWorkers::restart(const std::string &Id, milliseconds Pause) {
  ModelWorker &Worker = Workers_[Id];
  std::string Lifetime = Worker.Entry_.lifetime();
  std::map<TaskName, ModelRun> Lost;
  Lost.swap(Worker.Running_);
  for (const auto &[Task, Run] : Lost) {
    Rules_.onEnd(Lifetime, Task, Run.Run_, EndKind::Stopped);
    breakGang(Task, Run.Run_);
  }
  Worker.IsUp_ = false;
  Worker.EndedRuns_.clear();
  Worker.Ends_.clear();
  Worker.LastEnd_ = 0;
  Worker.Token_ = 0;
  Worker.LeaseEnd_ = {};
  ++Worker.Lives_;
  // A worker that goes down again does not come up earlier for it.
  Worker.UpAt_ = std::max(Worker.UpAt_, World_.now() + Pause);
  auto Down = std::chrono::ceil<milliseconds>(Worker.UpAt_ - World_.now());
  World_.after(Down, [this, Id, Life = Worker.Lives_] {
    ModelWorker &Next = Workers_[Id];
    if (Next.Lives_ != Life)
      return;
    Next.IsUp_ = true;
    Next.Entry_.Born_ = World_.elapsed() + milliseconds(2);
  });
}

ModelWorker *ModelWorkers::reached(const std::string &Node,
                                   const WorkerTarget &Target) {
  ModelWorker &Worker = Workers_[Target.Id_];
  bool IsReached = Worker.IsUp_ && !Worker.CutFrom_.contains(Node) &&
                   Worker.Entry_.Address_ == Target.Address_;
  return IsReached ? &Worker : nullptr;
}

WorkerClock ModelWorkers::clockOf(const ModelWorker &Worker) const {
  return milliseconds(static_cast<std::int64_t>(
      static_cast<double>(World_.elapsed().count()) * Worker.ClockSpeed_));
}

Resources ModelWorkers::usedOf(const ModelWorker &Worker) const {
  Resources Used;
  for (const auto &[Task, Run] : Worker.Running_)
    Used += Run.Resources_;
  return Used;
}

void ModelWorkers::start(const std::string &Node, const Deliver &Answer,
                         const WorkerTarget &Target, const StartOrder &Order,
                         const IWorkerControl::OrderCallback &Done) {
  bool IsLate = World_.happens(LateShare_);
  if (IsLate)
    World_.after(milliseconds(World_.between(2000, 12000)),
                 [this, Node, Target, Order] {
                   if (ModelWorker *Worker = reached(Node, Target))
                     applyStart(*Worker, Order);
                 });
  if (IsLate || reached(Node, Target) == nullptr) {
    World_.after(CallLimit, [=] {
      Answer([=] { Done({OrderOutcome::Unknown, WorkerClock(0)}); });
    });
    return;
  }
  World_.after(OneWay, [=, this] {
    ModelWorker *Worker = reached(Node, Target);
    OrderAnswer Made{OrderOutcome::Unknown, WorkerClock(0)};
    if (Worker != nullptr)
      Made = applyStart(*Worker, Order);
    World_.after(OneWay, [=] { Answer([=] { Done(Made); }); });
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
      Rules_.job(Order.Task_.Job_).Spec_.Steps_[Order.Task_.Step_];
  Resources Free = Worker.Entry_.Capacity_;
  Free -= usedOf(Worker);
  if (!Free.canFit(Step.PerTask_))
    return {OrderOutcome::NoRoom, Clock};
  if (!hasTicket(Worker, Order))
    return {OrderOutcome::BadTicket, Clock};
  Rules_.onStart(Worker.Entry_, Order.Task_, Order.Payload_);
  ModelRun Run{Order.Run_, Step.PerTask_, World_.now(), ++NextSerial_,
               Step.IsGang_};
  Worker.Running_[Order.Task_] = Run;
  if (Step.IsGang_)
    joinGang(Worker.Entry_.Id_, Order.Task_, Run);
  else if (!Step.IsLongRunning_)
    World_.after(Step.Estimate_ * World_.between(50, 200) / 100,
                 [this, Id = Worker.Entry_.Id_, Life = Worker.Lives_,
                  Task = Order.Task_,
                  Serial = Run.Serial_] { finish(Id, Life, Task, Serial); });
  checkLease(Worker.Entry_.Id_);
  return {OrderOutcome::Accepted, Clock};
}

void ModelWorkers::finish(const std::string &Id, std::uint64_t Life,
                          const TaskName &Task, std::uint64_t Serial) {
  ModelWorker &Worker = Workers_[Id];
  auto Found = Worker.Running_.find(Task);
  if (Worker.Lives_ != Life || Found == Worker.Running_.end() ||
      Found->second.Serial_ != Serial)
    return;
  end(Worker, Task,
      World_.happens(Worker.FailShare_) ? EndKind::Failed : EndKind::Done);
}

std::map<TaskName, ModelWorker *> ModelWorkers::membersOf(const TaskName &Like,
                                                          RunNumber Run) {
  std::map<TaskName, ModelWorker *> Members;
  for (auto &[Id, Worker] : Workers_)
    for (const auto &[Task, Each] : Worker.Running_)
      if (Task.Job_ == Like.Job_ && Task.Occurrence_ == Like.Occurrence_ &&
          Task.Step_ == Like.Step_ && Each.Run_ == Run)
        Members[Task] = &Worker;
  return Members;
}

void ModelWorkers::joinGang(const std::string &Id, const TaskName &Task,
                            const ModelRun &Run) {
  const StepSpec &Step = Rules_.job(Task.Job_).Spec_.Steps_[Task.Step_];
  auto Members = membersOf(Task, Run.Run_);
  if (Members.size() == Step.TaskCount_) {
    for (auto &[Name, Worker] : Members)
      Worker->Running_[Name].IsWaiting_ = false;
    World_.after(Step.Estimate_ * World_.between(50, 200) / 100,
                 [this, Task, Number = Run.Run_] { finishGang(Task, Number); });
    return;
  }
  World_.after(GangTimeout, [this, Id, Task, Serial = Run.Serial_] {
    ModelWorker &Worker = Workers_[Id];
    auto Found = Worker.Running_.find(Task);
    if (Found == Worker.Running_.end() || Found->second.Serial_ != Serial ||
        !Found->second.IsWaiting_)
      return;
    Rules_.onGangIncomplete(Task);
    end(Worker, Task, EndKind::GangIncomplete);
  });
}

void ModelWorkers::finishGang(const TaskName &Like, RunNumber Run) {
  const StepSpec &Step = Rules_.job(Like.Job_).Spec_.Steps_[Like.Step_];
  auto Members = membersOf(Like, Run);
  if (Members.size() != Step.TaskCount_)
    return; // A member has ended, and the others with it.
  auto First = Members.begin();
  if (World_.happens(First->second->FailShare_)) {
    end(*First->second, First->first, EndKind::Failed);
    return;
  }
  for (auto &[Name, Worker] : Members)
    end(*Worker, Name, EndKind::Done);
}

void ModelWorkers::breakGang(const TaskName &Like, RunNumber Run) {
  if (!Rules_.job(Like.Job_).Spec_.Steps_[Like.Step_].IsGang_)
    return;
  for (auto &[Name, Worker] : membersOf(Like, Run))
    if (!Worker->Running_[Name].IsWaiting_)
      end(*Worker, Name, EndKind::GangBroken);
}

bool ModelWorkers::hasTicket(const ModelWorker &Worker,
                             const StartOrder &Order) const {
  if (!Rules_.job(Order.Task_.Job_).NeedsAdvice_)
    return true;
  std::string Step = Order.Task_.Job_ + "." +
                     std::to_string(Order.Task_.Occurrence_) + "." +
                     std::to_string(Order.Task_.Step_);
  Advice Given = advise(Step, {Worker.Entry_.Id_});
  auto Ticket = Given.Tickets_.find(Worker.Entry_.Id_);
  return Ticket != Given.Tickets_.end() && Ticket->second == Order.Ticket_;
}

Advice ModelWorkers::advise(const std::string &Step,
                            const std::vector<std::string> &Workers) const {
  Advice Given;
  Given.IsValid_ = true;
  Given.Validity_ = TicketTime;
  for (const std::string &Id : Workers) {
    auto Found = Workers_.find(Id);
    // By the worker's number, so that every pool has workers that may.
    std::size_t Number = std::stoul(Id.substr(1));
    bool IsForbidden =
        (std::hash<std::string>()(Step) + Number) % ForbiddenOneIn == 0;
    if (Found != Workers_.end() && !IsForbidden)
      Given.Tickets_[Id] = Step + "/" + Found->second.Entry_.lifetime();
  }
  return Given;
}

void ModelWorkers::end(ModelWorker &Worker, const TaskName &Task,
                       EndKind Kind) {
  ModelRun Run = Worker.Running_[Task];
  Worker.Running_.erase(Task);
  Worker.EndedRuns_[Task] = std::max(Worker.EndedRuns_[Task], Run.Run_);
  Worker.Ends_.push_back({++Worker.LastEnd_, Task, Run.Run_, Kind, ""});
  Rules_.onEnd(Worker.Entry_.lifetime(), Task, Run.Run_, Kind);
  if (Kind != EndKind::Done && Kind != EndKind::GangBroken)
    breakGang(Task, Run.Run_);
}

void ModelWorkers::checkLease(const std::string &Id) {
  ModelWorker &Worker = Workers_[Id];
  if (Worker.Running_.empty())
    return;
  if (clockOf(Worker) < Worker.LeaseEnd_) {
    World_.after(HoldStep, [this, Id] { checkLease(Id); });
    return;
  }
  while (!Worker.Running_.empty())
    end(Worker, TaskName(Worker.Running_.begin()->first),
        EndKind::LeaseExpired);
}

void ModelWorkers::stop(const std::string &Node, const Deliver &Answer,
                        const WorkerTarget &Target, const TaskName &Task,
                        RunNumber Run, FencingToken Token,
                        const IWorkerControl::OrderCallback &Done) {
  World_.after(OneWay, [=, this] {
    ModelWorker *Worker = reached(Node, Target);
    if (Worker == nullptr) {
      World_.after(CallLimit, [=] {
        Answer([=] { Done({OrderOutcome::Unknown, WorkerClock(0)}); });
      });
      return;
    }
    OrderOutcome Outcome = OrderOutcome::Accepted;
    if (Token < Worker->Token_) {
      Outcome = OrderOutcome::Fenced;
    } else {
      Worker->Token_ = Token;
      Worker->EndedRuns_[Task] = std::max(Worker->EndedRuns_[Task], Run);
      World_.after(StopTime, [=, this] {
        ModelWorker &Stopping = Workers_[Target.Id_];
        auto Found = Stopping.Running_.find(Task);
        if (Found != Stopping.Running_.end() && Found->second.Run_ == Run)
          end(Stopping, Task, EndKind::Stopped);
      });
    }
    WorkerClock Clock = clockOf(*Worker);
    World_.after(OneWay, [=] { Answer([=] { Done({Outcome, Clock}); }); });
  });
}

void ModelWorkers::hold(const std::string &Node, const Deliver &Answer,
                        const WorkerTarget &Target, const HoldOrder &Order,
                        const IWorkerControl::HoldCallback &Done) {
  World_.after(OneWay, [=, this] {
    ModelWorker *Worker = reached(Node, Target);
    if (Worker == nullptr) {
      World_.after(Order.Wait_ + CallLimit,
                   [=] { Answer([=] { Done(HoldAnswer()); }); });
      return;
    }
    if (Order.Token_ < Worker->Token_) {
      HoldAnswer Refused;
      Refused.Outcome_ = OrderOutcome::Fenced;
      World_.after(OneWay, [=] { Answer([=] { Done(Refused); }); });
      return;
    }
    Worker->Token_ = Order.Token_;
    WorkerClock Longest = clockOf(*Worker) + LongestHold;
    Worker->LeaseEnd_ =
        std::max(Worker->LeaseEnd_, std::min(Order.LeaseEnd_, Longest));
    std::erase_if(Worker->Ends_, [&](const ListedEnd &End) {
      if (End.Sequence_ > Order.AcknowledgedEnd_)
        return false;
      Rules_.onEndNoted(End.Task_, End.Run_, End.Kind_);
      return true;
    });
    answerHold(Target.Id_, Worker->Lives_, Answer, Done,
               World_.now() + Order.Wait_, Worker->LastEnd_);
  });
}

void ModelWorkers::answerHold(const std::string &Id, std::uint64_t Life,
                              const Deliver &Answer,
                              const IWorkerControl::HoldCallback &Done,
                              TimePoint Until, std::uint64_t SeenEnd) {
  ModelWorker &Worker = Workers_[Id];
  if (Worker.Lives_ != Life) {
    World_.after(CallLimit, [=] { Answer([=] { Done(HoldAnswer()); }); });
    return;
  }
  bool HasNews = !Worker.Ends_.empty() || Worker.LastEnd_ > SeenEnd;
  if (!HasNews && World_.now() < Until) {
    World_.after(HoldStep, [=, this] {
      answerHold(Id, Life, Answer, Done, Until, SeenEnd);
    });
    return;
  }
  HoldAnswer Made;
  Made.Outcome_ = OrderOutcome::Accepted;
  Made.Clock_ = clockOf(Worker);
  Made.Born_ = Worker.Entry_.Born_;
  Made.Ended_ = Worker.Ends_;
  for (const auto &[Task, Run] : Worker.Running_) {
    bool IsAtWork = World_.now() - Run.Started_ >= LastingStartup;
    Made.Running_.push_back({Task, Run.Run_, "", IsAtWork ? FullSpeed : 0, 0});
  }
  World_.after(OneWay, [=] { Answer([=] { Done(Made); }); });
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
  return Rules_.onMaintenance(Order, Wave, [this](const std::string &Machine) {
    for (auto &[Id, Worker] : Workers_)
      if (Worker.Entry_.Machine_ == Machine && Worker.IsUp_) {
        std::set<TaskName> Ended;
        for (const auto &[Task, Run] : Worker.Running_)
          Ended.insert(Task);
        Rules_.checkBudgets(Ended);
        restart(Id, MaintenanceTime);
        return true;
      }
    return false;
  });
}

MachineOutcome ModelWorkers::move(const MachineOrder &Order,
                                  const std::string &Pool) {
  Rules_.checkHolder(Order);
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
    Rules_.checkBudgets(Ended);
    restart(Id, MoveTime);
    Worker.Entry_.Pool_ = Pool;
    return MachineOutcome::Accepted;
  }
  return MachineOutcome::Refused;
}

} // namespace dragonflylock
