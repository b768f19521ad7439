#include "scheduling/internal/maintenancekeeper.h"
#include "global/ilogger.h"
#include "global/logevent.h"
#include "scheduling/imachinecontrol.h"
#include "scheduling/internal/dispatcher.h"
#include "scheduling/internal/machinelister.h"
#include "scheduling/internal/poolstate.h"
#include "scheduling/internal/readlog.h"
#include "scheduling/istore.h"
#include "scheduling/machineledger.h"

#include <algorithm>
#include <set>

namespace dragonflylock {
namespace {

/// Interval of reading the list of machines while a wave is under way.
constexpr std::chrono::milliseconds ListInterval{500};
/// Interval of reading a wave's row, which other owners change too.
constexpr std::chrono::milliseconds RowInterval{300};
/// Time for which a serving task must have worked at full speed to count as
/// available.
constexpr std::chrono::milliseconds SteadyTime{300};
/// Longest wait for a machine's runs to end by themselves.
constexpr std::chrono::milliseconds LongestPatience{3000};
constexpr std::uint32_t FullSpeed = 100;
/// Time in which a machine becomes empty and its maintenance is ordered.
constexpr std::chrono::milliseconds EmptyingTime{1500};
/// Share of a wave's time that is planned for; the rest is for faults.
constexpr int UsableTenths = 4;
/// Age of a wave, as a multiple of its time, beyond which a stored time is
/// taken for that of a clock that was set.
constexpr int LongestWaveAge = 4;

} // namespace

void MaintenanceKeeper::onWaves(const std::vector<MaintenanceWave> &Waves) {
  for (const MaintenanceWave &Asked : Waves) {
    auto [Place, IsNew] = Waves_.try_emplace(Asked.Number_);
    Place->second.Asked_ = Asked;
    if (!IsNew)
      continue;
    Place->second.FirstSeen_ = Pool_.Clock_.now();
    Pool_.Logger_.write(
        LogLevel::Info,
        LogEvent("wave.seen")
            .with("pool", Pool_.Pool_)
            .with("wave", Asked.Number_)
            .with("machines", std::uint64_t{Asked.Machines_.size()})
            .with("limit", std::uint64_t{Asked.MaxUnavailable_}));
  }
}

void MaintenanceKeeper::tick() {
  bool IsOpen = std::any_of(Waves_.begin(), Waves_.end(), [](const auto &Each) {
    return !Each.second.IsCompleted_;
  });
  if (!IsOpen || !Pool_.mayAct())
    return;
  List_.refresh(ListInterval);
  for (auto &[Number, Each] : Waves_)
    if (!Each.IsCompleted_)
      advance(Each);
}

void MaintenanceKeeper::reserveMachines() {
  std::set<std::string> Names;
  for (const auto &[Number, Each] : Waves_) {
    if (Each.IsCompleted_)
      continue;
    if (!Each.Next_.empty())
      Names.insert(Each.Next_);
    for (const auto &[Name, Holder] : Each.Row_.Down_)
      Names.insert(Name);
  }
  std::set<std::string> Workers;
  for (const std::string &Name : Names)
    if (auto Found = List_.machines().find(Name);
        Found != List_.machines().end())
      Workers.insert(Found->second.Worker_);
  for (auto &[Lifetime, Session] : Pool_.Sessions_) {
    const WorkerEntry &Entry = Session->entry();
    // The roster does not tell machines; the platform's list does.
    bool IsReserved = Session->IsListed_ &&
                      (Entry.Machine_.empty() ? Workers.contains(Entry.Id_)
                                              : Names.contains(Entry.Machine_));
    if (Session->IsReserved_ && !IsReserved)
      Pool_.NeedsDispatch_ = true;
    Session->IsReserved_ = IsReserved;
  }
}

void MaintenanceKeeper::advance(Wave &Each) {
  if (Each.IsBusy_ || List_.machines().empty())
    return;
  if (!Each.IsLoaded_ || Pool_.Clock_.now() >= Each.NextLoad_) {
    load(Each);
    return;
  }
  if (!Each.IsReported_ || isComplete(Each)) {
    report(Each);
    return;
  }
  releaseReturned(Each);
  if (Each.IsBusy_)
    return;
  // Another pool may have got it since, whose owner decides on it now.
  if (!Each.Next_.empty() && !isLeft(Each, Each.Next_))
    Each.Next_.clear();
  if (Each.Next_.empty() && mayTakeNext(Each))
    chooseNext(Each);
  if (!Each.Next_.empty() && isReady(Each, Each.Next_) &&
      mayOrder(Each.Next_) &&
      Each.Row_.Down_.size() < Each.Asked_.MaxUnavailable_)
    claim(Each, Each.Next_, /*IsRepeat=*/false);
}

void MaintenanceKeeper::load(Wave &Each) {
  Each.IsBusy_ = true;
  Each.LoadBegun_ = Pool_.Clock_.now();
  StoreKey Row = controlrows::wave(Each.Asked_.Number_);
  Pool_.Store_.readRange(
      Row.Table_, Row.Part_, Row.Key_, Row.Key_ + '\1', /*Most=*/1,
      [Weak = weak_from_this(),
       Number = Each.Asked_.Number_](const StoreRange &Read) {
        if (auto Self = Weak.lock())
          Self->onLoaded(Number, Read);
      });
}

void MaintenanceKeeper::onLoaded(std::uint64_t Number, const StoreRange &Read) {
  Wave &Each = Waves_[Number];
  Each.IsBusy_ = false;
  Each.NextLoad_ = Pool_.Clock_.now() + RowInterval;
  if (Read.Outcome_ != StoreOutcome::Done) {
    readlog::pageFailed(Pool_.Logger_, controlrows::wave(Number), 1,
                        Read.Outcome_, Pool_.Clock_.now() - Each.LoadBegun_);
    return;
  }
  Each.IsLoaded_ = true;
  if (Read.Rows_.empty())
    return;
  auto Row = controlrows::decodeWave(Read.Rows_.front().Value_);
  Each.Version_ = Read.Rows_.front().Version_;
  if (!Row)
    return;
  Each.Row_ = *Row;
  auto Age = Pool_.wallTime() - Row->SeenAt_;
  bool IsPlausible = Row->SeenAt_.count() > 0 && Age.count() > 0 &&
                     Age < Each.Asked_.Duration_ * LongestWaveAge;
  if (IsPlausible)
    Each.FirstSeen_ = std::min(Each.FirstSeen_, Pool_.Clock_.now() - Age);
}

WorkerSession *MaintenanceKeeper::sessionOf(const std::string &Name) {
  if (WorkerSession *Session = Pool_.sessionOn(Name))
    return Session;
  // The roster does not tell machines; the platform's list does.
  auto Found = List_.machines().find(Name);
  if (Found == List_.machines().end() || Found->second.Worker_.empty())
    return nullptr;
  for (auto &[Lifetime, Session] : Pool_.Sessions_)
    if (Session->IsListed_ && Session->entry().Id_ == Found->second.Worker_)
      return Session.get();
  return nullptr;
}

bool MaintenanceKeeper::isLeft(const Wave &Each,
                               const std::string &Name) const {
  auto Found = List_.machines().find(Name);
  return Found != List_.machines().end() &&
         Found->second.Pool_ == Pool_.Pool_ && !Each.Row_.Done_.contains(Name);
}

void MaintenanceKeeper::chooseNext(Wave &Each) {
  std::string Best;
  std::size_t FewestRuns = SIZE_MAX;
  for (const std::string &Name : Each.Asked_.Machines_) {
    if (!isLeft(Each, Name) || Each.Row_.Down_.contains(Name) ||
        List_.machines().at(Name).State_ != MachineState::Up)
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
  Each.Next_ = Best;
  Each.ReservedAt_ = Pool_.Clock_.now();
  reserveMachines();
}

bool MaintenanceKeeper::isAtWork(const TaskRun &Run) const {
  auto Worker = Pool_.Sessions_.find(Run.Worker_);
  bool IsSound = Worker != Pool_.Sessions_.end() && Worker->second->IsListed_ &&
                 Worker->second->HoldFailures_ == 0;
  return IsSound && Run.Phase_ == TaskPhase::Running &&
         Run.Percent_ >= FullSpeed &&
         Run.FullSpeedSince_ + SteadyTime <= Pool_.Clock_.now();
}

std::uint32_t MaintenanceKeeper::countAway(
    const ActiveJob &Job, const TaskName &Task,
    const std::function<bool(const TaskName &, const TaskRun &)> &IsCounted)
    const {
  std::uint32_t Away = 0;
  Job.forEachTask([&](const TaskName &Other, const TaskRun &Run) {
    bool IsPeer =
        Other.Occurrence_ == Task.Occurrence_ && Other.Step_ == Task.Step_;
    Away += IsPeer && IsCounted(Other, Run) && !isAtWork(Run) ? 1 : 0;
  });
  return Away;
}

bool MaintenanceKeeper::keepsBudgets(const WorkerSession &Session) {
  for (const auto &[Name, Run] : Session.runs()) {
    const ActiveJob *Job = Pool_.job(Name.Job_);
    if (Job == nullptr || !Job->step(Name).DisruptionBudget_)
      continue;
    // The order ends all of the step's tasks on the worker at once.
    std::uint32_t Ended = Session.countOf(Name);
    std::uint32_t Away =
        countAway(*Job, Name, [&](const TaskName &, const TaskRun &Other) {
          return Other.Worker_ != Session.entry().lifetime();
        });
    if (Ended + Away > *Job->step(Name).DisruptionBudget_)
      return false;
  }
  return true;
}

void MaintenanceKeeper::evacuate(WorkerSession &Session) {
  std::set<std::pair<std::string, std::uint32_t>> Disrupted;
  for (const auto &[Name, Run] : Session.runs()) {
    const ActiveJob *Job = Pool_.job(Name.Job_);
    if (Job == nullptr || !Job->step(Name).DisruptionBudget_)
      continue;
    bool IsAlone = Session.countOf(Name) <= 1;
    bool IsFirst = Disrupted.emplace(Name.Job_, Name.Step_).second;
    std::uint32_t Away = countAway(
        *Job, Name, [Task = Name](const TaskName &Other, const TaskRun &) {
          return Other != Task;
        });
    if (IsAlone || !IsFirst || !isAtWork(Job->run(Name)) ||
        Away + 1 > *Job->step(Name).DisruptionBudget_)
      continue;
    Starts_.stop(Session, Name, Run.Run_);
  }
}

std::chrono::milliseconds MaintenanceKeeper::spent(const Wave &Each) const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      Pool_.Clock_.now() - Each.FirstSeen_);
}

