#include "scheduling/internal/maintenancemanager.h"
#include "global/ilogger.h"
#include "global/logevent.h"
#include "scheduling/imachinecontrol.h"
#include "scheduling/internal/dispatcher.h"
#include "scheduling/internal/machinelistcache.h"
#include "scheduling/internal/poolstate.h"
#include "scheduling/internal/readlog.h"
#include "scheduling/istore.h"
#include "scheduling/machineordertracker.h"

#include <algorithm>
#include <set>

namespace dragonflylock {
namespace {

/// Interval of reading the list of machines while a wave is in progress.
constexpr std::chrono::milliseconds ListInterval{500};
/// Interval of reading a wave's row, which the owners of other pools change
/// as well.
constexpr std::chrono::milliseconds WaveReadInterval{300};
/// Delay after a failed call to the store.
constexpr std::chrono::milliseconds RetryDelay{150};
/// Time for which a task must have run at full speed to count as available.
constexpr std::chrono::milliseconds MinFullSpeedTime{300};
/// Maximum time to wait for a machine's runs to end by themselves.
constexpr std::chrono::milliseconds MaxGracePeriod{3000};
constexpr std::uint32_t FullSpeedPercent = 100;
/// Planned time to drain a machine and order its maintenance.
constexpr std::chrono::milliseconds DrainTime{1500};
/// Maximum number of a pool's machines that are drained at the same time. They
/// take no new tasks meanwhile.
constexpr std::int64_t MaxDraining = 4;
/// Tenths of a wave's remaining time that the plan uses; the rest is reserved
/// for faults.
constexpr int PlannedTimeTenths = 4;
/// Multiple of a wave's duration beyond which the age by the stored time is
/// ignored: the time then comes from a wall clock that has been set.
constexpr int MaxWaveAgeFactor = 4;

} // namespace

void MaintenanceManager::onWaves(const std::vector<MaintenanceWave> &Waves) {
  for (const MaintenanceWave &Request : Waves) {
    auto [Position, IsNew] = Waves_.try_emplace(Request.Number_);
    WaveState &State = Position->second;
    if (IsNew)
      State.FirstSeen_ = Pool_.Clock_.now();
    if (IsNew || State.Request_.Machines_ != Request.Machines_) {
      State.MachinesSeenAt_ = Pool_.Clock_.now();
      State.IsCompleted_ = false;
      State.IsReported_ = false;
    }
    State.Request_ = Request;
    if (!IsNew)
      continue;
    Pool_.Logger_.write(
        LogLevel::Info,
        LogEvent("wave.seen")
            .with("pool", Pool_.Pool_)
            .with("wave", Request.Number_)
            .with("machines", std::uint64_t{Request.Machines_.size()})
            .with("limit", std::uint64_t{Request.MaxUnavailable_}));
  }
}

void MaintenanceManager::tick() {
  bool HasOpenWave =
      std::any_of(Waves_.begin(), Waves_.end(),
                  [](const auto &State) { return !State.second.IsCompleted_; });
  if (!HasOpenWave || !Pool_.holdsLease())
    return;
  MachineList_.refresh(ListInterval);
  for (auto &[Number, State] : Waves_)
    if (!State.IsCompleted_)
      advance(State);
}

bool MaintenanceManager::isDue(const std::string &Machine) const {
  return std::any_of(Waves_.begin(), Waves_.end(), [&](const auto &Each) {
    const WaveState &State = Each.second;
    const std::vector<std::string> &Names = State.Request_.Machines_;
    return !State.IsCompleted_ && !State.Progress_.Done_.contains(Machine) &&
           std::find(Names.begin(), Names.end(), Machine) != Names.end();
  });
}

void MaintenanceManager::updateReservations() {
  std::set<std::string> Names;
  for (const auto &[Number, State] : Waves_) {
    if (State.IsCompleted_)
      continue;
    for (const auto &[Name, Since] : State.Draining_)
      Names.insert(Name);
    for (const auto &[Name, Holder] : State.Progress_.Down_)
      Names.insert(Name);
  }
  std::set<std::string> Workers;
  for (const std::string &Name : Names)
    if (auto Found = MachineList_.machines().find(Name);
        Found != MachineList_.machines().end())
      Workers.insert(Found->second.Worker_);
  for (auto &[Lifetime, Session] : Pool_.Sessions_) {
    const WorkerEntry &Entry = Session->entry();
    // The worker's entry may not name its machine; the platform's list names
    // the machine's worker.
    bool IsReserved = Session->IsListed_ &&
                      (Entry.Machine_.empty() ? Workers.contains(Entry.Id_)
                                              : Names.contains(Entry.Machine_));
    if (Session->IsReservedForMaintenance_ && !IsReserved)
      Pool_.NeedsDispatch_ = true;
    Session->IsReservedForMaintenance_ = IsReserved;
  }
}

void MaintenanceManager::advance(WaveState &State) {
  if (State.IsBusy_ || Pool_.Clock_.now() < State.NextAttempt_ ||
      !MachineList_.isCurrentSince(State.MachinesSeenAt_))
    return;
  if (!State.IsLoaded_ || Pool_.Clock_.now() >= State.NextLoad_) {
    load(State);
    return;
  }
  if (!State.IsReadable_)
    return;
  if (!State.IsReported_ || isComplete(State)) {
    report(State);
    return;
  }
  recordReturned(State);
  if (State.IsBusy_)
    return;
  // If the machine has moved to another pool since, that pool's owner is
  // responsible for it.
  std::erase_if(State.Draining_, [&](const auto &Each) {
    return !isPending(State, Each.first);
  });
  if (mayChooseNext(State))
    chooseNextMachine(State);
  orderDrainedMachine(State);
}

void MaintenanceManager::orderDrainedMachine(WaveState &State) {
  for (const auto &[Name, Since] : State.Draining_) {
    if (!isReady(State, Name, Since) || !mayOrder(Name) ||
        State.Progress_.Down_.size() >= State.Request_.MaxUnavailable_)
      continue;
    claim(State, std::string(Name), /*IsRepeat=*/false);
    return;
  }
}

void MaintenanceManager::load(WaveState &State) {
  State.IsBusy_ = true;
  State.RequestStartedAt_ = Pool_.Clock_.now();
  StoreKey Row = controlrows::wave(State.Request_.Number_);
  Pool_.Store_.readRange(
      Row.Table_, Row.Part_, Row.Key_, Row.Key_ + '\1', /*MaxRows=*/1,
      [Weak = weak_from_this(),
       Number = State.Request_.Number_](const StoreRange &Read) {
        if (auto Self = Weak.lock())
          Self->onLoaded(Number, Read);
      });
}

void MaintenanceManager::onLoaded(std::uint64_t Number,
                                  const StoreRange &Read) {
  WaveState &State = Waves_[Number];
  State.IsBusy_ = false;
  State.NextLoad_ = Pool_.Clock_.now() + WaveReadInterval;
  if (Read.Outcome_ != StoreOutcome::Done) {
    State.NextAttempt_ = Pool_.Clock_.now() + RetryDelay;
    readlog::logPageFailure(Pool_.Logger_, controlrows::wave(Number), 1,
                            Read.Outcome_,
                            Pool_.Clock_.now() - State.RequestStartedAt_);
    return;
  }
  State.IsLoaded_ = true;
  if (Read.Rows_.empty())
    return;
  auto Row = controlrows::decodeWave(Read.Rows_.front().Value_);
  State.IsReadable_ = Row.has_value();
  if (!Row) {
    State.Draining_.clear();
    Pool_.Logger_.write(LogLevel::Error,
                        LogEvent("wave.unreadable").with("wave", Number));
    return;
  }
  State.Version_ = Read.Rows_.front().Version_;
  State.Progress_ = *Row;
  auto Age = Pool_.wallTime() - Row->SeenAt_;
  bool IsPlausible = Row->SeenAt_.count() > 0 && Age.count() > 0 &&
                     Age < State.Request_.Duration_ * MaxWaveAgeFactor;
  if (IsPlausible)
    State.FirstSeen_ = std::min(State.FirstSeen_, Pool_.Clock_.now() - Age);
}

WorkerSession *MaintenanceManager::sessionOf(const std::string &Name) {
  if (WorkerSession *Session = Pool_.sessionOn(Name))
    return Session;
  // The worker's entry may not name its machine; the platform's list names the
  // machine's worker.
  auto Found = MachineList_.machines().find(Name);
  if (Found != MachineList_.machines().end() && !Found->second.Worker_.empty())
    for (auto &[Lifetime, Session] : Pool_.Sessions_)
      if (Session->IsListed_ && Session->entry().Id_ == Found->second.Worker_)
        return Session.get();
  // A worker that is cut off leaves the registry and runs on until its leases
  // expire.
  for (auto &[Lifetime, Session] : Pool_.Sessions_)
    if (Session->entry().Machine_ == Name &&
        (!Session->HasEnded_ || Session->HasSuccessor_) &&
        (!Session->runs().empty() ||
         Pool_.mayHaveUnexpiredInheritedRuns(*Session)))
      return Session.get();
  return nullptr;
}

bool MaintenanceManager::isPending(const WaveState &State,
                                   const std::string &Name) const {
  auto Found = MachineList_.machines().find(Name);
  return Found != MachineList_.machines().end() &&
         Found->second.Pool_ == Pool_.Pool_ &&
         !State.Progress_.Done_.contains(Name);
}

void MaintenanceManager::chooseNextMachine(WaveState &State) {
  std::string Best;
  std::size_t FewestRuns = SIZE_MAX;
  for (const std::string &Name : State.Request_.Machines_) {
    if (!isPending(State, Name) || State.Progress_.Down_.contains(Name) ||
        State.Draining_.contains(Name) ||
        MachineList_.machines().at(Name).State_ != MachineState::Up)
      continue;
    WorkerSession *Session = sessionOf(Name);
    std::size_t Runs = Session != nullptr ? Session->runs().size() : 0;
    if (Runs < FewestRuns) {
      FewestRuns = Runs;
      Best = Name;
    }
  }
  if (Best.empty())
    return;
  State.Draining_[Best] = Pool_.Clock_.now();
  updateReservations();
}

bool MaintenanceManager::isAvailable(const TaskRun &Run) const {
  auto Worker = Pool_.Sessions_.find(Run.Worker_);
  bool IsHealthy = Worker != Pool_.Sessions_.end() &&
                   Worker->second->IsListed_ &&
                   Worker->second->HoldFailures_ == 0;
  return IsHealthy && Run.Phase_ == TaskPhase::Running &&
         Run.Percent_ >= FullSpeedPercent &&
         Run.FullSpeedSince_ + MinFullSpeedTime <= Pool_.Clock_.now();
}

std::uint32_t MaintenanceManager::countUnavailable(
    const ActiveJob &Job, const TaskName &Task,
    const std::function<bool(const TaskName &, const TaskRun &)> &IsCounted)
    const {
  std::uint32_t Unavailable = 0;
  Job.forEachTask([&](const TaskName &Other, const TaskRun &Run) {
    bool IsSameStep =
        Other.Occurrence_ == Task.Occurrence_ && Other.Step_ == Task.Step_;
    Unavailable +=
        IsSameStep && IsCounted(Other, Run) && !isAvailable(Run) ? 1 : 0;
  });
  return Unavailable;
}

bool MaintenanceManager::isWithinBudgets(const WorkerSession &Session) {
  for (const auto &[Name, Run] : Session.runs()) {
    const ActiveJob *Job = Pool_.job(Name.Job_);
    if (Job == nullptr || !Job->step(Name).DisruptionBudget_)
      continue;
    // The order ends all tasks of the step on the worker at once.
    std::uint32_t Ended = Session.countTasksOfStep(Name);
    std::uint32_t Unavailable = countUnavailable(
        *Job, Name, [&](const TaskName &, const TaskRun &Other) {
          return Other.Worker_ != Session.entry().lifetime();
        });
    if (Ended + Unavailable > *Job->step(Name).DisruptionBudget_)
      return false;
  }
  return true;
}

void MaintenanceManager::evacuate(WorkerSession &Session) {
  std::set<std::pair<std::string, std::uint32_t>> HandledSteps;
  for (const auto &[Name, Run] : Session.runs()) {
    const ActiveJob *Job = Pool_.job(Name.Job_);
    if (Job == nullptr || !Job->step(Name).DisruptionBudget_)
      continue;
    bool IsOnlyOne = Session.countTasksOfStep(Name) <= 1;
    bool IsFirst = HandledSteps.emplace(Name.Job_, Name.Step_).second;
    std::uint32_t Unavailable = countUnavailable(
        *Job, Name, [Task = Name](const TaskName &Other, const TaskRun &) {
          return Other != Task;
        });
    if (IsOnlyOne || !IsFirst || !isAvailable(Job->run(Name)) ||
        Unavailable + 1 > *Job->step(Name).DisruptionBudget_)
      continue;
    Dispatcher_.stop(Session, Name, Run.Run_);
  }
}

std::chrono::milliseconds
MaintenanceManager::elapsed(const WaveState &State) const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      Pool_.Clock_.now() - State.FirstSeen_);
}

