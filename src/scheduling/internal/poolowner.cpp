#include "scheduling/poolowner.h"
#include "global/ilogger.h"
#include "global/logevent.h"
#include "scheduling/demandboard.h"
#include "scheduling/internal/advicekeeper.h"
#include "scheduling/internal/dispatcher.h"
#include "scheduling/internal/holdkeeper.h"
#include "scheduling/internal/jobfollower.h"
#include "scheduling/internal/jobregistry.h"
#include "scheduling/internal/machinelister.h"
#include "scheduling/internal/maintenancekeeper.h"
#include "scheduling/internal/movekeeper.h"
#include "scheduling/internal/pacekeeper.h"
#include "scheduling/internal/poolstate.h"
#include "scheduling/internal/progresswriter.h"
#include "scheduling/internal/rosterkeeper.h"
#include "scheduling/internal/runbook.h"
#include "scheduling/poolview.h"

#include <algorithm>
#include <set>

namespace dragonflylock {
namespace {

/// Run numbers that each owner of a pool has for itself, so that a later
/// owner's are higher without a record of each start.
constexpr RunNumber RunsPerOwner = 10000;
/// Longest time between two looks for startable tasks, for tasks that become
/// due or whose pause ends.
constexpr std::chrono::milliseconds DispatchInterval{100};
constexpr std::chrono::milliseconds StatusInterval{1000};
/// Holds without an answer after which the platform is asked for the state of
/// a worker's machine.
constexpr std::uint32_t DoubtfulAfter = 2;
/// Interval of reading the list of machines while a worker is silent.
constexpr std::chrono::milliseconds MachineListInterval{1000};
/// Workers that a line of log names at most.
constexpr std::uint64_t MostExamples = 5;

std::uint64_t millisecondsBetween(TimePoint From, TimePoint To) {
  auto Elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::max(To, From) - From);
  return static_cast<std::uint64_t>(Elapsed.count());
}

/// The worker that a machine has now.
struct LaterWorker {
  std::string Id_;
  std::chrono::milliseconds Born_{0};
};

} // namespace

struct PoolOwner::Parts {
  Parts(const Builder &Source, const PoolTenure &Tenure)
      : State_(Tenure.Pool_, *Source.Settings_, *Source.Clock_, *Source.Store_,
               *Source.Workers_, *Source.Logger_),
        Runs_(State_), Jobs_(State_, Runs_),
        Advice_(std::make_shared<AdviceKeeper>(State_, *Source.Advisor_)),
        Starts_(std::make_shared<Dispatcher>(State_, Runs_, *Advice_)),
        Holds_(std::make_shared<HoldKeeper>(State_, Runs_, *Starts_)),
        Writer_(std::make_shared<ProgressWriter>(State_, Runs_)),
        Roster_(std::make_shared<RosterKeeper>(State_)),
        Paces_(std::make_shared<PaceKeeper>(State_)),
        Machines_(std::make_shared<MachineLister>(
            *Source.Machines_, State_.Clock_, State_.Logger_)),
        Maintenance_(std::make_shared<MaintenanceKeeper>(
            State_, *Starts_, *Source.Machines_, *Machines_, *Source.Ledger_)),
        Moves_(std::make_shared<MoveKeeper>(State_, *Source.Machines_,
                                            *Machines_, *Source.Ledger_,
                                            *Source.Demands_)),
        Demands_(*Source.Demands_),
        Follower_(std::make_shared<JobFollower>(
            State_.Store_, State_.Clock_, State_.Logger_,
            [this](const StoreRow &Row) { Jobs_.onRow(Row); })),
        HasPredecessor_(Tenure.Predecessors_ > 0) {
    State_.Token_ = Tenure.Token_;
    State_.FirstRun_ = Tenure.Predecessors_ * RunsPerOwner;
    State_.LeaseEnd_ = Tenure.LeaseEnd_;
    if (HasPredecessor_)
      State_.InheritedLapse_ = State_.surelyLapsed(
          Tenure.PredecessorEnd_.value_or(State_.Clock_.now()));
  }

