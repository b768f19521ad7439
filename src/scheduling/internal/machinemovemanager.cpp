#include "scheduling/internal/machinemovemanager.h"
#include "global/ilogger.h"
#include "global/logevent.h"
#include "scheduling/demandtracker.h"
#include "scheduling/imachinecontrol.h"
#include "scheduling/internal/loadmeter.h"
#include "scheduling/internal/machinelistcache.h"
#include "scheduling/internal/poolstate.h"
#include "scheduling/istore.h"
#include "scheduling/machineordertracker.h"

#include <algorithm>
#include <iterator>

namespace dragonflylock {
namespace {

/// Interval of measuring the pool's load.
constexpr std::chrono::milliseconds MeasureInterval{100};
/// Delay between the end of a grant's transaction and the next grant.
constexpr std::chrono::milliseconds GrantDelay{150};
/// Minimum time between two orders to move the same machine.
constexpr std::chrono::milliseconds OrderRetryDelay{250};
/// Interval of reading the list of machines while a pool requests some.
constexpr std::chrono::milliseconds ListInterval{400};
/// Maximum age of the list from which spare machines are granted. Covers a list
/// that is answered late and the interval of reading it.
constexpr std::chrono::milliseconds MaxListAge{5000};
/// Time for which other pools leave a demand to the spare pool.
constexpr std::chrono::milliseconds SparePoolHeadStart{250};
/// Time beyond the duration of a move after which a machine is overdue.
constexpr std::chrono::milliseconds ArrivalMargin{2000};
/// Time for which the number of machines must not change before it is taken as
/// the number of the pool's home machines.
constexpr std::chrono::milliseconds StablePeriod{1000};
/// Maximum machines per grant; a transaction takes 100 entries.
constexpr std::size_t MaxGrantMachines = 20;
/// The same where peaks are to be met: two entries for each machine and two for
/// the demand row. Three grants for a spare pool of 56 took 0.6 s.
constexpr std::size_t MaxPeakGrantMachines = 45;
/// Interval of reading the list of machines while no pool requests any, where
/// peaks are to be met. Keeps the list younger than MaxListAge, so that the
/// first grant need not wait for it.
constexpr std::chrono::milliseconds IdleListInterval{2000};
/// Time for which a home machine must be idle before it is returned. Exceeds
/// the time between the end of a run and the start of the next.
constexpr std::chrono::milliseconds MinHomeIdleTime{500};

} // namespace

MachineMoveManager::MachineMoveManager(PoolState &Pool,
                                       IMachineControl &Machines,
                                       MachineListCache &List,
                                       MachineOrderTracker &OrderTracker,
                                       DemandTracker &Demands)
    : Pool_(Pool), Machines_(Machines), MachineList_(List),
      OrderTracker_(OrderTracker), Demands_(Demands),
      Planner_(Pool.Settings_.MoveTime_), Forecaster_(Pool, Planner_) {}

void MachineMoveManager::tick() {
  const TimePoint Now = Pool_.Clock_.now();
  std::string Spare = sparePool();
  if (Spare.empty() || Now < NextMeasurement_ || !Pool_.holdsLease())
    return;
  NextMeasurement_ = Now + MeasureInterval;
  updateIdleWorkers();
  retryMoves();
  PoolLoad Load = measureLoad(Pool_);
  Load.HomeMachines_ = Demands_.demandOf(Pool_.Pool_).Row_.Home_;
  Pool_.LacksMachines_ = false;
  if (usesForecast())
    Forecaster_.update(Load, Demands_.demandOf(Pool_.Pool_).Row_);
  if (Pool_.Pool_ != Spare)
    publishDemand(Load);
  reassignMachines(Load);
}

bool MachineMoveManager::usesForecast() const {
  return Pool_.Settings_.RefusesUnderPressure_ && Pool_.Pool_ != sparePool();
}

std::string MachineMoveManager::sparePool() const {
  for (const SchedulingPool &Each : Pool_.Configuration_->Pools_)
    if (Each.IsSpare_)
      return Each.Name_;
  return {};
}

void MachineMoveManager::publishDemand(const PoolLoad &Load) {
  std::uint32_t Missing = Planner_.missingMachines(Load);
  if (usesForecast()) {
    logRequestAhead(Load, Missing);
    const auto &Returned = Demands_.demandOf(Pool_.Pool_).Row_.Returned_;
    Missing =
        std::max(Missing, Forecaster_.machinesToAskBack(
                              static_cast<std::uint32_t>(Returned.size())));
  }
  Pool_.LacksMachines_ = Missing > 0;
  if (IsWriting_)
    return;
  DemandRow Next = Demands_.demandOf(Pool_.Pool_).Row_;
  removeArrived(Next);
  if (Next.Home_ == 0)
    recordHomeMachines(Next, Load.Machines_);
  if (usesForecast()) {
    removeReplaced(Next, Load.Machines_);
    Next.Forecast_ = Forecaster_.encoded();
  }
  auto Incoming = static_cast<std::uint32_t>(Next.Coming_.size());
  Next.Missing_ = Missing > Incoming ? Missing - Incoming : 0;
  if (Next != Demands_.demandOf(Pool_.Pool_).Row_)
    storeDemand(Next);
}

void MachineMoveManager::logRequestAhead(const PoolLoad &Load,
                                         std::uint32_t Missing) {
  PoolLoad Current = Load;
  Current.ForecastLoad_ = 0;
  const std::uint32_t MissingNow = Planner_.missingMachines(Current);
  if (Load.ForecastLoad_ == 0)
    IsRequestAheadLogged_ = false;
  if (IsRequestAheadLogged_ || Missing <= MissingNow)
    return;
  IsRequestAheadLogged_ = true;
  Pool_.Logger_.write(
      LogLevel::Info,
      LogEvent("machines.requested-ahead")
          .with("pool", Pool_.Pool_)
          .with("machines", std::uint64_t{Missing - MissingNow}));
}

void MachineMoveManager::removeReplaced(DemandRow &Row,
                                        std::uint32_t Machines) const {
  std::erase_if(Row.Returned_, [this](const std::string &Name) {
    const WorkerSession *Session = Pool_.sessionOn(Name);
    return Session != nullptr && !Session->isBeingDrained();
  });
  const std::uint32_t Away = Row.Home_ > Machines ? Row.Home_ - Machines : 0;
  while (Row.Returned_.size() > Away)
    Row.Returned_.erase(std::prev(Row.Returned_.end()));
}

void MachineMoveManager::recordHomeMachines(DemandRow &Row,
                                            std::uint32_t Machines) {
  const TimePoint Now = Pool_.Clock_.now();
  if (Machines != LastMachineCount_)
    StableSince_ = Now;
  LastMachineCount_ = Machines;
  if (Now >= StableSince_ + StablePeriod)
    Row.Home_ = Machines;
}

void MachineMoveManager::removeArrived(DemandRow &Row) {
  const TimePoint Now = Pool_.Clock_.now();
  std::erase_if(IncomingSince_, [&](const auto &Each) {
    return !Row.Coming_.contains(Each.first);
  });
  std::erase_if(Row.Coming_, [&](const std::string &Name) {
    TimePoint Since = IncomingSince_.try_emplace(Name, Now).first->second;
    bool IsOverdue = Now >= Since + Pool_.Settings_.MoveTime_ + ArrivalMargin;
    return IsOverdue || Pool_.sessionOn(Name) != nullptr;
  });
}

void MachineMoveManager::storeDemand(const DemandRow &Row) {
  IsWriting_ = true;
  StoreTransaction Transaction;
  StoreKey Name = controlrows::demand(Pool_.Pool_);
  Transaction.Expected_ = {{Name, Demands_.demandOf(Pool_.Pool_).Version_}};
  Transaction.Puts_ = {{Name, controlrows::encode(Row)}};
  Pool_.Store_.transact(
      std::move(Transaction),
      [Weak = weak_from_this(), Row](const StoreTransactionResult &End) {
        auto Self = Weak.lock();
        if (!Self)
          return;
        Self->IsWriting_ = false;
        if (End.Outcome_ == StoreOutcome::Done)
          Self->Demands_.onStored(Self->Pool_.Pool_, Row, End.Version_);
        for (const StoreRow &Current : End.Current_)
          Self->Demands_.onRow(Self->Pool_.Pool_, Current);
      });
}

bool MachineMoveManager::isIdle(const WorkerSession &Session) const {
  return Session.IsListed_ && Session.IsFenced_ && !Session.isBeingDrained() &&
         Session.entry().State_ == WorkerState::Ready &&
         Session.HoldFailures_ == 0 && Session.runs().empty() &&
         !Session.hasPendingEnds() &&
         Session.acknowledged() >= Session.acknowledgeableUpTo() &&
         !Session.entry().Machine_.empty();
}

void MachineMoveManager::updateIdleWorkers() {
  std::map<std::string, TimePoint> Idle;
  for (const auto &[Lifetime, Session] : Pool_.Sessions_) {
    if (!isIdle(*Session))
      continue;
    auto Known = IdleSince_.find(Lifetime);
    Idle[Lifetime] =
        Known == IdleSince_.end() ? Pool_.Clock_.now() : Known->second;
  }
  IdleSince_ = std::move(Idle);
}

std::vector<std::string>
MachineMoveManager::idleMachines(std::chrono::milliseconds MinIdleTime) const {
  std::vector<std::string> Names;
  for (const auto &[Lifetime, Since] : IdleSince_) {
    const WorkerSession &Session = *Pool_.Sessions_.at(Lifetime);
    const std::string &Name = Session.entry().Machine_;
    if (Since + MinIdleTime <= Pool_.Clock_.now() && isIdle(Session))
      Names.push_back(Name);
  }
  return Names;
}

void MachineMoveManager::reassignMachines(const PoolLoad &Load) {
  const TimePoint Now = Pool_.Clock_.now();
  std::string To = Demands_.poolWithLargestDemand(Pool_.Pool_);
  trackCondition(DemandSince_, !To.empty());
  trackCondition(SurplusSince_,
                 Load.HomeMachines_ > 0 && Planner_.surplusMachines(Load) > 0);
  if (IsGranting_ || Now < NextGrant_)
    return;
  if (Pool_.Pool_ == sparePool())
    grantSpareMachines(To);
  else if (DemandSince_ && Now >= *DemandSince_ + SparePoolHeadStart)
    grantIdleMachines(To, Load);
  else if (!DemandSince_ && SurplusSince_ &&
           Now >= *SurplusSince_ + Planner_.releaseDelay())
    returnSurplus(Load);
  if (usesForecast() && !IsGranting_ && !IsWriting_ &&
      Forecaster_.mayReturnHomeMachines())
    returnHomeMachines(Load);
}

void MachineMoveManager::trackCondition(std::optional<TimePoint> &Since,
                                        bool IsTrue) const {
  if (!IsTrue)
    Since.reset();
  else if (!Since)
    Since = Pool_.Clock_.now();
}

void MachineMoveManager::grantSpareMachines(const std::string &To) {
  if (To.empty()) {
    if (Pool_.Settings_.RefusesUnderPressure_)
      MachineList_.refresh(IdleListInterval);
    return;
  }
  MachineList_.refresh(ListInterval);
  // Nobody reads the list while there is no demand.
  if (!MachineList_.isCurrentSince(Pool_.Clock_.now() - MaxListAge))
    return;
  std::set<std::string> Names;
  for (const auto &[Name, Each] : MachineList_.machines())
    if (Each.Pool_ == Pool_.Pool_ && Each.State_ == MachineState::Up)
      Names.insert(Name);
  if (Pool_.Settings_.RefusesUnderPressure_ && grantReturnedMachines(Names))
    return;
  grant(To, {Names.begin(), Names.end()});
}

bool MachineMoveManager::grantReturnedMachines(std::set<std::string> &Names) {
  for (const SchedulingPool &Each : Pool_.Configuration_->Pools_) {
    const DemandRow &Row = Demands_.demandOf(Each.Name_).Row_;
    std::vector<std::string> Own;
    for (const std::string &Name : Row.Returned_)
      if (Names.erase(Name) > 0)
        Own.push_back(Name);
    Own = withoutBusyMachines(std::move(Own));
    if (Row.Missing_ == 0 || Own.empty())
      continue;
    grant(Each.Name_, std::move(Own));
    return true;
  }
  return false;
}

void MachineMoveManager::grantIdleMachines(const std::string &To,
                                           const PoolLoad &Load) {
  if (Load.HomeMachines_ == 0)
    return;
  auto Idle = idleMachines(std::chrono::milliseconds(0));
  Idle.resize(
      std::min<std::size_t>(Idle.size(), Planner_.surplusMachines(Load)));
  grant(To, std::move(Idle));
}

void MachineMoveManager::returnSurplus(const PoolLoad &Load) {
  auto Idle = idleMachines(Planner_.releaseDelay());
  Idle.resize(
      std::min<std::size_t>(Idle.size(), Planner_.surplusMachines(Load)));
  grant(sparePool(), std::move(Idle));
}

void MachineMoveManager::returnHomeMachines(PoolLoad Load) {
  Load.UnstartedLoad_ = measureUnstartedLoad(Pool_);
  Grant Wanted;
  Wanted.To_ = sparePool();
  Wanted.Names_ = withoutBusyMachines(idleMachines(MinHomeIdleTime));
  retainReserve(Wanted.Names_);
  Wanted.Names_.resize(std::min<std::size_t>({Wanted.Names_.size(),
                                              Planner_.returnableMachines(Load),
                                              maxGrantMachines()}));
  Wanted.DemandPool_ = Pool_.Pool_;
  Wanted.Row_ = Demands_.demandOf(Pool_.Pool_).Row_;
  Wanted.Row_.Returned_.insert(Wanted.Names_.begin(), Wanted.Names_.end());
  storeGrant(std::move(Wanted));
}

void MachineMoveManager::retainReserve(std::vector<std::string> &Names) const {
  // The machines of a zone or with a label, by "z" or "l" and its name.
  auto KindsOf = [](const WorkerEntry &Entry) {
    std::vector<std::string> Kinds = {"z" + Entry.Zone_};
    for (const std::string &Label : Entry.Labels_)
      Kinds.push_back("l" + Label);
    return Kinds;
  };
  std::map<std::string, std::uint32_t> Total;
  std::uint32_t Machines = 0;
  for (const auto &[Lifetime, Session] : Pool_.Sessions_) {
    if (!Session->IsListed_ || Session->isBeingDrained())
      continue;
    ++Machines;
    for (const std::string &Kind : KindsOf(Session->entry()))
      ++Total[Kind];
  }
  const std::uint32_t Reserve =
      CapacityPlanner::reserveOf(Demands_.demandOf(Pool_.Pool_).Row_.Home_);
  // Machines of each kind stay in proportion to the reserve, one at least.
  std::map<std::string, std::uint32_t> Left = Total;
  const std::uint32_t All = std::max(1U, Machines);
  auto IsNeeded = [&](const std::string &Kind) {
    return Left[Kind] <= std::max(1U, Reserve * Total[Kind] / All);
  };
  std::erase_if(Names, [&](const std::string &Name) {
    const WorkerSession *Session = Pool_.sessionOn(Name);
    if (Session == nullptr)
      return true;
    const WorkerEntry &Entry = Session->entry();
    // The spare pool has few accelerators to replace these.
    if (Entry.Capacity_.Gpus_ > 0 ||
        (IsDueForMaintenance_ && IsDueForMaintenance_(Name)))
      return true;
    const std::vector<std::string> Kinds = KindsOf(Entry);
    if (std::any_of(Kinds.begin(), Kinds.end(), IsNeeded))
      return true;
    for (const std::string &Kind : Kinds)
      --Left[Kind];
    return false;
  });
}

bool MachineMoveManager::mayOrder(const std::string &Name) const {
  // In other pools than the spare pool, a worker that responds shows that its
  // machine is in the pool now.
  bool IsSpare = Pool_.Pool_ == sparePool();
  TimePoint ListedAt = IsSpare ? MachineList_.listedAt() : Pool_.Clock_.now();
  return !Moves_.contains(Name) &&
         OrderTracker_.mayOrder(Name, Pool_.Settings_.OwnerLease_, ListedAt);
}

std::vector<std::string>
MachineMoveManager::withoutBusyMachines(std::vector<std::string> Names) const {
  std::erase_if(Names,
                [this](const std::string &Name) { return !mayOrder(Name); });
  return Names;
}

std::size_t MachineMoveManager::maxGrantMachines() const {
  return Pool_.Settings_.RefusesUnderPressure_ ? MaxPeakGrantMachines
                                               : MaxGrantMachines;
}

void MachineMoveManager::grant(const std::string &To,
                               std::vector<std::string> Names) {
  Grant Wanted;
  Wanted.To_ = To;
  Wanted.Names_ = withoutBusyMachines(std::move(Names));
  Wanted.Row_ = Demands_.demandOf(To).Row_;
  bool IsRequested = To != sparePool();
  std::size_t Limit = IsRequested ? Wanted.Row_.Missing_ : maxGrantMachines();
  Wanted.Names_.resize(
      std::min({Wanted.Names_.size(), Limit, maxGrantMachines()}));
  if (IsRequested) {
    Wanted.DemandPool_ = To;
    Wanted.Row_.Missing_ -= static_cast<std::uint32_t>(Wanted.Names_.size());
    Wanted.Row_.Coming_.insert(Wanted.Names_.begin(), Wanted.Names_.end());
    for (const std::string &Name : Wanted.Names_)
      Wanted.Row_.Returned_.erase(Name);
  }
  storeGrant(std::move(Wanted));
}

void MachineMoveManager::storeGrant(Grant Wanted) {
  if (Wanted.Names_.empty())
    return;
  StoreTransaction Transaction;
  if (!Wanted.DemandPool_.empty()) {
    const StoreKey Key = controlrows::demand(Wanted.DemandPool_);
    Transaction.Expected_.push_back(
        {Key, Demands_.demandOf(Wanted.DemandPool_).Version_});
    Transaction.Puts_.push_back({Key, controlrows::encode(Wanted.Row_)});
  }
  for (const std::string &Name : Wanted.Names_) {
    OrderTracker_.announce(Name, Transaction);
    reserveWorker(Name);
  }
  IsGranting_ = true;
  Wanted.SentAt_ = Pool_.Clock_.now();
  Pool_.Store_.transact(std::move(Transaction),
                        [Weak = weak_from_this(), Wanted = std::move(Wanted)](
                            const StoreTransactionResult &End) {
                          if (auto Self = Weak.lock())
                            Self->onGrantStored(Wanted, End);
                        });
}

void MachineMoveManager::onGrantFailed(const Grant &Failed,
                                       const StoreTransactionResult &End) {
  for (const std::string &Name : Failed.Names_) {
    releaseWorker(Name);
    OrderTracker_.onOrderSkipped(Name);
  }
  for (const StoreRow &Current : End.Current_) {
    if (!Failed.DemandPool_.empty() &&
        Current.Name_ == controlrows::demand(Failed.DemandPool_))
      Demands_.onRow(Failed.DemandPool_, Current);
    for (const std::string &Name : Failed.Names_)
      if (Current.Name_ == controlrows::machine(Name))
        OrderTracker_.onRow(Name, Current);
  }
}

void MachineMoveManager::onGrantStored(const Grant &Stored,
                                       const StoreTransactionResult &End) {
  const std::string &To = Stored.To_;
  const std::vector<std::string> &Names = Stored.Names_;
  IsGranting_ = false;
  bool IsStored = End.Outcome_ == StoreOutcome::Done;
  // After a success the next grant need not wait where peaks are to be met.
  NextGrant_ = Pool_.Clock_.now();
  if (!IsStored || !Pool_.Settings_.RefusesUnderPressure_)
    NextGrant_ += GrantDelay;
  if (!IsStored) {
    onGrantFailed(Stored, End);
    return;
  }
  if (!Stored.DemandPool_.empty())
    Demands_.onStored(Stored.DemandPool_, Stored.Row_, End.Version_);
  Pool_.Logger_.write(LogLevel::Info,
                      LogEvent("machines.given")
                          .with("pool", Pool_.Pool_)
                          .with("to", To)
                          .with("machines", std::uint64_t{Names.size()})
                          .with("token", End.Version_));
  for (const std::string &Name : Names) {
    OrderTracker_.onAnnounced(Name, End.Version_);
    PendingMove &Move = Moves_[Name];
    Move.To_ = To;
    // The lifetime is known from the reservation: the registry may not list the
    // worker at this moment.
    Move.Lifetime_ = ReservedLifetimes_[Name];
    ReservedLifetimes_.erase(Name);
    Move.Token_ = End.Version_;
    Move.AnnouncedAt_ = Stored.SentAt_;
    sendOrder(Name, Move);
  }
}

void MachineMoveManager::sendOrder(const std::string &Name, PendingMove &Move) {
  const TimePoint Now = Pool_.Clock_.now();
  if (Move.IsBusy_ || Now < Move.LastAttemptAt_ + OrderRetryDelay ||
      Now >= Move.AnnouncedAt_ + MachineOrderTracker::OrderWindow ||
      !Pool_.holdsLease())
    return;
  Move.IsBusy_ = true;
  Move.LastAttemptAt_ = Now;
  Machines_.move({Name, Pool_.Settings_.Node_, Move.Token_}, Move.To_,
                 [Weak = weak_from_this(), Name](MachineOutcome Outcome) {
                   if (auto Self = Weak.lock())
                     Self->onMoveAnswered(Name, Outcome);
                 });
}

bool MachineMoveManager::isExpired(const PendingMove &Move) const {
  TimePoint End = Move.AnnouncedAt_ + MachineOrderTracker::OrderWindow;
  // If the move was executed without a response, the worker disappears from the
  // registry within this time.
  if (Move.MayBeExecuted_)
    End = Move.LastAttemptAt_ + Pool_.Settings_.MoveTime_ + ArrivalMargin;
  return !Move.IsBusy_ && Pool_.Clock_.now() >= End;
}

void MachineMoveManager::retryMoves() {
  std::vector<std::string> Names;
  for (const auto &[Name, Move] : Moves_)
    Names.push_back(Name);
  for (const std::string &Name : Names) {
    if (isExpired(Moves_[Name]))
      finishMove(Name, /*IsMoved=*/false);
    else
      sendOrder(Name, Moves_[Name]); // The response may erase the move.
  }
}

void MachineMoveManager::onMoveAnswered(const std::string &Name,
                                        MachineOutcome Outcome) {
  auto Found = Moves_.find(Name);
  if (Found == Moves_.end())
    return;
  Found->second.IsBusy_ = false;
  Pool_.Logger_.write(
      LogLevel::Info,
      LogEvent("machine.moved")
          .with("machine", Name)
          .with("from", Pool_.Pool_)
          .with("to", Found->second.To_)
          .with("outcome", static_cast<std::uint64_t>(Outcome)));
  // An order with an unknown outcome is sent again: the platform accepts an
  // order that it has already executed.
  if (Outcome == MachineOutcome::Unknown)
    Found->second.MayBeExecuted_ = true;
  if (Outcome != MachineOutcome::Unknown && Outcome != MachineOutcome::NotDone)
    finishMove(Name, Outcome == MachineOutcome::Accepted);
}

void MachineMoveManager::finishMove(const std::string &Name, bool IsMoved) {
  if (WorkerSession *Session = Pool_.session(Moves_[Name].Lifetime_)) {
    Session->IsListed_ = Session->IsListed_ && !IsMoved;
    Session->IsMovingToOtherPool_ = IsMoved;
  }
  Moves_.erase(Name);
  OrderTracker_.onOrderFinished(Name);
  Pool_.NeedsDispatch_ = true;
}

void MachineMoveManager::reserveWorker(const std::string &Machine) {
  WorkerSession *Session = Pool_.sessionOn(Machine);
  if (Session == nullptr)
    return;
  Session->IsMovingToOtherPool_ = true;
  ReservedLifetimes_[Machine] = Session->entry().lifetime();
}

void MachineMoveManager::releaseWorker(const std::string &Machine) {
  auto Found = ReservedLifetimes_.find(Machine);
  if (Found == ReservedLifetimes_.end())
    return;
  if (WorkerSession *Session = Pool_.session(Found->second))
    Session->IsMovingToOtherPool_ = false;
  ReservedLifetimes_.erase(Found);
  Pool_.NeedsDispatch_ = true;
}

} // namespace dragonflylock
