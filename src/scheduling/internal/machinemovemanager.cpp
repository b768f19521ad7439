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

} // namespace

MachineMoveManager::MachineMoveManager(PoolState &Pool,
                                       IMachineControl &Machines,
                                       MachineListCache &List,
                                       MachineOrderTracker &OrderTracker,
                                       DemandTracker &Demands)
    : Pool_(Pool), Machines_(Machines), MachineList_(List),
      OrderTracker_(OrderTracker), Demands_(Demands),
      Planner_(Pool.Settings_.MoveTime_) {}

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
  if (Pool_.Pool_ != Spare)
    publishDemand(Load);
  reassignMachines(Load);
}

std::string MachineMoveManager::sparePool() const {
  for (const SchedulingPool &Each : Pool_.Configuration_->Pools_)
    if (Each.IsSpare_)
      return Each.Name_;
  return {};
}

void MachineMoveManager::publishDemand(const PoolLoad &Load) {
  const std::uint32_t Missing = Planner_.missingMachines(Load);
  Pool_.LacksMachines_ = Missing > 0;
  if (IsWriting_)
    return;
  DemandRow Next = Demands_.demandOf(Pool_.Pool_).Row_;
  removeArrived(Next);
  if (Next.Home_ == 0)
    recordHomeMachines(Next, Load.Machines_);
  auto Incoming = static_cast<std::uint32_t>(Next.Coming_.size());
  Next.Missing_ = Missing > Incoming ? Missing - Incoming : 0;
  if (Next != Demands_.demandOf(Pool_.Pool_).Row_)
    storeDemand(Next);
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
}

void MachineMoveManager::trackCondition(std::optional<TimePoint> &Since,
                                        bool IsTrue) const {
  if (!IsTrue)
    Since.reset();
  else if (!Since)
    Since = Pool_.Clock_.now();
}

void MachineMoveManager::grantSpareMachines(const std::string &To) {
  if (To.empty())
    return;
  MachineList_.refresh(ListInterval);
  // Nobody reads the list while there is no demand.
  if (!MachineList_.isCurrentSince(Pool_.Clock_.now() - MaxListAge))
    return;
  std::vector<std::string> Names;
  for (const auto &[Name, Each] : MachineList_.machines())
    if (Each.Pool_ == Pool_.Pool_ && Each.State_ == MachineState::Up)
      Names.push_back(Name);
  grant(To, std::move(Names));
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

bool MachineMoveManager::mayOrder(const std::string &Name) const {
  // In other pools than the spare pool, a worker that responds shows that its
  // machine is in the pool now.
  bool IsSpare = Pool_.Pool_ == sparePool();
  TimePoint ListedAt = IsSpare ? MachineList_.listedAt() : Pool_.Clock_.now();
  return !Moves_.contains(Name) &&
         OrderTracker_.mayOrder(Name, Pool_.Settings_.OwnerLease_, ListedAt);
}

void MachineMoveManager::grant(const std::string &To,
                               std::vector<std::string> Names) {
  std::erase_if(Names,
                [this](const std::string &Name) { return !mayOrder(Name); });
  DemandRow Row = Demands_.demandOf(To).Row_;
  bool IsRequested = To != sparePool();
  std::size_t Limit = IsRequested ? Row.Missing_ : MaxGrantMachines;
  Names.resize(std::min({Names.size(), Limit, MaxGrantMachines}));
  if (Names.empty())
    return;
  StoreTransaction Transaction;
  if (IsRequested) {
    Row.Missing_ -= static_cast<std::uint32_t>(Names.size());
    Row.Coming_.insert(Names.begin(), Names.end());
    Transaction.Expected_.push_back(
        {controlrows::demand(To), Demands_.demandOf(To).Version_});
    Transaction.Puts_.push_back(
        {controlrows::demand(To), controlrows::encode(Row)});
  }
  for (const std::string &Name : Names) {
    OrderTracker_.announce(Name, Transaction);
    reserveWorker(Name);
  }
  IsGranting_ = true;
  Pool_.Store_.transact(
      std::move(Transaction),
      [Weak = weak_from_this(), To, Row, Names,
       Sent = Pool_.Clock_.now()](const StoreTransactionResult &End) {
        if (auto Self = Weak.lock())
          Self->onGrantStored(To, Row, Sent, Names, End);
      });
}

void MachineMoveManager::onGrantFailed(const std::string &To,
                                       const std::vector<std::string> &Names,
                                       const StoreTransactionResult &End) {
  for (const std::string &Name : Names) {
    releaseWorker(Name);
    OrderTracker_.onOrderSkipped(Name);
  }
  for (const StoreRow &Current : End.Current_) {
    if (Current.Name_ == controlrows::demand(To))
      Demands_.onRow(To, Current);
    for (const std::string &Name : Names)
      if (Current.Name_ == controlrows::machine(Name))
        OrderTracker_.onRow(Name, Current);
  }
}

void MachineMoveManager::onGrantStored(const std::string &To,
                                       const DemandRow &Row, TimePoint Sent,
                                       const std::vector<std::string> &Names,
                                       const StoreTransactionResult &End) {
  IsGranting_ = false;
  NextGrant_ = Pool_.Clock_.now() + GrantDelay;
  if (End.Outcome_ != StoreOutcome::Done) {
    onGrantFailed(To, Names, End);
    return;
  }
  if (To != sparePool())
    Demands_.onStored(To, Row, End.Version_);
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
    Move.AnnouncedAt_ = Sent;
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