  void onLoaded();
  PoolView view() const;
  void logStatus();
  void followQueues();
  void removeGoneWorkers();
  /// \returns whether each worker that an earlier owner may have used has
  /// answered a hold or left one unanswered. Runs that have lapsed, or that
  /// ended while the jobs were loaded, are still among its ends.
  bool wereAllAsked() const;
  /// Lets tasks start again that can't run under an earlier owner's orders.
  void settleInherited();
  /// Tells now and then which workers keep inherited tasks from starting.
  void logInheritedWait();
  /// Ends the sessions of workers that now live in another pool.
  void endLivesBeforeMoves();
  /// Ends the sessions of silent workers whose machine has a later worker.
  void endReplacedLives();
  bool hasSeenToken(const LaterWorker &Worker);
  /// Gives up the runs of silent workers that the platform no longer lists on
  /// their machine.
  void releaseOnStoppedMachines();
  bool hasLeftItsMachine(const WorkerSession &Session) const;
  /// Ends the sessions of earlier lifetimes of the same worker.
  void endEarlierLives(WorkerSession &Latest);

  PoolState State_;
  RunBook Runs_;
  JobRegistry Jobs_;
  std::shared_ptr<AdviceKeeper> Advice_;
  std::shared_ptr<Dispatcher> Starts_;
  std::shared_ptr<HoldKeeper> Holds_;
  std::shared_ptr<ProgressWriter> Writer_;
  std::shared_ptr<RosterKeeper> Roster_;
  std::shared_ptr<PaceKeeper> Paces_;
  std::shared_ptr<MachineLister> Machines_;
  std::shared_ptr<MaintenanceKeeper> Maintenance_;
  std::shared_ptr<MoveKeeper> Moves_;
  const DemandBoard &Demands_;
  std::shared_ptr<JobFollower> Follower_;
  /// Registered workers of other pools: id and start of the lifetime.
  std::map<std::string, std::chrono::milliseconds> Elsewhere_;
  /// By machine: the registered worker that was born last, of any pool.
  std::map<std::string, LaterWorker> LatestOnMachine_;
  bool IsLoaded_ = false;
  /// Whether the registered workers have been told.
  bool AreWorkersKnown_ = false;
  /// Whether an earlier owner may have left runs behind.
  bool HasPredecessor_;
  bool IsInheritedSettled_ = false;
  /// Tasks that may run on silent workers since an earlier owner.
  std::set<std::string> InheritedTasks_;
  TimePoint NextDispatch_;
  TimePoint NextStatus_;
  /// When the jobs were loaded, from which the wait for workers counts.
  TimePoint LoadedAt_;
  TimePoint NextWaitLog_;
};

PoolOwner::Builder &
PoolOwner::Builder::settings(const SchedulingSettings &Value) {
  Settings_ = &Value;
  return *this;
}

PoolOwner::Builder &PoolOwner::Builder::clock(const IClock &Value) {
  Clock_ = &Value;
  return *this;
}

PoolOwner::Builder &PoolOwner::Builder::store(IStore &Value) {
  Store_ = &Value;
  return *this;
}

PoolOwner::Builder &PoolOwner::Builder::workers(IWorkerControl &Value) {
  Workers_ = &Value;
  return *this;
}

PoolOwner::Builder &PoolOwner::Builder::machines(IMachineControl &Value) {
  Machines_ = &Value;
  return *this;
}

PoolOwner::Builder &PoolOwner::Builder::advisor(IAdvisor &Value) {
  Advisor_ = &Value;
  return *this;
}

PoolOwner::Builder &PoolOwner::Builder::ledger(MachineLedger &Value) {
  Ledger_ = &Value;
  return *this;
}

PoolOwner::Builder &PoolOwner::Builder::demands(DemandBoard &Value) {
  Demands_ = &Value;
  return *this;
}

PoolOwner::Builder &PoolOwner::Builder::logger(ILogger &Value) {
  Logger_ = &Value;
  return *this;
}

std::unique_ptr<PoolOwner>
PoolOwner::Builder::build(const PoolTenure &Tenure) const {
  return std::unique_ptr<PoolOwner>(
      new PoolOwner(std::make_unique<Parts>(*this, Tenure)));
}