std::chrono::milliseconds MaintenanceKeeper::timeLeft(const Wave &Each) const {
  return std::max(std::chrono::milliseconds(0),
                  Each.Asked_.Duration_ - spent(Each));
}

bool MaintenanceKeeper::mayTakeNext(const Wave &Each) const {
  std::int64_t Left = 0;
  std::int64_t Down = 0;
  for (const std::string &Name : Each.Asked_.Machines_) {
    if (!isLeft(Each, Name))
      continue;
    ++Left;
    Down += Each.Row_.Down_.contains(Name) ? 1 : 0;
  }
  auto Cycle = Pool_.Settings_.MaintenanceTime_ + EmptyingTime;
  auto Usable = timeLeft(Each) * UsableTenths / 10;
  if (Usable <= Cycle)
    return true;
  std::int64_t AtOnce =
      (Left * Cycle + Usable - std::chrono::milliseconds(1)) / Usable;
  if (Down >= AtOnce)
    return false;
  return !Pool_.LacksMachines_ || Usable < Left * Cycle * 2;
}

std::chrono::milliseconds MaintenanceKeeper::patience(const Wave &Each) const {
  std::size_t Left =
      Each.Asked_.Machines_.size() -
      std::min(Each.Asked_.Machines_.size(), Each.Row_.Done_.size());
  auto PerMachine = timeLeft(Each) * Each.Asked_.MaxUnavailable_ /
                    static_cast<std::int64_t>(std::max<std::size_t>(1, Left));
  return std::min(LongestPatience, PerMachine);
}

