#include "scheduling/poolowner.h"
#include "global/ilogger.h"
#include "global/logevent.h"
#include "scheduling/demandtracker.h"
#include "scheduling/internal/advicecache.h"
#include "scheduling/internal/backlogmeter.h"
#include "scheduling/internal/dispatcher.h"
#include "scheduling/internal/fillerthrottler.h"
#include "scheduling/internal/inheritedruns.h"
#include "scheduling/internal/jobfollower.h"
#include "scheduling/internal/jobregistry.h"
#include "scheduling/internal/latestartrecord.h"
#include "scheduling/internal/leaserenewer.h"
#include "scheduling/internal/machinelistcache.h"
#include "scheduling/internal/machinemovemanager.h"
#include "scheduling/internal/maintenancemanager.h"
#include "scheduling/internal/poolreporter.h"
#include "scheduling/internal/poolstate.h"
#include "scheduling/internal/progresswriter.h"
#include "scheduling/internal/rostermanager.h"
#include "scheduling/internal/runtracker.h"
#include "scheduling/internal/startwatermark.h"
#include "scheduling/poolview.h"
#include "scheduling/runnumbers.h"

#include <algorithm>
#include <set>

namespace dragonflylock {
namespace {

/// Maximum interval between dispatch passes, for tasks that become due or whose
/// start delay ends.
constexpr std::chrono::milliseconds DispatchInterval{100};
/// Consecutive failed hold orders after which the platform is asked for the
/// state of the worker's machine.
constexpr std::uint32_t FailedHoldsBeforeMachineCheck = 2;
/// Interval between reads of the machine list while a worker does not answer.
constexpr std::chrono::milliseconds MachineListInterval{1000};

bool hasPredecessor(const PoolOwnership &Ownership) {
  return Ownership.RunNumberRange_ > 0;
}

/// The worker that was started last on a machine.
struct LatestWorker {
  std::string Id_;
  std::chrono::milliseconds Born_{0};
};

} // namespace

struct PoolOwner::Parts {
  Parts(const Builder &Source, const PoolOwnership &Ownership)
      : State_(Ownership.Pool_, *Source.Settings_, *Source.Clock_,
               *Source.Store_, *Source.Workers_, *Source.Logger_),
        Runs_(State_), Jobs_(State_, Runs_),
        Advice_(std::make_shared<AdviceCache>(State_, *Source.Advisor_)),
        Dispatcher_(std::make_shared<Dispatcher>(State_, Runs_, *Advice_)),
        LeaseRenewer_(
            std::make_shared<LeaseRenewer>(State_, Runs_, *Dispatcher_)),
        Writer_(std::make_shared<ProgressWriter>(State_, Runs_)),
        Roster_(std::make_shared<RosterManager>(State_)),
        LateStartRecord_(std::make_shared<LateStartRecord>(
            State_, Ownership.PredecessorEnd_)),
        Watermark_(std::make_shared<StartWatermark>(
            State_, Ownership.PredecessorToken_)),
        FillerThrottler_(std::make_shared<FillerThrottler>(State_)),
        Machines_(std::make_shared<MachineListCache>(
            *Source.Machines_, State_.Clock_, State_.Logger_)),
        Maintenance_(std::make_shared<MaintenanceManager>(
            State_, *Dispatcher_, *Source.Machines_, *Machines_,
            *Source.MachineOrders_)),
        Moves_(std::make_shared<MachineMoveManager>(
            State_, *Source.Machines_, *Machines_, *Source.MachineOrders_,
            *Source.Demands_)),
        Demands_(*Source.Demands_),
        Follower_(std::make_shared<JobFollower>(
            State_.Store_, State_.Clock_, State_.Logger_,
            [this](const StoreRow &Row) { Jobs_.onRow(Row); })),
        Reporter_(State_, Demands_, *Dispatcher_, *Follower_),
        InheritedRuns_(State_, hasPredecessor(Ownership)), Backlog_(State_) {
    State_.Limits_ = Source.Limits_;
    Moves_->setMaintenanceCheck([this](const std::string &Machine) {
      return Maintenance_->isDue(Machine);
    });
    State_.Token_ = Ownership.Token_;
    State_.LatestSubmission_ = Ownership.Token_;
    State_.RunNumberBase_ = runnumbers::baseOf(Ownership.RunNumberRange_);
    State_.ReservedRunNumberRange_ = Ownership.RunNumberRange_;
    State_.RequestedRunNumberRange_ = Ownership.RunNumberRange_;
    State_.LeaseEnd_ = Ownership.LeaseEnd_;
    if (hasPredecessor(Ownership))
      State_.InheritedRunsExpireAt_ = State_.latestLeaseExpiry(
          Ownership.PredecessorEnd_.value_or(State_.Clock_.now()));
  }