PoolOwner::PoolOwner(std::unique_ptr<Parts> Built) : Parts_(std::move(Built)) {}

PoolOwner::~PoolOwner() = default;

void PoolOwner::Parts::onLoaded() {
  IsLoaded_ = true;
  LoadedAt_ = State_.Clock_.now();
  NextWaitLog_ = LoadedAt_ + StatusInterval;
  for (auto &[Id, Job] : State_.Jobs_) {
    if (!HasPredecessor_)
      continue;
    Job->forEachMutableTask([](const TaskName &, TaskRun &Run) {
      Run.MayHaveInheritedRun_ = Run.Phase_ != TaskPhase::Done;
    });
  }
  State_.NeedsDispatch_ = true;
  LogEvent Event("pool.loaded");
  Event.with("pool", State_.Pool_)
      .with("token", State_.Token_)
      .with("jobs", std::uint64_t{State_.Jobs_.size()});
  Follower_->describe(Event);
  State_.Logger_.write(LogLevel::Info, Event);
}

void PoolOwner::Parts::followQueues() {
  Follower_->follow(Roster_->queues());
  Follower_->tick();
  if (!IsLoaded_ && Follower_->isLoaded())
    onLoaded();
}

PoolView PoolOwner::Parts::view() const {
  const TimePoint Now = State_.Clock_.now();
  PoolView View;
  View.Pool_ = State_.Pool_;
  View.Token_ = State_.Token_;
  View.LeaseLeft_ = std::chrono::duration_cast<std::chrono::milliseconds>(
      State_.LeaseEnd_ - Now);
  View.Jobs_ = State_.Jobs_.size();
  View.JobVisits_ = State_.Index_.visitCount();
  View.Workers_ = State_.Sessions_.size();
  for (const auto &[Lifetime, Session] : State_.Sessions_) {
    View.Runs_ += Session->runs().size();
    if (!Session->IsListed_)
      continue;
    View.Free_ += Session->freeRoom();
    View.Total_ += Session->entry().Capacity_;
  }
  for (const auto &[Id, Job] : State_.Jobs_)
    View.WaitingTasks_ += Job->countStartableTasks(Now, State_.wallTime());
  const DemandRow &Demand = Demands_.of(State_.Pool_).Row_;
  View.MissingMachines_ = Demand.Missing_;
  View.ComingMachines_ = Demand.Coming_.size();
  return View;
}

void PoolOwner::Parts::logStatus() {
  const TimePoint Now = State_.Clock_.now();
  if (Now < NextStatus_)
    return;
  NextStatus_ = Now + StatusInterval;
  PoolView View = view();
  auto Number = [](std::int64_t Value) {
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, Value));
  };
  State_.Logger_.write(
      LogLevel::Info,
      LogEvent("pool.status")
          .with("pool", View.Pool_)
          .with("token", View.Token_)
          .with("jobs", View.Jobs_)
          .with("job-visits", View.JobVisits_)
          .with("runs", View.Runs_)
          .with("waiting-tasks", View.WaitingTasks_)
          .with("workers", View.Workers_)
          .with("free-cpu-millis", Number(View.Free_.CpuMillis_))
          .with("cpu-millis", Number(View.Total_.CpuMillis_))
          .with("free-memory-mb", Number(View.Free_.MemoryMb_))
          .with("missing-machines", View.MissingMachines_)
          .with("coming-machines", View.ComingMachines_));
}

void PoolOwner::Parts::logInheritedWait() {
  const TimePoint Now = State_.Clock_.now();
  if (Now < NextWaitLog_)
    return;
  NextWaitLog_ = Now + StatusInterval;
  std::uint64_t Unanswered = 0;
  std::uint64_t Registered = 0;
  std::uint64_t Elsewhere = 0;
  std::string Examples;
  for (const auto &[Lifetime, Session] : State_.Sessions_) {
    if (!State_.mayRunInherited(*Session) || Session->WasDeclaredSilent_)
      continue;
    if (Unanswered++ < MostExamples)
      Examples += (Examples.empty() ? "" : ",") + Lifetime;
    Registered += Session->IsListed_ ? 1 : 0;
    Elsewhere += Elsewhere_.contains(Session->entry().Id_) ? 1 : 0;
  }
  State_.Logger_.write(
      LogLevel::Info,
      LogEvent("pool.inherited-wait")
          .with("pool", State_.Pool_)
          .with("token", State_.Token_)
          .with("waited-ms", millisecondsBetween(LoadedAt_, Now))
          .with("unanswered", Unanswered)
          .with("registered", Registered)
          .with("registered-elsewhere", Elsewhere)
          .with("workers", Examples));
}