bool MaintenanceKeeper::isReady(const Wave &Each, const std::string &Name) {
  WorkerSession *Session = sessionOf(Name);
  if (Session == nullptr)
    return true;
  if (!readyForOrder(Name))
    return false;
  bool HasShortRuns = false;
  for (const auto &[Task, Run] : Session->runs()) {
    ActiveJob *Job = Pool_.job(Task.Job_);
    HasShortRuns =
        HasShortRuns || (Job != nullptr && !Job->step(Task).IsLongRunning_);
  }
  return !HasShortRuns ||
         Pool_.Clock_.now() - Each.ReservedAt_ >= patience(Each);
}

void MaintenanceKeeper::claim(Wave &Each, const std::string &Name,
                              bool IsRepeat) {
  // The row's new version is the token of the order, which no other has.
  WaveProgress Next = Each.Row_;
  Next.Down_[Name] = Pool_.Settings_.Node_;
  store(Each, Next, Name,
        [this, Name, IsRepeat, Sent = Pool_.Clock_.now()](Wave &Claimed) {
          if (Claimed.Next_ == Name)
            Claimed.Next_.clear();
          Ledger_.onAnnounced(Name, Claimed.Version_);
          bool IsInTime =
              Pool_.Clock_.now() < Sent + MachineLedger::OrderWindow;
          if (!IsInTime || !order(Claimed, Name, IsRepeat))
            Ledger_.onNotOrdered(Name); // Claimed again later.
        });
}