std::chrono::milliseconds
MaintenanceManager::remainingTime(const WaveState &State) const {
  return std::max(std::chrono::milliseconds(0),
                  State.Request_.Duration_ - elapsed(State));
}

bool MaintenanceManager::mayChooseNext(const WaveState &State) const {
  std::int64_t Pending = 0;
  std::int64_t Down = 0;
  for (const std::string &Name : State.Request_.Machines_) {
    if (!isPending(State, Name))
      continue;
    ++Pending;
    Down += State.Progress_.Down_.contains(Name) ? 1 : 0;
  }
  auto Cycle = Pool_.Settings_.MaintenanceTime_ + DrainTime;
  auto PlannedTime = remainingTime(State) * PlannedTimeTenths / 10;
  const auto Draining = static_cast<std::int64_t>(State.Draining_.size());
  if (PlannedTime <= Cycle)
    return Draining < MaxDraining;
  std::int64_t AtOnce =
      (Pending * Cycle + PlannedTime - std::chrono::milliseconds(1)) /
      PlannedTime;
  if (Down + Draining >= AtOnce)
    return false;
  if (!Pool_.LacksMachines_)
    return Draining < MaxDraining;
  return Draining == 0 && PlannedTime < Pending * Cycle * 2;
}

std::chrono::milliseconds
MaintenanceManager::gracePeriod(const WaveState &State) const {
  std::size_t Pending =
      State.Request_.Machines_.size() -
      std::min(State.Request_.Machines_.size(), State.Progress_.Done_.size());
  auto PerMachine =
      remainingTime(State) * State.Request_.MaxUnavailable_ /
      static_cast<std::int64_t>(std::max<std::size_t>(1, Pending));
  return std::min(MaxGracePeriod, PerMachine);
}

