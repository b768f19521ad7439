#include "global/ilogger.h"
#include "global/logevent.h"
#include "scheduling/istore.h"
#include "scheduling/poolleasemanager.h"

#include <algorithm>
#include <functional>

namespace dragonflylock {
namespace {

/// Renewals within one lease, so that two may be lost.
constexpr int RenewalsPerLease = 3;
constexpr std::chrono::milliseconds RetryPause{150};
/// Spread of the nodes' first attempts, and the handicap of a node for each
/// pool that it owns already, so that pools spread over the nodes.
constexpr std::uint64_t AttemptSpread = 400;
constexpr std::chrono::milliseconds OwnedHandicap{400};
/// Handicap of a node that has half of the processor of the largest one. It
/// grows with the ratio, up to what a large node with three pools waits.
constexpr std::chrono::milliseconds SizeHandicap{300};
constexpr std::chrono::milliseconds MostSizeHandicap{1200};
/// Size handicaps between two attempts that the store has not carried out. All
/// nodes try again while it is away, and the first one after it wins.
constexpr int HandicapsOfRetry = 4;
/// Handicap for each lease on the pool that this node could not renew in time:
/// others are likely to have more processor time for it.
constexpr std::chrono::milliseconds LateHandicap{1000};
constexpr std::uint32_t MostLateHandicaps = 4;
/// Renewals after which a node has shown that it can hold the pool.
constexpr std::uint32_t ProvenRenewals = 10;

std::chrono::microseconds microseconds(TimePoint::duration Time) {
  return std::chrono::duration_cast<std::chrono::microseconds>(Time);
}

} // namespace

PoolLeaseManager::PoolLeaseManager(const SchedulingSettings &Settings,
                                   std::string Process, IStore &Store,
                                   const IClock &Clock, ILogger &Logger,
                                   Won OnWon, Renewed OnRenewed, Lost OnLost)
    : Settings_(Settings), Process_(std::move(Process)), Store_(Store),
      Clock_(Clock), Logger_(Logger), OnWon_(std::move(OnWon)),
      OnRenewed_(std::move(OnRenewed)), OnLost_(std::move(OnLost)) {}

void PoolLeaseManager::setPools(const std::vector<std::string> &Pools) {
  Pools_ = Pools;
  for (const std::string &Pool : Pools) {
    auto [Place, IsNew] = Leases_.try_emplace(Pool);
    if (IsNew)
      Place->second.SeenAt_ = Clock_.now();
  }
}

void PoolLeaseManager::adopt(PoolLease &Lease, const StoreRow &Row) {
  if (Row.Version_ <= Lease.Version_)
    return;
  Lease.Version_ = Row.Version_;
  Lease.SeenAt_ = Clock_.now();
  Lease.FreeSince_ = TimePoint();
  auto Read = controlrows::decodeOwner(Row.Value_);
  if (Read)
    Lease.Row_ = *Read;
  else
    Logger_.write(LogLevel::Error,
                  LogEvent("owner-row.unreadable").with("row", Row.Name_.Key_));
}

void PoolLeaseManager::onRow(const std::string &Pool, const StoreRow &Row) {
  PoolLease &Lease = Leases_[Pool];
  if (Lease.IsBusy_ && Lease.IsMine_)
    return; // The answer to the renewal tells what became of it.
  adopt(Lease, Row);
  bool IsOthers = Lease.Row_.Process_ != Process_;
  if (Lease.IsMine_ && IsOthers)
    lose(Pool, Lease, "taken-over");
}

bool PoolLeaseManager::wasRefused(const PoolLease &Lease) {
  return Lease.RenewalOutcome_ == StoreOutcome::NotDone;
}

bool PoolLeaseManager::isFree(const PoolLease &Lease) const {
  if (Lease.Version_ == 0)
    return IsLoaded_;
  // An earlier process of this node is gone for certain. A lease that this one
  // lost by itself is left to others; one that the store refused is not, nor
  // one that it has won without knowing.
  bool IsOwn = Lease.Row_.Holder_ == Settings_.Node_ && !Lease.IsMine_ &&
               (Lease.Row_.Process_ != Process_ || wasRefused(Lease) ||
                Lease.UnansweredSince_);
  if (Lease.Row_.Holder_.empty() || IsOwn)
    return true;
  return Clock_.now() >=
         Lease.SeenAt_ + Settings_.OwnerLease_ + Settings_.LeaseMargin_;
}

std::chrono::milliseconds
PoolLeaseManager::attemptDelay(const std::string &Pool,
                               const PoolLease &Lease) const {
  std::uint64_t Hash = std::hash<std::string>()(Settings_.Node_ + "/" + Pool);
  return std::chrono::milliseconds(Hash % AttemptSpread) +
         OwnedHandicap * static_cast<std::int64_t>(engaged()) + sizeHandicap() +
         LateHandicap * std::min(Lease.LateRenewals_, MostLateHandicaps);
}

std::chrono::milliseconds PoolLeaseManager::sizeHandicap() const {
  double Largest = Settings_.Cores_;
  for (const auto &[Node, Row] : Nodes_)
    Largest = std::max(Largest, Row.Cores_);
  if (Settings_.Cores_ <= 0)
    return MostSizeHandicap;
  double Ratio = Largest / Settings_.Cores_ - 1;
  return std::min(MostSizeHandicap,
                  std::chrono::duration_cast<std::chrono::milliseconds>(
                      SizeHandicap * Ratio));
}

bool PoolLeaseManager::tellSize() {
  const NodeRow Own{Settings_.Cores_};
  auto Known = Nodes_.find(Settings_.Node_);
  if (Known != Nodes_.end() && Known->second == Own)
    return true;
  if (!IsLoaded_ || IsTelling_ || Clock_.now() < NextTelling_)
    return false;
  IsTelling_ = true;
  StoreTransaction Wanted;
  Wanted.Puts_ = {
      {controlrows::node(Settings_.Node_), controlrows::encode(Own)}};
  Store_.transact(std::move(Wanted), [Weak = weak_from_this(),
                                      Own](const StoreTransactionResult &End) {
    auto Self = Weak.lock();
    if (!Self)
      return;
    Self->IsTelling_ = false;
    Self->NextTelling_ = Self->Clock_.now() + RetryPause;
    if (End.Outcome_ == StoreOutcome::Done)
      Self->Nodes_[Self->Settings_.Node_] = Own;
  });
  return false;
}

void PoolLeaseManager::tick() {
  const TimePoint Now = Clock_.now();
  const bool IsSizeKnown = tellSize();
  for (const std::string &Pool : Pools_) {
    PoolLease &Lease = Leases_[Pool];
    if (Lease.IsMine_ && Now >= Lease.LeaseEnd_)
      endLease(Pool, Lease);
    if (Lease.IsBusy_ || IsReleasing_)
      continue;
    if (Lease.IsMine_) {
      if (Now >= Lease.NextRenewal_)
        renew(Pool, Lease);
      continue;
    }
    if (!IsCurrent_ || !IsSizeKnown || !isFree(Lease)) {
      Lease.FreeSince_ = TimePoint();
      continue;
    }
    if (Lease.FreeSince_ == TimePoint())
      Lease.FreeSince_ = Now;
    const TimePoint Due = std::max(
        Lease.NextAttempt_, Lease.FreeSince_ + attemptDelay(Pool, Lease));
    if (Now >= Due && !isTrying())
      tryToWin(Pool, Lease);
  }
}

StoreTransaction PoolLeaseManager::writeOf(const std::string &Pool,
                                           const PoolLease &Lease,
                                           const OwnerRow &Row) const {
  StoreTransaction Wanted;
  Wanted.Expected_ = {{controlrows::owner(Pool), Lease.Version_}};
  Wanted.Puts_ = {{controlrows::owner(Pool), controlrows::encode(Row)}};
  return Wanted;
}

std::optional<TimePoint>
PoolLeaseManager::endOfOwner(const PoolLease &Lease) const {
  if (Lease.Version_ == 0 || Lease.Row_.Holder_ == Settings_.Node_)
    return std::nullopt;
  if (Lease.Row_.Holder_.empty())
    return Lease.SeenAt_;
  return std::min(Clock_.now(), Lease.SeenAt_ + Settings_.OwnerLease_);
}

void PoolLeaseManager::tryToWin(const std::string &Pool, PoolLease &Lease) {
  OwnerRow Sought;
  Sought.Holder_ = Settings_.Node_;
  Sought.Process_ = Process_;
  bool HadOwner = Lease.Version_ > 0;
  Sought.Predecessors_ = HadOwner ? Lease.Row_.Predecessors_ + 1 : 0;
  Lease.PredecessorEnd_ = endOfOwner(Lease);
  Lease.IsBusy_ = true;
  Store_.transact(writeOf(Pool, Lease, Sought),
                  [Weak = weak_from_this(), Pool, Sought,
                   Sent = Clock_.now()](const StoreTransactionResult &End) {
                    if (auto Self = Weak.lock())
                      Self->onAttempt(Pool, Sent, Sought, End);
                  });
}

void PoolLeaseManager::onAttempt(const std::string &Pool, TimePoint Sent,
                                 const OwnerRow &Sought,
                                 const StoreTransactionResult &End) {
  PoolLease &Lease = Leases_[Pool];
  Lease.IsBusy_ = false;
  Lease.NextAttempt_ = Clock_.now() + RetryPause;
  if (End.Outcome_ == StoreOutcome::Done) {
    Lease.Row_ = Sought;
    Lease.Version_ = End.Version_;
    if (IsReleasing_) {
      release(Pool, Lease);
      return;
    }
    begin(Pool, Lease, Sent, End.Version_);
    return;
  }
  if (End.Outcome_ != StoreOutcome::ConditionFailed)
    Lease.NextAttempt_ += sizeHandicap() * HandicapsOfRetry;
  if (End.Outcome_ == StoreOutcome::Unknown && !Lease.UnansweredSince_)
    Lease.UnansweredSince_ = Sent;
  if (End.Outcome_ != StoreOutcome::ConditionFailed || End.Current_.empty())
    return;
  adopt(Lease, End.Current_.front());
  // An earlier attempt of this process, whose answer was lost, has won. Others
  // count its lease from then; where that is over, the next attempt wins anew.
  bool HasWon = !IsReleasing_ && Lease.Row_.Process_ == Process_ &&
                Lease.Row_.Renewals_ == 0 && Lease.UnansweredSince_ &&
                Clock_.now() < *Lease.UnansweredSince_ + Settings_.OwnerLease_;
  if (HasWon)
    begin(Pool, Lease, *Lease.UnansweredSince_, Lease.Version_);
}

void PoolLeaseManager::begin(const std::string &Pool, PoolLease &Lease,
                             TimePoint Sent, StoreVersion Token) {
  Lease.IsMine_ = true;
  Lease.Token_ = Token;
  Lease.RenewalsMade_ = 0;
  Lease.RenewalOutcome_.reset();
  Lease.UnansweredSince_.reset();
  Lease.SeenAt_ = Clock_.now();
  Lease.LeaseEnd_ = Sent + Settings_.OwnerLease_;
  Lease.NextRenewal_ = Sent + Settings_.OwnerLease_ / RenewalsPerLease;
  Logger_.write(LogLevel::Info,
                LogEvent("pool.won")
                    .with("pool", Pool)
                    .with("token", Token)
                    .with("predecessors", Lease.Row_.Predecessors_));
  // Others that have tried as long have their turn first.
  for (auto &[Other, Each] : Leases_)
    if (!Each.IsMine_)
      Each.NextAttempt_ =
          std::max(Each.NextAttempt_, Clock_.now() + OwnedHandicap);
  OnWon_({Pool, Token, Lease.Row_.Predecessors_, Lease.LeaseEnd_,
          Lease.PredecessorEnd_});
}

void PoolLeaseManager::renew(const std::string &Pool, PoolLease &Lease) {
  OwnerRow Next = Lease.Row_;
  Next.Token_ = Lease.Token_;
  ++Next.Renewals_;
  Lease.IsBusy_ = true;
  Lease.RenewalSent_ = Clock_.now();
  Store_.transact(writeOf(Pool, Lease, Next),
                  [Weak = weak_from_this(), Pool, Next,
                   Sent = Clock_.now()](const StoreTransactionResult &End) {
                    if (auto Self = Weak.lock())
                      Self->onRenewal(Pool, Sent, Next, End);
                  });
}

void PoolLeaseManager::onRenewal(const std::string &Pool, TimePoint Sent,
                                 const OwnerRow &Next,
                                 const StoreTransactionResult &End) {
  PoolLease &Lease = Leases_[Pool];
  Lease.IsBusy_ = false;
  Lease.RenewalOutcome_ = End.Outcome_;
  logRenewal(Pool, Lease, End.Outcome_);
  if (!Lease.IsMine_) {
    if (IsReleasing_ && End.Outcome_ == StoreOutcome::Done) {
      Lease.Row_ = Next;
      Lease.Version_ = End.Version_;
    }
    if (IsReleasing_)
      release(Pool, Lease);
    return;
  }
  if (End.Outcome_ == StoreOutcome::Done) {
    Lease.Row_ = Next;
    Lease.Version_ = End.Version_;
    Lease.SeenAt_ = Clock_.now();
    Lease.LeaseEnd_ = Sent + Settings_.OwnerLease_;
    Lease.NextRenewal_ = Sent + Settings_.OwnerLease_ / RenewalsPerLease;
    if (++Lease.RenewalsMade_ >= ProvenRenewals)
      Lease.LateRenewals_ = 0;
    OnRenewed_(Pool, Lease.LeaseEnd_);
    return;
  }
  Lease.NextRenewal_ = Clock_.now() + RetryPause;
  if (End.Outcome_ != StoreOutcome::ConditionFailed)
    return;
  // The row of an earlier renewal whose answer was lost counts as ours; its
  // lease is not extended, since it is not known when it was written.
  if (!End.Current_.empty())
    adopt(Lease, End.Current_.front());
  if (End.Current_.empty() || Lease.Row_.Process_ != Process_)
    lose(Pool, Lease, "taken-over");
  else
    Lease.NextRenewal_ = Clock_.now();
}

void PoolLeaseManager::logRenewal(const std::string &Pool,
                                  const PoolLease &Lease,
                                  StoreOutcome Outcome) {
  auto Took = Clock_.now() - Lease.RenewalSent_;
  if (Outcome == StoreOutcome::Done && Took < Settings_.OwnerLease_ / 10)
    return;
  Logger_.write(
      LogLevel::Warning,
      LogEvent("pool.renewal-late")
          .with("pool", Pool)
          .with("token", Lease.Token_)
          .with("outcome", nameOf(Outcome))
          .with("took", microseconds(Took))
          .with("lease-left", microseconds(Lease.LeaseEnd_ - Clock_.now())));
}

void PoolLeaseManager::endLease(const std::string &Pool, PoolLease &Lease) {
  if (!wasRefused(Lease))
    ++Lease.LateRenewals_;
  lose(Pool, Lease, "lease-ended");
  Lease.NextAttempt_ = Clock_.now();
}

void PoolLeaseManager::lose(const std::string &Pool, PoolLease &Lease,
                            const char *Cause) {
  Lease.IsMine_ = false;
  Lease.NextAttempt_ = Clock_.now() + Settings_.OwnerLease_;
  const char *Renewal = "none";
  if (Lease.IsBusy_)
    Renewal = "under-way";
  else if (Lease.RenewalOutcome_)
    Renewal = nameOf(*Lease.RenewalOutcome_);
  Logger_.write(LogLevel::Warning,
                LogEvent("pool.lost")
                    .with("pool", Pool)
                    .with("token", Lease.Token_)
                    .with("cause", Cause)
                    .with("renewal", Renewal)
                    .with("renewal-sent-before",
                          microseconds(Clock_.now() - Lease.RenewalSent_)));
  OnLost_(Pool);
}

void PoolLeaseManager::releaseAll() {
  IsReleasing_ = true;
  for (auto &[Pool, Lease] : Leases_) {
    if (!Lease.IsMine_)
      continue;
    lose(Pool, Lease, "released");
    // A renewal that is under way changes the row first.
    if (!Lease.IsBusy_)
      release(Pool, Lease);
  }
}

void PoolLeaseManager::release(const std::string &Pool,
                               const PoolLease &Lease) {
  OwnerRow Next = Lease.Row_;
  Next.Holder_.clear();
  ++Next.Renewals_;
  // A row that stays as it is is taken over when its lease has ended.
  Store_.transact(writeOf(Pool, Lease, Next),
                  [](const StoreTransactionResult &) {});
}

std::optional<FencingToken>
PoolLeaseManager::currentToken(const std::string &Pool) const {
  auto Found = Leases_.find(Pool);
  if (Found == Leases_.end() || Found->second.Version_ == 0 ||
      isFree(Found->second))
    return std::nullopt;
  const PoolLease &Lease = Found->second;
  if (Lease.IsMine_)
    return Lease.Token_;
  // The row that begins a tenure has its own version as the token.
  return Lease.Row_.Token_ > 0 ? Lease.Row_.Token_ : Lease.Version_;
}

bool PoolLeaseManager::isTrying() const {
  return std::any_of(Leases_.begin(), Leases_.end(), [](const auto &Each) {
    return Each.second.IsBusy_ && !Each.second.IsMine_;
  });
}

std::size_t PoolLeaseManager::engaged() const {
  return static_cast<std::size_t>(
      std::count_if(Leases_.begin(), Leases_.end(), [](const auto &Each) {
        return Each.second.IsMine_ || Each.second.IsBusy_;
      }));
}

} // namespace dragonflylock
