#include "scheduling/internal/dispatcher.h"
#include "global/ilogger.h"
#include "global/logevent.h"
#include "scheduling/internal/advicecache.h"
#include "scheduling/internal/poolstate.h"
#include "scheduling/internal/runtracker.h"
#include "scheduling/iworkercontrol.h"

#include <algorithm>
#include <map>
#include <optional>
#include <utility>

namespace dragonflylock {
namespace {

/// Lease that a start order grants; hold orders extend it. It is short so that
/// a start without a response is resolved soon.
constexpr std::chrono::milliseconds StartLease{2500};
/// How long a worker that lacks resources, or that is unhealthy, gets no new
/// tasks.
constexpr std::chrono::milliseconds NoRoomDelay{200};
constexpr std::chrono::milliseconds UnhealthyDelay{1000};
/// The same while further starts do not reach the worker. No job may wait for
/// 3 s beside free workers.
constexpr std::chrono::milliseconds UnreachableDelay{2500};
/// Delay before a task whose start was refused is tried again.
constexpr std::chrono::milliseconds RefusedStartDelay{50};
/// Number of doublings of the step from one run number to the next. The last
/// step exceeds the numbers that a task can have used.
constexpr std::uint32_t MaxRunNumberDoublings = 32;
/// An order that fails without a response after at least this time may have
/// been delayed in this node and counts as a slow response. One that fails
/// sooner was cut off on the network and says nothing about this node.
constexpr std::chrono::milliseconds SlowTimeout{500};
/// Interval between two stop orders for the same run.
constexpr std::chrono::milliseconds StopRetryInterval{400};
/// How long a gang that does not fit lets less urgent tasks start before
/// resources are reserved for it.
constexpr std::chrono::milliseconds GangReservationDelay{1000};
/// How long after a gang became startable the reservation ends, so that less
/// urgent tasks start again. Ordinary tasks end within this time.
constexpr std::chrono::milliseconds MaxGangReservation{6000};
/// Longest time for which reservations for gangs delay a job. No job may wait
/// for 3 s beside free workers.
constexpr std::chrono::milliseconds MaxHoldBack{2500};
/// Longest wait for a rack, for the same reason.
constexpr std::chrono::milliseconds MaxRackWait{2000};
/// Maximum time between two scans for unwanted runs.
constexpr std::chrono::milliseconds MaxStopScanInterval{100};

} // namespace

void Dispatcher::dispatch() {
  Pool_.NeedsDispatch_ = false;
  WasLimited_ = false;
  IsReserving_ = false;
  Chooser_.beginRound();
  JobIndex &Jobs = Pool_.Index_;
  Jobs.beginScan([this](const WorkerRequirements &Need) {
    return Chooser_.hasResourcesFor(Need);
  });
  while (ActiveJob *Job = Jobs.next()) {
    if (!Pool_.holdsLease())
      return;
    if (IsReserving_ && isHeldBack(*Job))
      continue;
    if (!dispatchJob(*Job) && (WasLimited_ || !IsReserving_))
      return;
  }
}

bool Dispatcher::isHeldBack(ActiveJob &Job) const {
  const TimePoint Now = Pool_.Clock_.now();
  Job.updateCapacityWait(/*IsMissing=*/true, Now);
  return Now < Job.holdBack(Now) + MaxHoldBack;
}

bool Dispatcher::isWithinLimit(const ActiveJob &Job, const TaskName &Name,
                               std::size_t Tasks) {
  if (Pool_.Limits_ == nullptr)
    return true;
  const StepSpec &Step = Job.step(Name);
  const Resources PerTask = requiredResources(Step);
  if (Pool_.mayStart(Job, PerTask, Tasks))
    return true;
  Pool_.Index_.refuse(Job, {PerTask, Step.RequiredLabel_},
                      Step.IsGang_ ? Step.TaskCount_ : 0);
  return false;
}

bool Dispatcher::dispatchJob(ActiveJob &Job) {
  if (Job.submissionVersion() > Pool_.StartWatermark_) {
    // Without this, the job would not be visited again before there is room.
    Job.updateCapacityWait(/*IsMissing=*/true, Pool_.Clock_.now());
    return true;
  }
  // Occurrence and step. Each occurrence of a step may use other workers.
  using StepKey = std::pair<std::uint32_t, std::uint32_t>;
  std::optional<StepKey> UnplaceableStep;
  std::map<StepKey, std::vector<TaskName>> Gangs;
  for (const TaskName &Name :
       Job.startableTasks(Pool_.Clock_.now(), Pool_.wallTime())) {
    const StepKey Step{Name.Occurrence_, Name.Step_};
    if (Job.step(Name).IsGang_) {
      Gangs[Step].push_back(Name);
      continue;
    }
    if (Step == UnplaceableStep)
      continue;
    const RunNumber Number = nextRunNumber(Job, Name);
    if (!Pool_.isRunNumberReserved(Number))
      continue;
    if (!isWithinLimit(Job, Name, 1)) {
      UnplaceableStep = Step;
      continue;
    }
    if (!admits(1))
      return false;
    WorkerSession *Session = workerFor(Job, Name);
    if (Session == nullptr) {
      UnplaceableStep = Step;
      Job.updateCapacityWait(/*IsMissing=*/true, Pool_.Clock_.now());
      continue;
    }
    start(Job, Name, *Session, Number);
    if (Pool_.Index_.postpone(Job))
      return true;
  }
  bool MayGoOn = true;
  for (const auto &[Step, Waiting] : Gangs) {
    MayGoOn = dispatchGang(Job, Waiting) && MayGoOn;
    if (WasLimited_ || Pool_.Index_.postpone(Job))
      break;
  }
  return MayGoOn;
}

RunNumber Dispatcher::nextRunNumber(const ActiveJob &Job,
                                    const TaskName &Name) const {
  // A refusal as stale does not tell the number that the worker knows, so that
  // the step doubles with each one.
  const TaskRun &Run = Job.run(Name);
  const RunNumber Step = RunNumber{1}
                         << std::min(Run.StaleStarts_, MaxRunNumberDoublings);
  return std::max(Run.Run_, Pool_.RunNumberBase_) + Step;
}

bool Dispatcher::dispatchGang(ActiveJob &Job,
                              const std::vector<TaskName> &Waiting) {
  std::vector<TaskName> Members = Job.tasksOfStep(Waiting.front());
  if (Waiting.size() == Members.size())
    return startWholeGang(Job, Members);
  startMissingMembers(Job, Waiting);
  return true;
}

bool Dispatcher::mayWaitForRack(const StepSpec &Step,
                                const StepRun &StepState) const {
  // Waiting for longer than the extra run time on another rack gains nothing.
  auto ExtraTime = std::chrono::duration_cast<std::chrono::milliseconds>(
      (Pool_.Settings_.OffRackSlowdown_ - 1) * Step.Estimate_);
  auto MaxWait = std::min(ExtraTime, MaxRackWait);
  return Pool_.Clock_.now() < StepState.CapacityWaitSince_ + MaxWait;
}

WorkerSession *Dispatcher::workerFor(ActiveJob &Job, const TaskName &Name) {
  const StepSpec &Step = Job.step(Name);
  if (Step.DataRack_.empty())
    return Chooser_.choose(Job, Name);
  StepRun &StepState = Job.stepRun(Name);
  // The wait for the rack includes the time for which a gang held the job back.
  if (StepState.CapacityWaitSince_ == TimePoint())
    StepState.CapacityWaitSince_ =
        Job.capacityWaitSince().value_or(Pool_.Clock_.now());
  if (Chooser_.hasWorkerOnRack(Step.DataRack_) &&
      mayWaitForRack(Step, StepState))
    return Chooser_.choose(Job, Name, /*OnlyOnDataRack=*/true);
  return Chooser_.choose(Job, Name);
}

bool Dispatcher::startWholeGang(ActiveJob &Job,
                                const std::vector<TaskName> &Members) {
  const TimePoint Now = Pool_.Clock_.now();
  const StepSpec &Step = Job.step(Members.front());
  StepRun &Gang = Job.stepRun(Members.front());
  if (!isWithinLimit(Job, Members.front(), Members.size())) {
    // The time for which resources may be reserved begins when the limit admits
    // the gang.
    Gang.CapacityWaitSince_ = TimePoint();
    return true;
  }
  if (Gang.CapacityWaitSince_ == TimePoint())
    Gang.CapacityWaitSince_ = Now;
  bool WaitsForRack = Step.PrefersSameRack_ && mayWaitForRack(Step, Gang) &&
                      Chooser_.couldFitLater(Job, Members, /*OnOneRack=*/true);
  auto Workers = Chooser_.chooseAll(Job, Members, Step.PrefersSameRack_);
  if (Workers.empty() && Step.PrefersSameRack_ && !WaitsForRack)
    Workers = Chooser_.chooseAll(Job, Members, /*OnOneRack=*/false);
  if (Workers.empty()) {
    Job.updateCapacityWait(/*IsMissing=*/true, Now);
    // Resources that become free piece by piece are reserved for a gang that
    // has waited for some time, but only for a limited time: a gang that never
    // comes to fit must not block other tasks. A gang that was overtaken has
    // resources reserved in each of its turns.
    bool IsTimeToReserve =
        Now >= Gang.CapacityWaitSince_ + GangReservationDelay &&
        Now < Gang.CapacityWaitSince_ + MaxGangReservation;
    bool ReservesResources = (IsTimeToReserve || Pool_.Index_.hasTurn(Job)) &&
                             Chooser_.couldFitLater(Job, Members, WaitsForRack);
    IsReserving_ = IsReserving_ || ReservesResources;
    return !ReservesResources;
  }
  if (!admits(Members.size()))
    return false;
  RunNumber Number = 0;
  for (const TaskName &Name : Members)
    Number = std::max(Number, nextRunNumber(Job, Name));
  if (!Pool_.isRunNumberReserved(Number))
    return true;
  Gang = {Number, Now, TimePoint()};
  for (std::size_t Index = 0; Index < Members.size(); ++Index)
    start(Job, Members[Index], *Workers[Index], Number);
  return true;
}

void Dispatcher::startMissingMembers(ActiveJob &Job,
                                     const std::vector<TaskName> &Waiting) {
  const TimePoint Now = Pool_.Clock_.now();
  const StepRun &Gang = Job.stepRun(Waiting.front());
  bool MayRejoin =
      Now < Gang.StartedAt_ + Pool_.Settings_.GangTimeout_ / 2 &&
      std::all_of(Waiting.begin(), Waiting.end(), [&](const TaskName &Name) {
        const TaskRun &Run = Job.run(Name);
        return Run.WasRefused_ && Run.StaleStarts_ == 0 &&
               Run.Run_ == Gang.Run_;
      });
  if (MayRejoin) {
    if (!isWithinLimit(Job, Waiting.front(), Waiting.size()))
      return;
    auto Workers = Chooser_.chooseAll(Job, Waiting, /*OnOneRack=*/false);
    for (std::size_t Index = 0; Index < Workers.size(); ++Index)
      start(Job, Waiting[Index], *Workers[Index], Gang.Run_);
    return;
  }
  // The other members end by themselves once their workers detect that the gang
  // is incomplete. Members that run, and could still wait for a missing one,
  // are stopped here.
  for (const TaskName &Name : Job.tasksOfStep(Waiting.front())) {
    const TaskRun &Run = Job.run(Name);
    WorkerSession *Session = Pool_.session(Run.Worker_);
    if (Session == nullptr || Run.Phase_ != TaskPhase::Running)
      continue;
    SessionRun *Known = Session->run(Name);
    if (Known == nullptr)
      continue;
    Known->MustStop_ = true;
    Pool_.NeedsStopCheck_ = true;
  }
}

bool Dispatcher::admits(std::size_t Starts) {
  if (StartLimiter_.admits(Starts))
    return true;
  StartLimiter_.onLimitReached();
  WasLimited_ = true;
  return false;
}

void Dispatcher::start(ActiveJob &Job, const TaskName &Name,
                       WorkerSession &Session, RunNumber Number) {
  const TimePoint Now = Pool_.Clock_.now();
  if (!Pool_.holdsLease())
    return;
  const StepSpec &Step = Job.step(Name);
  TaskRun &Run = Job.mutableRun(Name);
  Run.Run_ = Number;
  Run.WasRefused_ = false;
  Run.StartedAt_ = Now;
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
  Entry.LatestArrival_ = Now + Pool_.Settings_.MaxOrderDelay_;
  Session.changeRuns()[Name] = Entry;
  if (Job.progress().task(Name).CrashedRuns_.size() >=
      WorkerSession::CrashedRunsBeforeTrial)
    Session.setRunOnTrial(Name);
  Session.IsTokenUsed_ = true;
  Session.recordLease(Entry.OrderExpires_);
  Session.recordLeaseOfUnlistedRuns(Pool_.latestLeaseExpiry(Now));
  Chooser_.onStarted(Session, Step);
  Pool_.Index_.onStarted(Job, Step);

  Pool_.Logger_.write(LogLevel::Debug,
                      LogEvent("run.ordered")
                          .with("task", Name.text())
                          .with("run", Run.Run_)
                          .with("lifetime", Session.entry().lifetime())
                          .with("token", Session.Token_));
  StartOrder Order;
  Order.Task_ = Name;
  Order.Run_ = Run.Run_;
  Order.Payload_ = Job.submission().Spec_.Payload_;
  Order.LeaseEnd_ = Session.workerTimeAt(Now) + StartLease;
  Order.Token_ = Session.Token_;
  Order.Checkpoint_ = Job.progress().task(Name).Checkpoint_;
  if (Advice_.isNeededFor(Job))
    Order.Ticket_ = Advice_.ticketFor(Name, Session);
  StartLimiter_.onSent();
  Pool_.Workers_.start(Session.target(), Order,
                       [Weak = weak_from_this(), Lifetime = Run.Worker_, Name,
                        Number = Run.Run_, Now](const OrderAnswer &Answer) {
                         if (auto Self = Weak.lock())
                           Self->onStarted(Lifetime, Name, Number, Now, Answer);
                       });
}

void Dispatcher::recordResponse(TimePoint Sent, OrderOutcome Outcome) {
  auto Latency = std::chrono::duration_cast<std::chrono::milliseconds>(
      Pool_.Clock_.now() - Sent);
  bool IsAnswer =
      Outcome != OrderOutcome::Unknown && Outcome != OrderOutcome::NotSent;
  if (IsAnswer || Latency >= SlowTimeout)
    StartLimiter_.onAnswered(Latency);
  else
    StartLimiter_.onUnanswered();
  if (WasLimited_ && StartLimiter_.isHalfEmpty())
    Pool_.NeedsDispatch_ = true;
}

void Dispatcher::onStarted(const std::string &Lifetime, const TaskName &Name,
                           RunNumber Run, TimePoint Sent,
                           const OrderAnswer &Answer) {
  recordResponse(Sent, Answer.Outcome_);
  WorkerSession *Session = Pool_.session(Lifetime);
  if (Session == nullptr)
    return;
  Pool_.onOrderEnded(*Session, Answer.Outcome_);
  const TimePoint Now = Pool_.Clock_.now();
  bool IsOtherLifetime = Answer.Outcome_ == OrderOutcome::OtherLifetime;
  if (Answer.Clock_.count() > 0 && !IsOtherLifetime)
    Session->updateClock(Answer.Clock_, Now);
  SessionRun *Known = Session->run(Name);
  if (Known == nullptr || Known->Run_ != Run)
    return;
  if (Answer.Outcome_ != OrderOutcome::Unknown)
    Known->LatestArrival_ = TimePoint();
  ActiveJob *Job = Pool_.job(Name.Job_);
  TaskRun *Task = Job != nullptr ? &Job->mutableRun(Name) : nullptr;
  switch (Answer.Outcome_) {
  case OrderOutcome::Accepted:
    Known->ConfirmedAt_ = Now;
    Session->UnsentStarts_ = 0;
    if (Task != nullptr)
      Task->StaleStarts_ = 0;
    if (!Known->ConfirmedClock_ && Answer.Clock_.count() > 0)
      Known->ConfirmedClock_ = Answer.Clock_;
    if (Task != nullptr && Task->Phase_ == TaskPhase::Starting)
      Task->Phase_ = TaskPhase::Running;
    if (Job != nullptr)
      Job->markStarted();
    if (Job != nullptr && !Job->isOver())
      RunTracker::recordRunning(*Job);
    Session->NextHoldAt_ = std::min(Session->NextHoldAt_, Now);
    return;
  case OrderOutcome::Unknown:
    // A hold order resolves this: either the worker lists the run, or the lease
    // of the start expires.
    Known->IsUnanswered_ = true;
    if (Task != nullptr && Task->Phase_ == TaskPhase::Starting)
      Task->Phase_ = TaskPhase::Uncertain;
    Session->NextHoldAt_ = Now;
    Session->NoStartsBefore_ =
        std::max(Session->NoStartsBefore_, Now + UnhealthyDelay);
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
    Run.NotBefore_ = Now + RefusedStartDelay;
    Run.WasRefused_ = true;
    Run.StaleStarts_ =
        Outcome == OrderOutcome::StaleRun ? Run.StaleStarts_ + 1 : 0;
  }
  if (Outcome == OrderOutcome::Fenced)
    Pool_.onFenced(Session);
  if (Outcome == OrderOutcome::BadTicket)
    Advice_.invalidateTicket(Name, Session.entry().lifetime());
  std::chrono::milliseconds Delay = UnhealthyDelay;
  Session.UnsentStarts_ =
      Outcome == OrderOutcome::NotSent ? Session.UnsentStarts_ + 1 : 0;
  if (Session.UnsentStarts_ > 1)
    Delay = UnreachableDelay;
  if (Outcome == OrderOutcome::NoRoom || Outcome == OrderOutcome::TooLate ||
      Outcome == OrderOutcome::StaleRun)
    Delay = NoRoomDelay;
  if (Outcome == OrderOutcome::BadTicket)
    Delay = std::chrono::milliseconds(0);
  Session.NoStartsBefore_ = std::max(Session.NoStartsBefore_, Now + Delay);
  Session.NextHoldAt_ = Now;
  if (Outcome == OrderOutcome::OtherLifetime) {
    Session.IsListed_ = false;
    Runs_.recordCrash(Session);
    Runs_.releaseListed(Session);
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

void Dispatcher::releaseAllRuns(WorkerSession &Session) {
  Runs_.releaseAll(Session);
}

void Dispatcher::stopUnwanted() {
  if (!Pool_.holdsLease())
    return;
  const TimePoint Now = Pool_.Clock_.now();
  Pool_.Index_.refresh();
  if (!Pool_.NeedsStopCheck_ && Now < NextStopScanAt_)
    return;
  Pool_.NeedsStopCheck_ = false;
  NextStopScanAt_ = Now + MaxStopScanInterval;
  for (auto &[Lifetime, Session] : Pool_.Sessions_) {
    // A worker that does not respond to hold orders gets the stop order once it
    // responds again; otherwise the leases of its runs expire.
    if (!Session->IsFenced_ || Session->IsSuperseded_ ||
        Session->HoldFailures_ > 0)
      continue;
    for (const auto &[Name, Run] : Session->runs()) {
      if (!Run.MustStop_ && !isUnwanted(*Session, Name))
        continue;
      if (!Run.IsStopPending_ && Run.NextStop_ <= Now) {
        if (!StopLimiter_.admits()) {
          Pool_.NeedsStopCheck_ = true; // Continues in the next scan.
          return;
        }
        Session->run(Name)->NextStop_ = Now + StopRetryInterval;
        stop(*Session, Name, Run.Run_);
      }
      NextStopScanAt_ = std::min(NextStopScanAt_, Run.NextStop_);
    }
  }
}

void Dispatcher::stop(WorkerSession &Session, const TaskName &Name,
                      RunNumber Run) {
  if (!Pool_.holdsLease())
    return;
  ActiveJob *Job = Pool_.job(Name.Job_);
  if (Job != nullptr && Job->progress().contains(Name) &&
      Job->run(Name).Worker_ == Session.entry().lifetime() &&
      Job->run(Name).Phase_ == TaskPhase::Running)
    Job->mutableRun(Name).Phase_ = TaskPhase::Stopping;
  Session.NextHoldAt_ = std::min(Session.NextHoldAt_, Pool_.Clock_.now());
  if (SessionRun *Known = Session.run(Name))
    Known->IsStopPending_ = true;
  StopLimiter_.onSent();
  Pool_.Workers_.stop(
      Session.target(), Name, Run, Session.Token_,
      [Weak = weak_from_this(), Name, Run,
       Lifetime = Session.entry().lifetime()](const OrderAnswer &Answer) {
        if (auto Self = Weak.lock())
          Self->onStopped(Lifetime, Name, Run, Answer);
      });
}

void Dispatcher::onStopped(const std::string &Lifetime, const TaskName &Name,
                           RunNumber Run, const OrderAnswer &Answer) {
  // A stop may be answered only when the run has ended, so the response time
  // says nothing about this node's load.
  StopLimiter_.onUnanswered();
  WorkerSession *Session = Pool_.session(Lifetime);
  if (Session == nullptr)
    return;
  SessionRun *Known = Session->run(Name);
  if (Known != nullptr)
    Known->IsStopPending_ = false;
  if (Answer.Outcome_ != OrderOutcome::Accepted)
    return;
  // From now on the worker rejects the run, so lists without it prove that it
  // does not exist.
  if (Known != nullptr && Known->Run_ == Run && !Known->ConfirmedAt_)
    Known->ConfirmedAt_ = Pool_.Clock_.now();
}

} // namespace dragonflylock