bool MaintenanceManager::isReady(const WaveState &State,
                                 const std::string &Name, TimePoint Since) {
  WorkerSession *Session = sessionOf(Name);
  if (Session == nullptr)
    return true;
  // It is not known which tasks the order would end.
  if (Pool_.mayHaveUnexpiredInheritedRuns(*Session))
    return false;
  if (!prepareForOrder(Name))
    return false;
  bool HasShortRuns = false;
  for (const auto &[Task, Run] : Session->runs()) {
    ActiveJob *Job = Pool_.job(Task.Job_);
    HasShortRuns =
        HasShortRuns || (Job != nullptr && !Job->step(Task).IsLongRunning_);
  }
  return !HasShortRuns || Pool_.Clock_.now() - Since >= gracePeriod(State);
}

void MaintenanceManager::claim(WaveState &State, const std::string &Name,
                               bool IsRepeat) {
  // The row's new version becomes the order's fencing token, which is unique.
  WaveProgress Next = State.Progress_;
  Next.Down_[Name] = Pool_.Settings_.Node_;
  store(State, Next, Name,
        [this, Name, IsRepeat, Sent = Pool_.Clock_.now()](WaveState &Claimed) {
          Claimed.Draining_.erase(Name);
          OrderTracker_.onAnnounced(Name, Claimed.Version_);
          bool IsInTime =
              Pool_.Clock_.now() < Sent + MachineOrderTracker::OrderWindow;
          if (!IsInTime || !sendOrder(Claimed, Name, IsRepeat))
            // recordReturned() claims the machine again later.
            OrderTracker_.onOrderSkipped(Name);
        });
}