bool PoolOwner::Parts::wereAllAsked() const {
  return std::all_of(State_.Sessions_.begin(), State_.Sessions_.end(),
                     [this](const auto &Each) {
                       const WorkerSession &Session = *Each.second;
                       return !State_.mayRunInherited(Session) ||
                              Session.WasDeclaredSilent_ ||
                              Session.HoldFailures_ > 0 || Session.IsOver_ ||
                              !Session.IsInRoster_;
                     });
}

void PoolOwner::Parts::settleInherited() {
  if (IsInheritedSettled_ && InheritedTasks_.empty())
    return;
  const TimePoint Now = State_.Clock_.now();
  bool HasLapsed = !HasPredecessor_ || Now >= State_.InheritedLapse_;
  // Of a worker that the earlier owner has declared silent it is known what
  // may run there.
  bool IsKnown = std::all_of(State_.Sessions_.begin(), State_.Sessions_.end(),
                             [this](const auto &Each) {
                               return !State_.mayRunInherited(*Each.second) ||
                                      Each.second->WasDeclaredSilent_;
                             });
  if (!IsKnown && (!HasLapsed || !wereAllAsked())) {
    logInheritedWait();
    return;
  }
  std::set<std::string> Doubtful;
  for (const auto &[Lifetime, Session] : State_.Sessions_)
    if (!HasLapsed && State_.mayRunInherited(*Session))
      Doubtful.insert(Session->InheritedTasks_.begin(),
                      Session->InheritedTasks_.end());
  if (IsInheritedSettled_ && Doubtful == InheritedTasks_)
    return;
  if (!IsInheritedSettled_ && HasPredecessor_)
    State_.Logger_.write(
        LogLevel::Info,
        LogEvent("pool.inherited-settled")
            .with("pool", State_.Pool_)
            .with("token", State_.Token_)
            .with("cause", HasLapsed ? "leases-lapsed" : "workers-known")
            .with("waited-ms", millisecondsBetween(LoadedAt_, Now))
            .with("doubtful-tasks", std::uint64_t{Doubtful.size()}));
  IsInheritedSettled_ = true;
  InheritedTasks_ = std::move(Doubtful);
  State_.NeedsDispatch_ = true;
  for (auto &[Id, Job] : State_.Jobs_)
    Job->forEachMutableTask([this](const TaskName &Name, TaskRun &Run) {
      Run.MayHaveInheritedRun_ =
          Run.MayHaveInheritedRun_ && InheritedTasks_.contains(Name.text());
    });
}

void PoolOwner::Parts::removeGoneWorkers() {
  std::erase_if(State_.Sessions_, [this](const auto &Each) {
    const WorkerSession &Session = *Each.second;
    return !Session.IsListed_ && !Session.IsHolding_ &&
           Session.runs().empty() && !Session.hasUnsettledEnds() &&
           State_.Clock_.now() >= Session.lapsesAt();
  });
}

void PoolOwner::Parts::endLivesBeforeMoves() {
  for (auto &[Lifetime, Session] : State_.Sessions_) {
    auto Moved = Elsewhere_.find(Session->entry().Id_);
    if (Session->IsOver_ || Moved == Elsewhere_.end() ||
        Session->entry().Born_ >= Moved->second)
      continue;
    Session->IsOver_ = true;
    Session->IsListed_ = false;
    // What was not confirmed may still reach the later lifetime; it lapses.
    Runs_.releaseConfirmed(*Session);
    // Nothing of an earlier owner runs there any more.
    Session->IsFenced_ = true;
  }
}