  void onLoaded();
  void followQueues();
  void removeExpiredSessions();
  /// Makes registered workers usable whose start is dated before that of an
  /// earlier lifetime, once its session is gone. Their time of day was changed.
  void restoreMisdatedWorkers();
  /// Ends the sessions of workers with a later lifetime in another pool.
  void endSessionsOfMovedWorkers();
  /// Ends sessions of unresponsive workers whose machine has a later worker.
  void endSessionsOfReplacedWorkers();
  bool hasConfirmedToken(const LatestWorker &Worker);
  /// Releases the confirmed runs of unresponsive workers that the platform no
  /// longer lists on their machine.
  void releaseRunsOnStoppedMachines();
  /// Lets the tasks start whose late starts have been settled.
  void updateLateStarts();
  bool hasLeftItsMachine(const WorkerSession &Session) const;
  /// Releases the runs of earlier lifetimes of the same worker. Runs that may
  /// have reached \p Latest are transferred to it, to be stopped there.
  void transferRunsFromEarlierLifetimes(WorkerSession &Latest);

  PoolState State_;
  RunTracker Runs_;
  JobRegistry Jobs_;
  std::shared_ptr<AdviceCache> Advice_;
  std::shared_ptr<Dispatcher> Dispatcher_;
  std::shared_ptr<LeaseRenewer> LeaseRenewer_;
  std::shared_ptr<ProgressWriter> Writer_;
  std::shared_ptr<RosterManager> Roster_;
  std::shared_ptr<LateStartRecord> LateStartRecord_;
  std::shared_ptr<StartWatermark> Watermark_;
  std::shared_ptr<FillerThrottler> FillerThrottler_;
  std::shared_ptr<MachineListCache> Machines_;
  std::shared_ptr<MaintenanceManager> Maintenance_;
  std::shared_ptr<MachineMoveManager> Moves_;
  const DemandTracker &Demands_;
  std::shared_ptr<JobFollower> Follower_;
  PoolReporter Reporter_;
  /// Registered workers of other pools: start of the lifetime by worker id.
  std::map<std::string, std::chrono::milliseconds> WorkersInOtherPools_;
  /// By machine: the registered worker, of any pool, that was started last.
  std::map<std::string, LatestWorker> LatestOnMachine_;
  bool IsLoaded_ = false;
  /// Whether onWorkers() has been called.
  bool AreWorkersKnown_ = false;
  InheritedRuns InheritedRuns_;
  BacklogMeter Backlog_;
  TimePoint NextDispatch_;
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

PoolOwner::Builder &
PoolOwner::Builder::machineOrders(MachineOrderTracker &Value) {
  MachineOrders_ = &Value;
  return *this;
}

PoolOwner::Builder &PoolOwner::Builder::demands(DemandTracker &Value) {
  Demands_ = &Value;
  return *this;
}

PoolOwner::Builder &PoolOwner::Builder::limits(ICustomerLimits *Value) {
  Limits_ = Value;
  return *this;
}

PoolOwner::Builder &PoolOwner::Builder::logger(ILogger &Value) {
  Logger_ = &Value;
  return *this;
}

std::unique_ptr<PoolOwner>
PoolOwner::Builder::build(const PoolOwnership &Ownership) const {
  return std::unique_ptr<PoolOwner>(
      new PoolOwner(std::make_unique<Parts>(*this, Ownership)));
}

PoolOwner::PoolOwner(std::unique_ptr<Parts> Built) : Parts_(std::move(Built)) {}

PoolOwner::~PoolOwner() = default;

void PoolOwner::Parts::onLoaded() {
  IsLoaded_ = true;
  InheritedRuns_.onLoaded();
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

void PoolOwner::Parts::removeExpiredSessions() {
  std::erase_if(State_.Sessions_, [this](const auto &Each) {
    const WorkerSession &Session = *Each.second;
    return !Session.IsListed_ && !Session.IsHoldPending_ &&
           Session.runs().empty() && !Session.hasPendingEnds() &&
           State_.Clock_.now() >= Session.leasesExpireAt();
  });
}

void PoolOwner::Parts::restoreMisdatedWorkers() {
  for (auto &[Lifetime, Session] : State_.Sessions_) {
    if (!Session->IsSuperseded_ || !Session->IsListed_ ||
        State_.successorOf(*Session) != nullptr)
      continue;
    Session->IsSuperseded_ = false;
    Session->HasSuccessor_ = false;
    Session->HasEnded_ = false;
  }
}

void PoolOwner::Parts::endSessionsOfMovedWorkers() {
  for (auto &[Lifetime, Session] : State_.Sessions_) {
    auto Moved = WorkersInOtherPools_.find(Session->entry().Id_);
    if (Session->IsSuperseded_ || Moved == WorkersInOtherPools_.end() ||
        Session->entry().Born_ >= Moved->second)
      continue;
    Session->IsSuperseded_ = true;
    Session->HasSuccessor_ = true;
    Session->IsListed_ = false;
    // The later lifetime may have carried out the start of any other run, or
    // may still do so. Such a run stays until its lease has expired.
    Runs_.releaseListed(*Session);
    // Runs that previous owners started on this lifetime no longer exist.
    Session->IsFenced_ = true;
  }
}

bool PoolOwner::Parts::hasConfirmedToken(const LatestWorker &Worker) {
  WorkerEntry Entry;
  Entry.Id_ = Worker.Id_;
  Entry.Born_ = Worker.Born_;
  const WorkerSession *Session = State_.session(Entry.lifetime());
  return Session != nullptr && Session->IsFenced_;
}

void PoolOwner::Parts::endSessionsOfReplacedWorkers() {
  for (auto &[Lifetime, Session] : State_.Sessions_) {
    const WorkerEntry &Entry = Session->entry();
    if (Session->HasEnded_ || Session->HoldFailures_ == 0)
      continue;
    auto Found = LatestOnMachine_.find(Entry.Machine_);
    if (Found == LatestOnMachine_.end() || Found->second.Born_ <= Entry.Born_)
      continue;
    // A delayed order may reach a later lifetime of the same id, which rejects
    // it only after it has seen this owner's token.
    if (Found->second.Id_ == Entry.Id_ && !hasConfirmedToken(Found->second))
      continue;
    State_.Logger_.write(
        LogLevel::Info,
        LogEvent("worker.replaced")
            .with("worker", Entry.Id_)
            .with("machine", Entry.Machine_)
            .with("by", Found->second.Id_)
            .with("runs", std::uint64_t{Session->runs().size()}));
    Session->HasEnded_ = true;
    Runs_.recordCrash(*Session);
    // Workers refuse orders to other ids.
    if (Found->second.Id_ != Entry.Id_)
      Runs_.releaseAll(*Session);
    else
      Runs_.releaseListed(*Session);
    State_.NeedsDispatch_ = true;
  }
}

bool PoolOwner::Parts::hasLeftItsMachine(const WorkerSession &Session) const {
  auto Found = Machines_->machines().find(Session.entry().Machine_);
  // A list requested before the worker last answered may describe the machine
  // before the worker's start.
  if (Found == Machines_->machines().end() ||
      Machines_->listedAt() <= Session.LastListsAt_)
    return false;
  const Machine &Listed = Found->second;
  return Listed.Worker_.empty() ? Listed.State_ != MachineState::Up
                                : Listed.Worker_ != Session.entry().Id_;
}

void PoolOwner::Parts::updateLateStarts() {
  if (State_.LateStarts_.needsMachines())
    Machines_->refresh(MachineListInterval);
  State_.LateStarts_.onMachines(Machines_->machines(), Machines_->listedAt());
  State_.LateStarts_.update();
}

void PoolOwner::Parts::releaseRunsOnStoppedMachines() {
  for (auto &[Lifetime, Session] : State_.Sessions_) {
    bool MayHoldRuns =
        Session->IsFenced_ &&
        Session->HoldFailures_ >= FailedHoldsBeforeMachineCheck &&
        std::any_of(Session->runs().begin(), Session->runs().end(),
                    [](const auto &Each) { return Each.second.ConfirmedAt_; });
    if (!MayHoldRuns || Session->entry().Machine_.empty())
      continue;
    Machines_->refresh(MachineListInterval);
    if (!hasLeftItsMachine(*Session))
      continue;
    const std::size_t Runs = Session->runs().size();
    Runs_.recordCrash(*Session);
    // An unanswered order may still reach a later lifetime of the same id, and
    // one that was confirmed later than the list may have started a run there.
    Runs_.releaseConfirmedBefore(*Session, Machines_->listedAt());
    if (Session->runs().size() == Runs)
      continue;
    State_.Logger_.write(
        LogLevel::Info,
        LogEvent("worker.stopped")
            .with("worker", Session->entry().Id_)
            .with("machine", Session->entry().Machine_)
            .with("runs", std::uint64_t{Runs - Session->runs().size()}));
    State_.NeedsDispatch_ = true;
  }
}

void PoolOwner::Parts::transferRunsFromEarlierLifetimes(WorkerSession &Latest) {
  const WorkerEntry &Entry = Latest.entry();
  for (WorkerSession *Session : State_.lifetimesOf(Entry.Id_))
    if (Session->entry().Born_ < Entry.Born_ && !Session->runs().empty())
      Runs_.transferRuns(*Session, Latest);
}

void PoolOwner::extendLease(TimePoint End, FencingToken Renewal,
                            std::uint64_t RunNumberRange) {
  PoolState &State = Parts_->State_;
  State.LeaseEnd_ = End;
  State.RenewalToken_ = std::max(State.RenewalToken_, Renewal);
  State.assignTokens();
  if (RunNumberRange <= State.ReservedRunNumberRange_)
    return;
  State.ReservedRunNumberRange_ = RunNumberRange;
  State.NeedsDispatch_ = true;
}

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

void PoolOwner::addQueues(const std::set<std::string> &Queues) {
  Parts_->Roster_->addQueues(Queues);
}

void PoolOwner::onWorkers(const std::vector<WorkerEntry> &Workers) {
  Parts_->AreWorkersKnown_ = true;
  Parts_->WorkersInOtherPools_.clear();
  Parts_->LatestOnMachine_.clear();
  for (const WorkerEntry &Worker : Workers) {
    if (Worker.Pool_ != pool())
      Parts_->WorkersInOtherPools_[Worker.Id_] = Worker.Born_;
    if (Worker.Machine_.empty())
      continue;
    LatestWorker &Latest = Parts_->LatestOnMachine_[Worker.Machine_];
    if (Worker.Born_ > Latest.Born_)
      Latest = {Worker.Id_, Worker.Born_};
  }
  Parts_->endSessionsOfMovedWorkers();
  auto &Sessions = Parts_->State_.Sessions_;
  std::map<std::string, std::chrono::milliseconds> BornOfId;
  for (const WorkerEntry &Worker : Workers)
    BornOfId[Worker.Id_] = Worker.Born_;
  for (auto &[Lifetime, Session] : Sessions) {
    auto Found = BornOfId.find(Session->entry().Id_);
    auto Born = Session->entry().Born_;
    bool IsListed = Found != BornOfId.end() && Found->second == Born;
    if (Session->IsListed_ && !IsListed) {
      Parts_->State_.NeedsDispatch_ = true;
      Parts_->Runs_.noteGone(*Session);
    }
    Session->IsListed_ = IsListed;
  }
  for (const WorkerEntry &Worker : Workers) {
    if (Worker.Pool_ != pool())
      continue;
    WorkerSession &Session = Parts_->State_.findOrCreateSession(Worker);
    Parts_->transferRunsFromEarlierLifetimes(Session);
    if (Session.entry() == Worker && Session.IsListed_)
      continue;
    Session.setEntry(Worker);
    Session.IsListed_ = true;
    Parts_->State_.NeedsDispatch_ = true;
    Parts_->State_.NeedsStopCheck_ = true;
  }
}

void PoolOwner::onWaves(const std::vector<MaintenanceWave> &Waves) {
  Parts_->Maintenance_->onWaves(Waves);
}

void PoolOwner::tick() {
  PoolState &State = Parts_->State_;
  Parts_->Roster_->tick();
  Parts_->LateStartRecord_->tick(Parts_->IsLoaded_);
  Parts_->Watermark_->tick(Parts_->IsLoaded_);
  if (!Parts_->Roster_->isLoaded() || !Parts_->LateStartRecord_->isLoaded() ||
      !Parts_->Watermark_->isLoaded())
    return;
  if (!Parts_->IsLoaded_)
    Parts_->endSessionsOfMovedWorkers();
  Parts_->followQueues();
  if (!Parts_->IsLoaded_)
    return;
  // A worker of the roster may have moved to another pool since. There it would
  // take over this owner's token and refuse its own owner.
  if (Parts_->AreWorkersKnown_)
    Parts_->LeaseRenewer_->tick();
  Parts_->endSessionsOfReplacedWorkers();
  Parts_->releaseRunsOnStoppedMachines();
  Parts_->Runs_.judgeTrials();
  Parts_->updateLateStarts();
  Parts_->InheritedRuns_.update();
  Parts_->Maintenance_->updateReservations();
  Parts_->Dispatcher_->stopUnwanted();
  const TimePoint Now = State.Clock_.now();
  if (State.NeedsDispatch_ || Now >= Parts_->NextDispatch_) {
    Parts_->NextDispatch_ = Now + DispatchInterval;
    Parts_->Dispatcher_->dispatch();
  }
  Parts_->Reporter_.tick();
  Parts_->FillerThrottler_->tick();
  if (Parts_->AreWorkersKnown_ && Parts_->InheritedRuns_.mayOrderMachines()) {
    Parts_->Maintenance_->tick();
    Parts_->Moves_->tick();
  }
  Parts_->Writer_->flush();
  if (Parts_->Jobs_.removeEndedJobs())
    Parts_->Advice_->removeAdviceOfEndedJobs();
  // Until the registry is known, workers of the roster are not listed and have
  // not been contacted.
  if (Parts_->AreWorkersKnown_)
    Parts_->removeExpiredSessions();
  Parts_->restoreMisdatedWorkers();
}

const std::string &PoolOwner::pool() const { return Parts_->State_.Pool_; }

FencingToken PoolOwner::token() const { return Parts_->State_.Token_; }

std::uint64_t PoolOwner::requestedRunNumberRange() const {
  return Parts_->State_.RequestedRunNumberRange_;
}

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

const CustomerUsage *PoolOwner::customerUsage() {
  if (!Parts_->IsLoaded_)
    return nullptr;
  Parts_->State_.Index_.refresh();
  return &Parts_->State_.Usage_;
}

bool PoolOwner::isUsageExact() const {
  return Parts_->InheritedRuns_.isSettled();
}

void PoolOwner::requestDispatch() { Parts_->State_.NeedsDispatch_ = true; }

std::optional<PoolBacklog> PoolOwner::measureBacklog() {
  return Parts_->IsLoaded_ ? Parts_->Backlog_.measure() : std::nullopt;
}

std::vector<StorePut> PoolOwner::rowsForRelease() const {
  std::vector<StorePut> Rows;
  if (auto Row = Parts_->Roster_->rowForRelease())
    Rows.push_back(std::move(*Row));
  if (auto Row = Parts_->LateStartRecord_->rowForRelease())
    Rows.push_back(std::move(*Row));
  return Rows;
}

PoolView PoolOwner::view() const { return Parts_->Reporter_.view(); }

std::optional<JobPhase> PoolOwner::stateOf(const std::string &Job) const {
  const ActiveJob *Found = Parts_->State_.job(Job);
  if (Found == nullptr)
    return std::nullopt;
  return Found->progress().state();
}

} // namespace dragonflylock