bool MaintenanceManager::mayOrder(const std::string &Name) const {
  return OrderTracker_.mayOrder(Name, Pool_.Settings_.OwnerLease_,
                                MachineList_.listedAt());
}

bool MaintenanceManager::sendOrder(WaveState &State, const std::string &Name,
                                   bool IsRepeat) {
  WorkerSession *Session = sessionOf(Name);
  if (!Pool_.holdsLease() || (Session != nullptr && !isWithinBudgets(*Session)))
    return false;
  State.IsBusy_ = true;
  if (Session != nullptr)
    // Other waves may send orders before this one is answered.
    markRunsUnavailable(*Session);
  State.Ordered_[Name] = {Session != nullptr ? Session->entry().lifetime()
                                             : std::string(),
                          IsRepeat,
                          {}};
  MachineOrder Command{Name, Pool_.Settings_.Node_, State.Version_};
  Machines_.maintain(Command, State.Request_.Number_,
                     [Weak = weak_from_this(), Number = State.Request_.Number_,
                      Name](MachineOutcome Outcome) {
                       if (auto Self = Weak.lock())
                         Self->onOrderFinished(Number, Name, Outcome);
                     });
  return true;
}

void MaintenanceManager::onOrderFinished(std::uint64_t Number,
                                         const std::string &Name,
                                         MachineOutcome Outcome) {
  WaveState &State = Waves_[Number];
  State.IsBusy_ = false;
  OrderTracker_.onOrderFinished(Name);
  Pool_.Logger_.write(
      LogLevel::Info,
      LogEvent("machine.maintained")
          .with("machine", Name)
          .with("wave", Number)
          .with("outcome", static_cast<std::uint64_t>(Outcome)));
  if (Outcome != MachineOutcome::Accepted) {
    State.Ordered_.erase(Name);
    return;
  }
  Order &Accepted = State.Ordered_[Name];
  Accepted.AcceptedAt_ = Pool_.Clock_.now();
  WorkerSession *Session = Pool_.session(Accepted.Lifetime_);
  if (Session == nullptr)
    return;
  if (Accepted.IsRepeat_) {
    // The worker may have listed them since the order was sent.
    markRunsUnavailable(*Session);
    return;
  }
  // The order ended all runs on the machine.
  Session->IsListed_ = false;
  Dispatcher_.releaseAllRuns(*Session);
}

