#include "scheduling/internal/dispatcher.h"
#include "global/ilogger.h"
#include "global/logevent.h"
#include "scheduling/internal/advicekeeper.h"
#include "scheduling/internal/poolstate.h"
#include "scheduling/internal/runbook.h"
#include "scheduling/iworkercontrol.h"

#include <algorithm>
#include <map>
#include <utility>

namespace dragonflylock {
namespace {

/// Lease that a start grants by itself; holds extend it. Short, so that a
/// start without an answer is settled soon.
constexpr std::chrono::milliseconds StartLease{2500};
/// How long a worker without room, or an unhealthy one, gets no new tasks.
constexpr std::chrono::milliseconds NoRoomPause{200};
constexpr std::chrono::milliseconds UnhealthyPause{1000};
/// Pause before a task whose start was refused is tried again.
constexpr std::chrono::milliseconds RefusedPause{50};
/// An order that gets no answer for so long may have waited in this node; one
/// that ends sooner was cut off on its way.
constexpr std::chrono::milliseconds LongWait{500};
/// Pause between two orders to stop the same run.
constexpr std::chrono::milliseconds StopRepeat{400};
/// Time for which a gang that does not fit lets less urgent tasks start.
constexpr std::chrono::milliseconds GangPatience{1000};
/// Time from when a gang could start until it no longer keeps them from it;
/// ordinary tasks end within it.
constexpr std::chrono::milliseconds LongestKeeping{6000};
/// Longest time between two looks for unwanted runs.
constexpr std::chrono::milliseconds StopLookInterval{100};

} // namespace

void Dispatcher::dispatch() {
  Pool_.NeedsDispatch_ = false;
  IsHeldBack_ = false;
  Chooser_.beginRound();
  JobIndex &Jobs = Pool_.Index_;
  Jobs.beginScan(
      [this](const RoomNeed &Need) { return Chooser_.hasRoomFor(Need); });
  while (ActiveJob *Job = Jobs.next())
    if (!Pool_.mayAct() || !dispatchJob(*Job))
      return;
}

bool Dispatcher::dispatchJob(ActiveJob &Job) {
  std::uint32_t FullStep = UINT32_MAX;
  std::map<std::pair<std::uint32_t, std::uint32_t>, std::vector<TaskName>>
      Gangs;
  for (const TaskName &Name :
       Job.startableTasks(Pool_.Clock_.now(), Pool_.wallTime())) {
    if (Job.step(Name).IsGang_) {
      Gangs[{Name.Occurrence_, Name.Step_}].push_back(Name);
      continue;
    }
    if (Name.Step_ == FullStep)
      continue;
    if (!admits(1))
      return false;
    WorkerSession *Session = workerFor(Job, Name);
    if (Session == nullptr) {
      FullStep = Name.Step_;
      Job.updateCapacityWait(/*IsMissing=*/true, Pool_.Clock_.now());
      continue;
    }
    start(Job, Name, *Session, nextRun(Job, Name));
  }
  return std::all_of(Gangs.begin(), Gangs.end(), [&](const auto &Each) {
    return dispatchGang(Job, Each.second);
  });
}

RunNumber Dispatcher::nextRun(const ActiveJob &Job,
                              const TaskName &Name) const {
  return std::max(Job.run(Name).Run_, Pool_.FirstRun_) + 1;
}

bool Dispatcher::dispatchGang(ActiveJob &Job,
                              const std::vector<TaskName> &Waiting) {
  std::vector<TaskName> Members = Job.tasksOfStep(Waiting.front());
  if (Waiting.size() == Members.size())
    return startGang(Job, Members);
  completeGang(Job, Waiting);
  return true;
}

bool Dispatcher::mayWaitForRack(const StepSpec &Step,
                                const StepRun &Shared) const {
  // Waiting for longer than the run takes more elsewhere is no gain.
  auto Gain = std::chrono::duration_cast<std::chrono::milliseconds>(
      (Pool_.Settings_.FarFactor_ - 1) * Step.Estimate_);
  return Pool_.Clock_.now() < Shared.CapacityWaitSince_ + Gain;
}

WorkerSession *Dispatcher::workerFor(ActiveJob &Job, const TaskName &Name) {
  const StepSpec &Step = Job.step(Name);
  if (Step.DataRack_.empty())
    return Chooser_.choose(Job, Name);
  StepRun &Shared = Job.stepRun(Name);
  if (Shared.CapacityWaitSince_ == TimePoint())
    Shared.CapacityWaitSince_ = Pool_.Clock_.now();
  if (Chooser_.hasWorkerOn(Step.DataRack_) && mayWaitForRack(Step, Shared))
    return Chooser_.choose(Job, Name, /*OnlyOnDataRack=*/true);
  return Chooser_.choose(Job, Name);
}

bool Dispatcher::startGang(ActiveJob &Job,
                           const std::vector<TaskName> &Members) {
  const TimePoint Now = Pool_.Clock_.now();
  const StepSpec &Step = Job.step(Members.front());
  StepRun &Gang = Job.stepRun(Members.front());
  if (Gang.CapacityWaitSince_ == TimePoint())
    Gang.CapacityWaitSince_ = Now;
  bool WaitsForRack = Step.PrefersSameRack_ && mayWaitForRack(Step, Gang) &&
                      Chooser_.mayFitLater(Job, Members, /*OnOneRack=*/true);
  auto Workers = Chooser_.chooseAll(Job, Members, Step.PrefersSameRack_);
  if (Workers.empty() && Step.PrefersSameRack_ && !WaitsForRack)
    Workers = Chooser_.chooseAll(Job, Members, /*OnOneRack=*/false);
  if (Workers.empty()) {
    Job.updateCapacityWait(/*IsMissing=*/true, Now);
    // Room that becomes free in pieces is kept for a gang that has waited, but
    // not for so long that others suffer from one that does not come to fit.
    bool KeepsRoom = Now >= Gang.CapacityWaitSince_ + GangPatience &&
                     Now < Gang.CapacityWaitSince_ + LongestKeeping;
    return !KeepsRoom || !Chooser_.mayFitLater(Job, Members, WaitsForRack);
  }
  if (!admits(Members.size()))
    return false;
  RunNumber Number = 0;
  for (const TaskName &Name : Members)
    Number = std::max(Number, nextRun(Job, Name));
  Gang = {Number, Now, TimePoint()};
  for (std::size_t Index = 0; Index < Members.size(); ++Index)
    start(Job, Members[Index], *Workers[Index], Number);
  return true;
}

void Dispatcher::completeGang(ActiveJob &Job,
                              const std::vector<TaskName> &Waiting) {
  const TimePoint Now = Pool_.Clock_.now();
  const StepRun &Gang = Job.stepRun(Waiting.front());
  bool MayJoin =
      Now < Gang.StartedAt_ + Pool_.Settings_.GangTimeout_ / 2 &&
      std::all_of(Waiting.begin(), Waiting.end(), [&](const TaskName &Name) {
        const TaskRun &Run = Job.run(Name);
        return Run.WasRefused_ && Run.Run_ == Gang.Run_;
      });
  if (MayJoin) {
    auto Workers = Chooser_.chooseAll(Job, Waiting, /*OnOneRack=*/false);
    for (std::size_t Index = 0; Index < Workers.size(); ++Index)
      start(Job, Waiting[Index], *Workers[Index], Gang.Run_);
    return;
  }
  // The others end by themselves once they know; those that could still wait
  // for a member are stopped.
  for (const TaskName &Name : Job.tasksOfStep(Waiting.front())) {
    const TaskRun &Run = Job.run(Name);
    WorkerSession *Session = Pool_.session(Run.Worker_);
    if (Session == nullptr || Run.Phase_ != TaskPhase::Running)
      continue;
    SessionRun *Known = Session->run(Name);
    if (Known == nullptr)
      continue;
    Known->MustStop_ = true;
    Pool_.NeedsStopLook_ = true;
  }
}

bool Dispatcher::admits(std::size_t Starts) {
  if (Window_.admits(Starts))
    return true;
  Window_.onHeldBack();
  IsHeldBack_ = true;
  return false;
}

void Dispatcher::start(ActiveJob &Job, const TaskName &Name,
                       WorkerSession &Session, RunNumber Number) {
  const TimePoint Now = Pool_.Clock_.now();
  if (!Pool_.mayAct())
    return;
  const StepSpec &Step = Job.step(Name);
  TaskRun &Run = Job.mutableRun(Name);
  Run.Run_ = Number;
  Run.WasRefused_ = false;
  Job.updateCapacityWait(/*IsMissing=*/false, Now);
  Run.Phase_ = TaskPhase::Starting;
  Run.Worker_ = Session.entry().lifetime();
  Run.Percent_ = 0;
  SessionRun Entry;
  Entry.Run_ = Run.Run_;
  Entry.Resources_ = Step.PerTask_;
  Entry.IsFiller_ = Step.IsFiller_;
  Entry.LatencyTarget_ = Step.LatencyTarget_;
  Entry.OrderExpires_ = Now + StartLease + StartLease / 20;
  Session.changeRuns()[Name] = Entry;
  Session.noteLease(Entry.OrderExpires_);
  Chooser_.onStarted(Session, Step);

  Pool_.Logger_.write(LogLevel::Debug,
                      LogEvent("run.ordered")
                          .with("task", Name.text())
                          .with("run", Run.Run_)
                          .with("worker", Session.entry().Id_));
  StartOrder Order;
  Order.Task_ = Name;
  Order.Run_ = Run.Run_;
  Order.Payload_ = Job.submission().Spec_.Payload_;
  Order.LeaseEnd_ = Session.clockAt(Now) + StartLease;
  Order.Token_ = Pool_.Token_;
  Order.Checkpoint_ = Job.progress().task(Name).Checkpoint_;
  if (Advice_.isNeededFor(Job))
    Order.Ticket_ = Advice_.ticketFor(Name, Session);
  Window_.onSent();
  Pool_.Workers_.start(Session.target(), Order,
                       [Weak = weak_from_this(), Lifetime = Run.Worker_, Name,
                        Number = Run.Run_, Now](const OrderAnswer &Answer) {
                         if (auto Self = Weak.lock())
                           Self->onStarted(Lifetime, Name, Number, Now, Answer);
                       });
}

void Dispatcher::noteAnswered(TimePoint Sent, OrderOutcome Outcome) {
  auto Took = std::chrono::duration_cast<std::chrono::milliseconds>(
      Pool_.Clock_.now() - Sent);
  bool IsAnswer =
      Outcome != OrderOutcome::Unknown && Outcome != OrderOutcome::NotSent;
  if (IsAnswer || Took >= LongWait)
    Window_.onAnswered(Took);
  else
    Window_.onUnanswered();
  if (IsHeldBack_ && Window_.isDrained())
    Pool_.NeedsDispatch_ = true;
}

void Dispatcher::onStarted(const std::string &Lifetime, const TaskName &Name,
                           RunNumber Run, TimePoint Sent,
                           const OrderAnswer &Answer) {
  noteAnswered(Sent, Answer.Outcome_);
  WorkerSession *Session = Pool_.session(Lifetime);
  if (Session == nullptr)
    return;
  const TimePoint Now = Pool_.Clock_.now();
  bool IsOther = Answer.Outcome_ == OrderOutcome::OtherLifetime;
  if (Answer.Clock_.count() > 0 && !IsOther)
    Session->noteClock(Answer.Clock_, Now);
  SessionRun *Known = Session->run(Name);
  if (Known == nullptr || Known->Run_ != Run)
    return;
  ActiveJob *Job = Pool_.job(Name.Job_);
  TaskRun *Task = Job != nullptr ? &Job->mutableRun(Name) : nullptr;
  switch (Answer.Outcome_) {
  case OrderOutcome::Accepted:
    Known->ConfirmedAt_ = Now;
    if (Task != nullptr && Task->Phase_ == TaskPhase::Starting)
      Task->Phase_ = TaskPhase::Running;
    Session->NextHold_ = std::min(Session->NextHold_, Now);
    return;
  case OrderOutcome::Unknown:
    // Settled by a hold: the run is listed, or its lease has ended.
    if (Task != nullptr && Task->Phase_ == TaskPhase::Starting)
      Task->Phase_ = TaskPhase::Uncertain;
    Session->NextHold_ = Now;
    Session->AvoidUntil_ = std::max(Session->AvoidUntil_, Now + UnhealthyPause);
    return;
  default:
    onStartRefused(*Session, Name, Answer.Outcome_);
  }
}

void Dispatcher::onStartRefused(WorkerSession &Session, const TaskName &Name,
                                OrderOutcome Outcome) {
  const TimePoint Now = Pool_.Clock_.now();
  Runs_.release(Session, Name);
  if (ActiveJob *Job = Pool_.job(Name.Job_)) {
    TaskRun &Run = Job->mutableRun(Name);
    Run.NotBefore_ = Now + RefusedPause;
    Run.WasRefused_ = true;
  }
  if (Outcome == OrderOutcome::BadTicket)
    Advice_.drop(Name, Session.entry().lifetime());
  std::chrono::milliseconds Pause = UnhealthyPause;
  if (Outcome == OrderOutcome::NoRoom || Outcome == OrderOutcome::TooLate ||
      Outcome == OrderOutcome::OldRun)
    Pause = NoRoomPause;
  if (Outcome == OrderOutcome::BadTicket)
    Pause = std::chrono::milliseconds(0);
  Session.AvoidUntil_ = std::max(Session.AvoidUntil_, Now + Pause);
  Session.NextHold_ = Now;
  if (Outcome == OrderOutcome::OtherLifetime) {
    Session.IsListed_ = false;
    Runs_.releaseDead(Session);
  }
  Pool_.Logger_.write(
      LogLevel::Warning,
      LogEvent("start.refused")
          .with("task", Name.text())
          .with("worker", Session.entry().Id_)
          .with("outcome", static_cast<std::uint64_t>(Outcome)));
}

bool Dispatcher::isUnwanted(const WorkerSession &Session,
                            const TaskName &Name) {
  ActiveJob *Job = Pool_.job(Name.Job_);
  if (Job == nullptr || Job->isOver())
    return true;
  if (Job->progress().task(Name).IsDone_)
    return true;
  return Session.entry().State_ == WorkerState::Draining &&
         Job->step(Name).IsLongRunning_;
}

void Dispatcher::abandon(WorkerSession &Session) { Runs_.releaseAll(Session); }

void Dispatcher::stopUnwanted() {
  if (!Pool_.mayAct())
    return;
  const TimePoint Now = Pool_.Clock_.now();
  Pool_.Index_.refresh();
  if (!Pool_.NeedsStopLook_ && Now < NextStopLook_)
    return;
  Pool_.NeedsStopLook_ = false;
  NextStopLook_ = Now + StopLookInterval;
  for (auto &[Lifetime, Session] : Pool_.Sessions_) {
    // A worker that answers no hold is told once it does, or its runs lapse.
    if (!Session->IsFenced_ || Session->HoldFailures_ > 0)
      continue;
    for (const auto &[Name, Run] : Session->runs()) {
      if (!Run.MustStop_ && !isUnwanted(*Session, Name))
        continue;
      if (!Run.IsStopAsked_ && Run.NextStop_ <= Now) {
        if (!StopWindow_.admits()) {
          Pool_.NeedsStopLook_ = true; // The next round goes on.
          return;
        }
        Session->run(Name)->NextStop_ = Now + StopRepeat;
        stop(*Session, Name, Run.Run_);
      }
      NextStopLook_ = std::min(NextStopLook_, Run.NextStop_);
    }
  }
}

void Dispatcher::stop(WorkerSession &Session, const TaskName &Name,
                      RunNumber Run) {
  if (!Pool_.mayAct())
    return;
  ActiveJob *Job = Pool_.job(Name.Job_);
  if (Job != nullptr && Job->progress().contains(Name) &&
      Job->run(Name).Worker_ == Session.entry().lifetime() &&
      Job->run(Name).Phase_ == TaskPhase::Running)
    Job->mutableRun(Name).Phase_ = TaskPhase::Stopping;
  Session.NextHold_ = std::min(Session.NextHold_, Pool_.Clock_.now());
  if (SessionRun *Known = Session.run(Name))
    Known->IsStopAsked_ = true;
  StopWindow_.onSent();
  Pool_.Workers_.stop(
      Session.target(), Name, Run, Pool_.Token_,
      [Weak = weak_from_this(), Name, Run,
       Lifetime = Session.entry().lifetime()](const OrderAnswer &Answer) {
        if (auto Self = Weak.lock())
          Self->onStopped(Lifetime, Name, Run, Answer);
      });
}

void Dispatcher::onStopped(const std::string &Lifetime, const TaskName &Name,
                           RunNumber Run, const OrderAnswer &Answer) {
  // The time may be that of the run's end, so that it tells nothing.
  StopWindow_.onUnanswered();
  WorkerSession *Session = Pool_.session(Lifetime);
  if (Session == nullptr)
    return;
  SessionRun *Known = Session->run(Name);
  if (Known != nullptr)
    Known->IsStopAsked_ = false;
  if (Answer.Outcome_ != OrderOutcome::Accepted)
    return;
  // From now on the worker rejects the run, so that lists without it settle
  // that it does not exist.
  if (Known != nullptr && Known->Run_ == Run && !Known->ConfirmedAt_)
    Known->ConfirmedAt_ = Pool_.Clock_.now();
}

} // namespace dragonflylock
