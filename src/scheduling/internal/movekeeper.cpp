#include "scheduling/internal/movekeeper.h"
#include "global/ilogger.h"
#include "global/logevent.h"
#include "scheduling/demandboard.h"
#include "scheduling/imachinecontrol.h"
#include "scheduling/internal/loadmeter.h"
#include "scheduling/internal/machinelister.h"
#include "scheduling/internal/poolstate.h"
#include "scheduling/istore.h"
#include "scheduling/machineledger.h"

#include <algorithm>

namespace dragonflylock {
namespace {

/// Interval of measuring the pool's load.
constexpr std::chrono::milliseconds RoundInterval{100};
/// Pause after a grant that did not go through.
constexpr std::chrono::milliseconds RetryPause{150};
/// Pause between two orders to move the same machine.
constexpr std::chrono::milliseconds OrderPause{250};
/// Interval of reading the list of machines while a pool asks for some.
constexpr std::chrono::milliseconds ListInterval{400};
/// Time that the spare pool has to answer a demand before other pools do.
constexpr std::chrono::milliseconds SpareFirst{250};
/// Time beyond a move's own in which a machine must have arrived.
constexpr std::chrono::milliseconds ArrivalMargin{2000};
/// Time for which the number of machines must not change to be taken as the
/// pool's own.
constexpr std::chrono::milliseconds SteadyTime{1000};
/// Machines of one grant; a transaction takes 100 entries.
constexpr std::size_t LargestGrant = 20;

} // namespace

MoveKeeper::MoveKeeper(PoolState &Pool, IMachineControl &Machines,
                       MachineLister &List, MachineLedger &Ledger,
                       DemandBoard &Demands)
    : Pool_(Pool), Machines_(Machines), List_(List), Ledger_(Ledger),
      Demands_(Demands), Planner_(Pool.Settings_.MoveTime_) {}

void MoveKeeper::tick() {
  const TimePoint Now = Pool_.Clock_.now();
  std::string Spare = sparePool();
  if (Spare.empty() || Now < NextRound_ || !Pool_.mayAct())
    return;
  NextRound_ = Now + RoundInterval;
  noteIdleWorkers();
  repeatMoves();
  PoolLoad Load = measureLoad(Pool_);
  Load.Home_ = Demands_.of(Pool_.Pool_).Row_.Home_;
  Pool_.LacksMachines_ = false;
  if (Pool_.Pool_ != Spare)
    tellDemand(Load);
  give(Load);
}

std::string MoveKeeper::sparePool() const {
  for (const SchedulingPool &Each : Pool_.Configuration_->Pools_)
    if (Each.IsSpare_)
      return Each.Name_;
  return {};
}

void MoveKeeper::tellDemand(const PoolLoad &Load) {
  const std::uint32_t Missing = Planner_.missing(Load);
  Pool_.LacksMachines_ = Missing > 0;
  if (IsWriting_)
    return;
  DemandRow Next = Demands_.of(Pool_.Pool_).Row_;
  dropArrived(Next);
  if (Next.Home_ == 0)
    noteHome(Next, Load.Machines_);
  auto Coming = static_cast<std::uint32_t>(Next.Coming_.size());
  Next.Missing_ = Missing > Coming ? Missing - Coming : 0;
  if (Next != Demands_.of(Pool_.Pool_).Row_)
    store(Next);
}

void MoveKeeper::noteHome(DemandRow &Row, std::uint32_t Machines) {
  const TimePoint Now = Pool_.Clock_.now();
  if (Machines != LastMachines_)
    SteadySince_ = Now;
  LastMachines_ = Machines;
  if (Now >= SteadySince_ + SteadyTime)
    Row.Home_ = Machines;
}

void MoveKeeper::dropArrived(DemandRow &Row) {
  const TimePoint Now = Pool_.Clock_.now();
  std::erase_if(ComingSince_, [&](const auto &Each) {
    return !Row.Coming_.contains(Each.first);
  });
  std::erase_if(Row.Coming_, [&](const std::string &Name) {
    TimePoint Since = ComingSince_.try_emplace(Name, Now).first->second;
    bool IsOverdue = Now >= Since + Pool_.Settings_.MoveTime_ + ArrivalMargin;
    return IsOverdue || Pool_.sessionOn(Name) != nullptr;
  });
}

void MoveKeeper::store(const DemandRow &Row) {
  IsWriting_ = true;
  StoreTransaction Wanted;
  StoreKey Name = controlrows::demand(Pool_.Pool_);
  Wanted.Expected_ = {{Name, Demands_.of(Pool_.Pool_).Version_}};
  Wanted.Puts_ = {{Name, controlrows::encode(Row)}};
  Pool_.Store_.transact(
      std::move(Wanted),
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

bool MoveKeeper::isIdle(const WorkerSession &Session) const {
  return Session.IsListed_ && Session.IsFenced_ && !Session.isBeingEmptied() &&
         Session.entry().State_ == WorkerState::Ready &&
         Session.HoldFailures_ == 0 && Session.runs().empty() &&
         !Session.hasUnsettledEnds() &&
         Session.acknowledged() >= Session.acknowledgeable() &&
         !Session.entry().Machine_.empty();
}

void MoveKeeper::noteIdleWorkers() {
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
MoveKeeper::idleMachines(std::chrono::milliseconds Least) const {
  std::vector<std::string> Names;
  for (const auto &[Lifetime, Since] : IdleSince_) {
    const WorkerSession &Session = *Pool_.Sessions_.at(Lifetime);
    const std::string &Name = Session.entry().Machine_;
    if (Since + Least <= Pool_.Clock_.now() && isIdle(Session))
      Names.push_back(Name);
  }
  return Names;
}

void MoveKeeper::give(const PoolLoad &Load) {
  const TimePoint Now = Pool_.Clock_.now();
  std::string To = Demands_.neediest(Pool_.Pool_);
  noteSince(AskedSince_, !To.empty());
  noteSince(SurplusSince_, Load.Home_ > 0 && Planner_.surplus(Load) > 0);
  if (IsGranting_ || Now < NextGrant_)
    return;
  if (Pool_.Pool_ == sparePool())
    giveSpare(To);
  else if (AskedSince_ && Now >= *AskedSince_ + SpareFirst)
    lend(To, Load);
  else if (!AskedSince_ && SurplusSince_ &&
           Now >= *SurplusSince_ + Planner_.releaseAfter())
    release(Load);
}

void MoveKeeper::noteSince(std::optional<TimePoint> &Since, bool IsSo) const {
  if (!IsSo)
    Since.reset();
  else if (!Since)
    Since = Pool_.Clock_.now();
}

void MoveKeeper::giveSpare(const std::string &To) {
  if (To.empty())
    return;
  List_.refresh(ListInterval);
  std::vector<std::string> Names;
  for (const auto &[Name, Each] : List_.machines())
    if (Each.Pool_ == Pool_.Pool_ && Each.State_ == MachineState::Up)
      Names.push_back(Name);
  grant(To, std::move(Names));
}

void MoveKeeper::lend(const std::string &To, const PoolLoad &Load) {
  if (Load.Home_ == 0)
    return;
  auto Idle = idleMachines(std::chrono::milliseconds(0));
  Idle.resize(std::min<std::size_t>(Idle.size(), Planner_.surplus(Load)));
  grant(To, std::move(Idle));
}

void MoveKeeper::release(const PoolLoad &Load) {
  auto Idle = idleMachines(Planner_.releaseAfter());
  Idle.resize(std::min<std::size_t>(Idle.size(), Planner_.surplus(Load)));
  grant(sparePool(), std::move(Idle));
}

bool MoveKeeper::mayOrder(const std::string &Name) const {
  // A worker that answers shows that its machine is here now.
  bool IsSpare = Pool_.Pool_ == sparePool();
  TimePoint ListedAt = IsSpare ? List_.listedAt() : Pool_.Clock_.now();
  return !Moves_.contains(Name) &&
         Ledger_.mayOrder(Name, Pool_.Settings_.OwnerLease_, ListedAt);
}

void MoveKeeper::grant(const std::string &To, std::vector<std::string> Names) {
  std::erase_if(Names,
                [this](const std::string &Name) { return !mayOrder(Name); });
  DemandRow Row = Demands_.of(To).Row_;
  bool IsAsked = To != sparePool();
  std::size_t Most = IsAsked ? Row.Missing_ : LargestGrant;
  Names.resize(std::min({Names.size(), Most, LargestGrant}));
  if (Names.empty())
    return;
  StoreTransaction Wanted;
  if (IsAsked) {
    Row.Missing_ -= static_cast<std::uint32_t>(Names.size());
    Row.Coming_.insert(Names.begin(), Names.end());
    Wanted.Expected_.push_back(
        {controlrows::demand(To), Demands_.of(To).Version_});
    Wanted.Puts_.push_back({controlrows::demand(To), controlrows::encode(Row)});
  }
  for (const std::string &Name : Names) {
    Ledger_.announce(Name, Wanted);
    reserve(Name);
  }
  IsGranting_ = true;
  Pool_.Store_.transact(
      std::move(Wanted),
      [Weak = weak_from_this(), To, Row, Names,
       Sent = Pool_.Clock_.now()](const StoreTransactionResult &End) {
        if (auto Self = Weak.lock())
          Self->onGranted(To, Row, Sent, Names, End);
      });
}

void MoveKeeper::onRefused(const std::string &To,
                           const std::vector<std::string> &Names,
                           const StoreTransactionResult &End) {
  for (const std::string &Name : Names) {
    release(Name);
    Ledger_.onNotOrdered(Name);
  }
  for (const StoreRow &Current : End.Current_) {
    if (Current.Name_ == controlrows::demand(To))
      Demands_.onRow(To, Current);
    for (const std::string &Name : Names)
      if (Current.Name_ == controlrows::machine(Name))
        Ledger_.onRow(Name, Current);
  }
}

void MoveKeeper::onGranted(const std::string &To, const DemandRow &Row,
                           TimePoint Sent,
                           const std::vector<std::string> &Names,
                           const StoreTransactionResult &End) {
  IsGranting_ = false;
  NextGrant_ = Pool_.Clock_.now() + RetryPause;
  if (End.Outcome_ != StoreOutcome::Done) {
    onRefused(To, Names, End);
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
    Ledger_.onAnnounced(Name, End.Version_);
    Move &Each = Moves_[Name];
    Each.To_ = To;
    // The registry may not list the worker just now.
    Each.Lifetime_ = Reserved_[Name];
    Reserved_.erase(Name);
    Each.Token_ = End.Version_;
    Each.AnnouncedAt_ = Sent;
    send(Name, Each);
  }
}

void MoveKeeper::send(const std::string &Name, Move &Each) {
  const TimePoint Now = Pool_.Clock_.now();
  if (Each.IsBusy_ || Now < Each.LastTry_ + OrderPause ||
      Now >= Each.AnnouncedAt_ + MachineLedger::OrderWindow || !Pool_.mayAct())
    return;
  Each.IsBusy_ = true;
  Each.LastTry_ = Now;
  Machines_.move({Name, Pool_.Settings_.Node_, Each.Token_}, Each.To_,
                 [Weak = weak_from_this(), Name](MachineOutcome Outcome) {
                   if (auto Self = Weak.lock())
                     Self->onMoved(Name, Outcome);
                 });
}

bool MoveKeeper::isOver(const Move &Each) const {
  TimePoint End = Each.AnnouncedAt_ + MachineLedger::OrderWindow;
  // A machine that was moved without an answer leaves the registry soon.
  if (Each.MayBeDone_)
    End = Each.LastTry_ + Pool_.Settings_.MoveTime_ + ArrivalMargin;
  return !Each.IsBusy_ && Pool_.Clock_.now() >= End;
}

void MoveKeeper::repeatMoves() {
  std::vector<std::string> Names;
  for (const auto &[Name, Each] : Moves_)
    Names.push_back(Name);
  for (const std::string &Name : Names) {
    if (isOver(Moves_[Name]))
      endMove(Name, /*IsMoved=*/false);
    else
      send(Name, Moves_[Name]); // The answer may end the move.
  }
}

void MoveKeeper::onMoved(const std::string &Name, MachineOutcome Outcome) {
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
  // An order whose fate is not known is repeated: the platform accepts one
  // that it has carried out already.
  if (Outcome == MachineOutcome::Unknown)
    Found->second.MayBeDone_ = true;
  if (Outcome != MachineOutcome::Unknown && Outcome != MachineOutcome::NotDone)
    endMove(Name, Outcome == MachineOutcome::Accepted);
}

void MoveKeeper::endMove(const std::string &Name, bool IsMoved) {
  if (WorkerSession *Session = Pool_.session(Moves_[Name].Lifetime_)) {
    Session->IsListed_ = Session->IsListed_ && !IsMoved;
    Session->IsMoving_ = IsMoved;
  }
  Moves_.erase(Name);
  Ledger_.onOrdered(Name);
  Pool_.NeedsDispatch_ = true;
}

void MoveKeeper::reserve(const std::string &Machine) {
  WorkerSession *Session = Pool_.sessionOn(Machine);
  if (Session == nullptr)
    return;
  Session->IsMoving_ = true;
  Reserved_[Machine] = Session->entry().lifetime();
}

void MoveKeeper::release(const std::string &Machine) {
  auto Found = Reserved_.find(Machine);
  if (Found == Reserved_.end())
    return;
  if (WorkerSession *Session = Pool_.session(Found->second))
    Session->IsMoving_ = false;
  Reserved_.erase(Found);
  Pool_.NeedsDispatch_ = true;
}

} // namespace dragonflylock