void MaintenanceManager::markRunsUnavailable(const WorkerSession &Session) {
  for (const auto &[Name, Run] : Session.runs())
    if (ActiveJob *Job = Pool_.job(Name.Job_))
      Job->mutableRun(Name).Percent_ = 0;
}

bool MaintenanceManager::prepareForOrder(const std::string &Name) {
  WorkerSession *Session = sessionOf(Name);
  if (Session == nullptr)
    return true;
  Session->IsReservedForMaintenance_ = true;
  if (isWithinBudgets(*Session))
    return true;
  evacuate(*Session);
  return false;
}

void MaintenanceManager::recordReturned(WaveState &State) {
  WaveProgress Next = State.Progress_;
  for (const auto &[Name, Holder] : State.Progress_.Down_) {
    auto Found = MachineList_.machines().find(Name);
    if (Found == MachineList_.machines().end()) {
      Next.Down_.erase(Name);
      continue;
    }
    if (Found->second.Pool_ != Pool_.Pool_)
      continue;
    auto Ordered = State.Ordered_.find(Name);
    if (Ordered == State.Ordered_.end()) {
      // Claimed by a previous owner, or the order's outcome is unknown.
      if (Found->second.State_ != MachineState::Up || !prepareForOrder(Name) ||
          !mayOrder(Name))
        continue;
      claim(State, Name, /*IsRepeat=*/true);
      return;
    }
    const auto &AcceptedAt = Ordered->second.AcceptedAt_;
    bool IsBack = Found->second.State_ == MachineState::Up && AcceptedAt &&
                  MachineList_.listedAt() > *AcceptedAt;
    if (!IsBack)
      continue;
    Next.Down_.erase(Name);
    Next.Done_.insert(Name);
  }
  if (Next.Down_.size() != State.Progress_.Down_.size())
    store(State, Next, "", [](WaveState &) {});
}