bool MaintenanceKeeper::mayOrder(const std::string &Name) const {
  return Ledger_.mayOrder(Name, Pool_.Settings_.OwnerLease_, List_.listedAt());
}

bool MaintenanceKeeper::order(Wave &Each, const std::string &Name,
                              bool IsRepeat) {
  WorkerSession *Session = sessionOf(Name);
  if (!Pool_.mayAct() || (Session != nullptr && !keepsBudgets(*Session)))
    return false;
  Each.IsBusy_ = true;
  if (Session != nullptr)
    doubtRuns(*Session); // Other waves' orders may be made meanwhile.
  Each.Ordered_[Name] = {Session != nullptr ? Session->entry().lifetime()
                                            : std::string(),
                         IsRepeat,
                         {}};
  MachineOrder Command{Name, Pool_.Settings_.Node_, Each.Version_};
  Machines_.maintain(Command, Each.Asked_.Number_,
                     [Weak = weak_from_this(), Number = Each.Asked_.Number_,
                      Name](MachineOutcome Outcome) {
                       if (auto Self = Weak.lock())
                         Self->onOrdered(Number, Name, Outcome);
                     });
  return true;
}

void MaintenanceKeeper::onOrdered(std::uint64_t Number, const std::string &Name,
                                  MachineOutcome Outcome) {
  Wave &Each = Waves_[Number];
  Each.IsBusy_ = false;
  Ledger_.onOrdered(Name);
  Pool_.Logger_.write(
      LogLevel::Info,
      LogEvent("machine.maintained")
          .with("machine", Name)
          .with("wave", Number)
          .with("outcome", static_cast<std::uint64_t>(Outcome)));
  if (Outcome != MachineOutcome::Accepted) {
    Each.Ordered_.erase(Name);
    return;
  }
  Order &Accepted = Each.Ordered_[Name];
  Accepted.AcceptedAt_ = Pool_.Clock_.now();
  WorkerSession *Session = Pool_.session(Accepted.Lifetime_);
  if (Session == nullptr)
    return;
  if (Accepted.IsRepeat_) {
    doubtRuns(*Session); // They may have been listed since the order.
    return;
  }
  // All that ran on the machine ended with the order.
  Session->IsListed_ = false;
  Starts_.abandon(*Session);
}

void MaintenanceKeeper::doubtRuns(const WorkerSession &Session) {
  for (const auto &[Name, Run] : Session.runs())
    if (ActiveJob *Job = Pool_.job(Name.Job_))
      Job->mutableRun(Name).Percent_ = 0;
}