bool PoolOwner::Parts::hasSeenToken(const LaterWorker &Worker) {
  WorkerEntry Entry;
  Entry.Id_ = Worker.Id_;
  Entry.Born_ = Worker.Born_;
  const WorkerSession *Session = State_.session(Entry.lifetime());
  return Session != nullptr && Session->IsFenced_;
}

void PoolOwner::Parts::endReplacedLives() {
  for (auto &[Lifetime, Session] : State_.Sessions_) {
    const WorkerEntry &Entry = Session->entry();
    if (Session->HasEnded_ || Session->HoldFailures_ == 0)
      continue;
    auto Found = LatestOnMachine_.find(Entry.Machine_);
    if (Found == LatestOnMachine_.end() || Found->second.Born_ <= Entry.Born_)
      continue;
    // An order that is carried out late reaches a later lifetime of the same
    // id, which refuses it only once it has seen this owner's token.
    if (Found->second.Id_ == Entry.Id_ && !hasSeenToken(Found->second))
      continue;
    State_.Logger_.write(
        LogLevel::Info,
        LogEvent("worker.replaced")
            .with("worker", Entry.Id_)
            .with("machine", Entry.Machine_)
            .with("by", Found->second.Id_)
            .with("runs", std::uint64_t{Session->runs().size()}));
    Session->HasEnded_ = true;
    Runs_.releaseConfirmed(*Session);
    State_.NeedsDispatch_ = true;
  }
}

bool PoolOwner::Parts::hasLeftItsMachine(const WorkerSession &Session) const {
  auto Found = Machines_->machines().find(Session.entry().Machine_);
  // A list that was asked for before the worker's last sign of life may be of
  // the time before its start.
  if (Found == Machines_->machines().end() ||
      Machines_->listedAt() <= Session.LastLists_)
    return false;
  const Machine &Listed = Found->second;
  return Listed.Worker_.empty() ? Listed.State_ != MachineState::Up
                                : Listed.Worker_ != Session.entry().Id_;
}

void PoolOwner::Parts::releaseOnStoppedMachines() {
  for (auto &[Lifetime, Session] : State_.Sessions_) {
    bool MayHoldRuns =
        Session->IsFenced_ && Session->HoldFailures_ >= DoubtfulAfter &&
        std::any_of(Session->runs().begin(), Session->runs().end(),
                    [](const auto &Each) { return Each.second.ConfirmedAt_; });
    if (!MayHoldRuns || Session->entry().Machine_.empty())
      continue;
    Machines_->refresh(MachineListInterval);
    if (!hasLeftItsMachine(*Session))
      continue;
    State_.Logger_.write(
        LogLevel::Info,
        LogEvent("worker.stopped")
            .with("worker", Session->entry().Id_)
            .with("machine", Session->entry().Machine_)
            .with("runs", std::uint64_t{Session->runs().size()}));
    // An order without an answer may reach a later lifetime of the same id.
    Runs_.releaseConfirmed(*Session);
    State_.NeedsDispatch_ = true;
  }
}

void PoolOwner::Parts::endEarlierLives(WorkerSession &Latest) {
  const WorkerEntry &Entry = Latest.entry();
  for (auto &[Lifetime, Session] : State_.Sessions_) {
    bool IsEarlier = Session->entry().Id_ == Entry.Id_ &&
                     Session->entry().Born_ < Entry.Born_;
    if (IsEarlier && !Session->runs().empty())
      Runs_.handOver(*Session, Latest);
  }
}

void PoolOwner::extendLease(TimePoint End) { Parts_->State_.LeaseEnd_ = End; }

void PoolOwner::onConfiguration(
    std::shared_ptr<const SchedulingConfiguration> Configuration) {
  std::set<std::string> Queues;
  for (const QueueSetting &Queue : Configuration->Queues_)
    if (Queue.Pool_ == pool())
      Queues.insert(Queue.Name_);
  Parts_->Roster_->addQueues(Queues);
  Parts_->State_.Configuration_ = std::move(Configuration);
  Parts_->State_.NeedsDispatch_ = true;
}