void MaintenanceManager::store(
    WaveState &State, const WaveProgress &Next, const std::string &Announced,
    const std::function<void(WaveState &)> &OnStored) {
  State.IsBusy_ = true;
  State.RequestStartedAt_ = Pool_.Clock_.now();
  StoreKey Row = controlrows::wave(State.Request_.Number_);
  WaveProgress Stamped = Next;
  if (Stamped.SeenAt_.count() == 0)
    Stamped.SeenAt_ = Pool_.wallTime() - elapsed(State);
  StoreTransaction Wanted;
  Wanted.Expected_ = {{Row, State.Version_}};
  Wanted.Puts_ = {{Row, controlrows::encode(Stamped)}};
  if (!Announced.empty())
    OrderTracker_.announce(Announced, Wanted);
  Pool_.Store_.transact(
      std::move(Wanted),
      [Weak = weak_from_this(), Next = Stamped, OnStored, Announced,
       Number = State.Request_.Number_](const StoreTransactionResult &End) {
        auto Self = Weak.lock();
        if (!Self)
          return;
        WaveState &Stored = Self->Waves_[Number];
        Stored.IsBusy_ = false;
        if (End.Outcome_ != StoreOutcome::Done) {
          Stored.IsLoaded_ = false;
          if (End.Outcome_ != StoreOutcome::ConditionFailed)
            Stored.NextAttempt_ = Self->Pool_.Clock_.now() + RetryDelay;
          if (!Announced.empty())
            Self->OrderTracker_.onOrderSkipped(Announced);
          return;
        }
        Stored.Progress_ = Next;
        Stored.Version_ = End.Version_;
        OnStored(Stored);
      });
}

bool MaintenanceManager::isComplete(const WaveState &State) const {
  return std::all_of(State.Request_.Machines_.begin(),
                     State.Request_.Machines_.end(),
                     [&](const std::string &Name) {
                       return State.Progress_.Done_.contains(Name) ||
                              !MachineList_.machines().contains(Name);
                     });
}

void MaintenanceManager::report(WaveState &State) {
  bool IsComplete = isComplete(State);
  const auto &Names = State.Request_.Machines_;
  auto Left = std::count_if(Names.begin(), Names.end(),
                            [this](const std::string &Name) {
                              return !MachineList_.machines().contains(Name);
                            });
  Pool_.Logger_.write(
      LogLevel::Info,
      LogEvent("wave.reported")
          .with("pool", Pool_.Pool_)
          .with("wave", State.Request_.Number_)
          .with("state", IsComplete ? "completed" : "running")
          .with("machines", std::uint64_t{Names.size()})
          .with("done", std::uint64_t{State.Progress_.Done_.size()})
          .with("left", static_cast<std::uint64_t>(Left))
          .with("list-age",
                std::chrono::duration_cast<std::chrono::microseconds>(
                    Pool_.Clock_.now() - MachineList_.listedAt())));
  State.IsBusy_ = true;
  Machines_.reportWave(State.Request_.Number_, IsComplete,
                       [Weak = weak_from_this(), IsComplete,
                        MachinesSeenAt = State.MachinesSeenAt_,
                        Number = State.Request_.Number_](bool IsStored) {
                         auto Self = Weak.lock();
                         if (!Self)
                           return;
                         WaveState &Reported = Self->Waves_[Number];
                         Reported.IsBusy_ = false;
                         if (!IsStored)
                           Reported.NextAttempt_ =
                               Self->Pool_.Clock_.now() + RetryDelay;
                         if (Reported.MachinesSeenAt_ != MachinesSeenAt)
                           return; // The report does not cover all machines.
                         Reported.IsReported_ = IsStored;
                         Reported.IsCompleted_ = IsStored && IsComplete;
                       });
}

} // namespace dragonflylock