bool MaintenanceKeeper::readyForOrder(const std::string &Name) {
  WorkerSession *Session = sessionOf(Name);
  if (Session == nullptr)
    return true;
  Session->IsReserved_ = true;
  if (keepsBudgets(*Session))
    return true;
  evacuate(*Session);
  return false;
}

void MaintenanceKeeper::releaseReturned(Wave &Each) {
  WaveProgress Next = Each.Row_;
  for (const auto &[Name, Holder] : Each.Row_.Down_) {
    auto Found = List_.machines().find(Name);
    if (Found == List_.machines().end()) {
      Next.Down_.erase(Name);
      continue;
    }
    if (Found->second.Pool_ != Pool_.Pool_)
      continue;
    auto Ordered = Each.Ordered_.find(Name);
    if (Ordered == Each.Ordered_.end()) {
      // Claimed by an earlier owner, or not known to be carried out.
      if (Found->second.State_ != MachineState::Up || !readyForOrder(Name) ||
          !mayOrder(Name))
        continue;
      claim(Each, Name, /*IsRepeat=*/true);
      return;
    }
    const auto &AcceptedAt = Ordered->second.AcceptedAt_;
    bool IsBack = Found->second.State_ == MachineState::Up && AcceptedAt &&
                  List_.listedAt() > *AcceptedAt;
    if (!IsBack)
      continue;
    Next.Down_.erase(Name);
    Next.Done_.insert(Name);
  }
  if (Next.Down_.size() != Each.Row_.Down_.size())
    store(Each, Next, "", [](Wave &) {});
}

void MaintenanceKeeper::store(Wave &Each, const WaveProgress &Next,
                              const std::string &Announced,
                              const std::function<void(Wave &)> &Then) {
  Each.IsBusy_ = true;
  Each.LoadBegun_ = Pool_.Clock_.now();
  StoreKey Row = controlrows::wave(Each.Asked_.Number_);
  WaveProgress Dated = Next;
  if (Dated.SeenAt_.count() == 0)
    Dated.SeenAt_ = Pool_.wallTime() - spent(Each);
  StoreTransaction Wanted;
  Wanted.Expected_ = {{Row, Each.Version_}};
  Wanted.Puts_ = {{Row, controlrows::encode(Dated)}};
  if (!Announced.empty())
    Ledger_.announce(Announced, Wanted);
  Pool_.Store_.transact(
      std::move(Wanted),
      [Weak = weak_from_this(), Next = Dated, Then, Announced,
       Number = Each.Asked_.Number_](const StoreTransactionEnd &End) {
        auto Self = Weak.lock();
        if (!Self)
          return;
        Wave &Stored = Self->Waves_[Number];
        Stored.IsBusy_ = false;
        if (End.Outcome_ != StoreOutcome::Done) {
          Stored.IsLoaded_ = false;
          if (!Announced.empty())
            Self->Ledger_.onNotOrdered(Announced);
          return;
        }
        Stored.Row_ = Next;
        Stored.Version_ = End.Version_;
        Then(Stored);
      });
}

bool MaintenanceKeeper::isComplete(const Wave &Each) const {
  return std::all_of(Each.Asked_.Machines_.begin(), Each.Asked_.Machines_.end(),
                     [&](const std::string &Name) {
                       return Each.Row_.Done_.contains(Name) ||
                              !List_.machines().contains(Name);
                     });
}

void MaintenanceKeeper::report(Wave &Each) {
  bool IsComplete = isComplete(Each);
  Each.IsBusy_ = true;
  Machines_.reportWave(Each.Asked_.Number_, IsComplete,
                       [Weak = weak_from_this(), IsComplete,
                        Number = Each.Asked_.Number_](bool IsStored) {
                         auto Self = Weak.lock();
                         if (!Self)
                           return;
                         Wave &Reported = Self->Waves_[Number];
                         Reported.IsBusy_ = false;
                         Reported.IsReported_ = IsStored;
                         Reported.IsCompleted_ = IsStored && IsComplete;
                       });
}

} // namespace dragonflylock