void PoolOwner::onWorkers(const std::vector<WorkerEntry> &Workers) {
  Parts_->AreWorkersKnown_ = true;
  Parts_->Elsewhere_.clear();
  Parts_->LatestOnMachine_.clear();
  for (const WorkerEntry &Worker : Workers) {
    if (Worker.Pool_ != pool())
      Parts_->Elsewhere_[Worker.Id_] = Worker.Born_;
    if (Worker.Machine_.empty())
      continue;
    LaterWorker &Latest = Parts_->LatestOnMachine_[Worker.Machine_];
    if (Worker.Born_ > Latest.Born_)
      Latest = {Worker.Id_, Worker.Born_};
  }
  Parts_->endLivesBeforeMoves();
  auto &Sessions = Parts_->State_.Sessions_;
  std::map<std::string, std::chrono::milliseconds> BornOfId;
  for (const WorkerEntry &Worker : Workers)
    BornOfId[Worker.Id_] = Worker.Born_;
  for (auto &[Lifetime, Session] : Sessions) {
    auto Found = BornOfId.find(Session->entry().Id_);
    auto Born = Session->entry().Born_;
    bool IsListed = Found != BornOfId.end() && Found->second == Born;
    if (Session->IsListed_ && !IsListed)
      Parts_->State_.NeedsDispatch_ = true;
    Session->IsListed_ = IsListed;
  }
  for (const WorkerEntry &Worker : Workers) {
    if (Worker.Pool_ != pool())
      continue;
    WorkerSession &Session = Parts_->State_.meet(Worker);
    Parts_->endEarlierLives(Session);
    if (Session.entry() == Worker && Session.IsListed_)
      continue;
    Session.setEntry(Worker);
    Session.IsListed_ = true;
    Parts_->State_.NeedsDispatch_ = true;
    Parts_->State_.NeedsStopLook_ = true;
  }
}

void PoolOwner::onWaves(const std::vector<MaintenanceWave> &Waves) {
  Parts_->Maintenance_->onWaves(Waves);
}

void PoolOwner::tick() {
  PoolState &State = Parts_->State_;
  Parts_->Roster_->tick();
  if (!Parts_->Roster_->isLoaded())
    return;
  if (!Parts_->IsLoaded_)
    Parts_->endLivesBeforeMoves();
  Parts_->followQueues();
  if (!Parts_->IsLoaded_)
    return;
  Parts_->Holds_->tick();
  Parts_->endReplacedLives();
  Parts_->releaseOnStoppedMachines();
  Parts_->settleInherited();
  Parts_->Maintenance_->reserveMachines();
  Parts_->Starts_->stopUnwanted();
  const TimePoint Now = State.Clock_.now();
  if (State.NeedsDispatch_ || Now >= Parts_->NextDispatch_) {
    Parts_->NextDispatch_ = Now + DispatchInterval;
    Parts_->Starts_->dispatch();
  }
  Parts_->logStatus();
  Parts_->Paces_->tick();
  // Before every worker has been asked it is not known what an order ends.
  if (Parts_->IsInheritedSettled_ && Parts_->AreWorkersKnown_) {
    Parts_->Maintenance_->tick();
    Parts_->Moves_->tick();
  }
  Parts_->Writer_->flush();
  if (Parts_->Jobs_.removeEndedJobs())
    Parts_->Advice_->forgetEnded();
  Parts_->removeGoneWorkers();
}

const std::string &PoolOwner::pool() const { return Parts_->State_.Pool_; }

FencingToken PoolOwner::token() const { return Parts_->State_.Token_; }

std::optional<std::map<std::string, std::uint64_t>>
PoolOwner::pendingJobs() const {
  if (!Parts_->IsLoaded_)
    return std::nullopt;
  std::map<std::string, std::uint64_t> Pending;
  for (const auto &[Id, Job] : Parts_->State_.Jobs_) {
    std::uint64_t &Count = Pending[Job->submission().Queue_];
    if (!Job->hasStarted() && !isFinal(Job->progress().state()))
      ++Count;
  }
  return Pending;
}

PoolView PoolOwner::view() const { return Parts_->view(); }

std::optional<JobPhase> PoolOwner::stateOf(const std::string &Job) const {
  const ActiveJob *Found = Parts_->State_.job(Job);
  if (Found == nullptr)
    return std::nullopt;
  return Found->progress().state();
}

} // namespace dragonflylock
