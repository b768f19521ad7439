#include "scheduling/poolleasemanager.h"
#include "global/ilogger.h"
#include "global/logevent.h"
#include "scheduling/internal/takeoverrequests.h"
#include "scheduling/istore.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace dragonflylock {
namespace {

/// Number of renewals within one lease, so that two of them may be lost.
constexpr int RenewalsPerLease = 3;
constexpr std::chrono::milliseconds RetryDelay{150};
/// Range over which the first attempts of the nodes are spread.
constexpr std::uint64_t AttemptSpreadMs = 400;
/// Delay of a node's attempt for each pool that it already owns or tries to
/// acquire, so that pools spread over the nodes.
constexpr std::chrono::milliseconds OwnedPoolDelay{400};
/// Delay of a node that has half as many processor cores as the largest node.
/// It grows with the ratio up to MaxSizeDelay, the delay of a large node that
/// owns three pools.
constexpr std::chrono::milliseconds SizeDelayPerRatio{300};
constexpr std::chrono::milliseconds MaxSizeDelay{1200};
/// Multiple of the size delay that is added after an attempt that the store did
/// not confirm. All nodes retry while the store is unavailable, and the
/// first one to retry after it has recovered acquires the pool.
constexpr int SizeDelaysPerRetry = 4;
/// Delay for each lease on the pool that this node could not renew in time:
/// other nodes are likely to have more processor time for the pool.
constexpr std::chrono::milliseconds ExpiredLeaseDelay{1000};
constexpr std::uint32_t MaxCountedExpiries = 4;
/// Renewals after which a node has shown that it can hold the pool, and its
/// expired leases no longer count.
constexpr std::uint32_t StableOwnershipRenewals = 10;

/// How many times as much processor time another node must have for a pool
/// before the pool is handed over to it. Each change of owner delays the pool's
/// tasks.
constexpr double MinProcessorGain = 2.0;
/// How long a node has owned a pool before it is asked for it. Shortly after a
/// start the nodes acquire their pools one after the other.
constexpr std::chrono::milliseconds MinTermBeforeTakeover{1000};
/// Interval at which a node looks for pools that it could serve much faster.
/// The comparison goes over all pairs of pools.
constexpr std::chrono::milliseconds TakeoverCheckInterval{200};
/// Head start of the node for which a pool was released.
constexpr std::chrono::milliseconds SuccessorHeadStart{1000};

std::chrono::microseconds microseconds(TimePoint::duration Time) {
  return std::chrono::duration_cast<std::chrono::microseconds>(Time);
}

std::uint64_t milliCores(double Cores) {
  return static_cast<std::uint64_t>(Cores * 1000);
}

} // namespace

PoolLeaseManager::PoolLeaseManager(const SchedulingSettings &Settings,
                                   std::string Process, IStore &Store,
                                   const IClock &Clock, ILogger &Logger,
                                   AcquiredCallback OnAcquired,
                                   RenewedCallback OnRenewed,
                                   LostCallback OnLost)
    : Settings_(Settings), Process_(std::move(Process)), Store_(Store),
      Clock_(Clock), Logger_(Logger), OnAcquired_(std::move(OnAcquired)),
      OnRenewed_(std::move(OnRenewed)), OnLost_(std::move(OnLost)),
      Takeovers_(std::make_shared<TakeoverRequests>(Settings.Node_, Store,
                                                    Clock, Logger)) {}

void PoolLeaseManager::setPools(const std::vector<std::string> &Pools) {
  Pools_ = Pools;
  for (const std::string &Pool : Pools) {
    auto [Place, IsNew] = Leases_.try_emplace(Pool);
    if (IsNew)
      Place->second.VersionSeenAt_ = Clock_.now();
  }
}

void PoolLeaseManager::applyRow(PoolLease &Lease, const StoreRow &Row) {
  if (Row.Version_ <= Lease.Version_)
    return;
  Lease.VersionSeenAt_ = Clock_.now();
  Lease.FreeSince_ = TimePoint();
  auto Read = controlrows::decodeOwner(Row.Value_);
  const FencingToken EarlierToken = tokenOf(Lease);
  Lease.Version_ = Row.Version_;
  if (Read)
    Lease.Row_ = *Read;
  else
    Logger_.write(LogLevel::Error,
                  LogEvent("owner-row.unreadable").with("row", Row.Name_.Key_));
  if (tokenOf(Lease) != EarlierToken)
    Lease.TermSeenAt_ = Clock_.now();
}

void PoolLeaseManager::onOwnerRow(const std::string &Pool,
                                  const StoreRow &Row) {
  PoolLease &Lease = Leases_[Pool];
  if (Lease.HasWriteInFlight_ && Lease.IsOwned_)
    return; // The response to the renewal shows the state of the row.
  applyRow(Lease, Row);
  bool IsOwnedByOther = Lease.Row_.Process_ != Process_;
  if (Lease.IsOwned_ && IsOwnedByOther)
    loseLease(Pool, Lease, "taken-over");
}

void PoolLeaseManager::onTakeoverRow(const std::string &Pool,
                                     const StoreRow &Row) {
  Takeovers_->onRow(Pool, Row);
}

bool PoolLeaseManager::wasRenewalRefused(const PoolLease &Lease) {
  return Lease.RenewalOutcome_ == StoreOutcome::NotDone;
}

bool PoolLeaseManager::isFree(const PoolLease &Lease) const {
  if (Lease.Version_ == 0)
    return IsLoaded_;
  // An earlier process of this node has certainly ended, so its lease is free.
  // A lease that this process failed to renew in time is left to other nodes,
  // unless the store refused the renewal or an attempt without a response may
  // have acquired it.
  bool IsOwn = Lease.Row_.Holder_ == Settings_.Node_ && !Lease.IsOwned_ &&
               (Lease.Row_.Process_ != Process_ || wasRenewalRefused(Lease) ||
                Lease.UnansweredSince_);
  if (Lease.Row_.Holder_.empty() || IsOwn)
    return true;
  return Clock_.now() >=
         Lease.VersionSeenAt_ + Settings_.OwnerLease_ + Settings_.LeaseMargin_;
}

std::chrono::milliseconds
PoolLeaseManager::attemptDelay(const std::string &Pool,
                               const PoolLease &Lease) const {
  if (Lease.Row_.Successor_ == Settings_.Node_)
    return std::chrono::milliseconds(0);
  std::uint64_t Hash = std::hash<std::string>()(Settings_.Node_ + "/" + Pool);
  const auto HeadStart = Lease.Row_.Successor_.empty()
                             ? std::chrono::milliseconds(0)
                             : SuccessorHeadStart;
  return HeadStart + std::chrono::milliseconds(Hash % AttemptSpreadMs) +
         OwnedPoolDelay * static_cast<std::int64_t>(ownedOrPendingCount()) +
         sizeDelay() +
         ExpiredLeaseDelay * std::min(Lease.ExpiredLeases_, MaxCountedExpiries);
}

double PoolLeaseManager::largestNodeCores() const {
  double Largest = Settings_.Cores_;
  for (const auto &[Node, Row] : Nodes_)
    Largest = std::max(Largest, Row.Cores_);
  return Largest;
}

std::chrono::milliseconds PoolLeaseManager::sizeDelay() const {
  if (Settings_.Cores_ <= 0)
    return MaxSizeDelay;
  double Ratio = largestNodeCores() / Settings_.Cores_ - 1;
  return std::min(MaxSizeDelay,
                  std::chrono::duration_cast<std::chrono::milliseconds>(
                      SizeDelayPerRatio * Ratio));
}

bool PoolLeaseManager::publishNodeSize() {
  const NodeRow Own{Settings_.Cores_};
  auto Known = Nodes_.find(Settings_.Node_);
  if (Known != Nodes_.end() && Known->second == Own)
    return true;
  if (!IsLoaded_ || IsPublishingSize_ || Clock_.now() < NextSizePublication_)
    return false;
  IsPublishingSize_ = true;
  StoreTransaction Transaction;
  Transaction.Puts_ = {
      {controlrows::node(Settings_.Node_), controlrows::encode(Own)}};
  Store_.transact(
      std::move(Transaction),
      [Weak = weak_from_this(), Own](const StoreTransactionResult &Result) {
        auto Self = Weak.lock();
        if (!Self)
          return;
        Self->IsPublishingSize_ = false;
        Self->NextSizePublication_ = Self->Clock_.now() + RetryDelay;
        if (Result.Outcome_ == StoreOutcome::Done)
          Self->Nodes_[Self->Settings_.Node_] = Own;
      });
  return false;
}

void PoolLeaseManager::tick() {
  const TimePoint Now = Clock_.now();
  const bool IsSizePublished = publishNodeSize();
  const bool LooksForPools = Now >= NextTakeoverCheck_;
  if (LooksForPools)
    NextTakeoverCheck_ = Now + TakeoverCheckInterval;
  for (const std::string &Pool : Pools_) {
    PoolLease &Lease = Leases_[Pool];
    if (Lease.IsOwned_ && Now >= Lease.LeaseEnd_)
      expireLease(Pool, Lease);
    if (Lease.HasWriteInFlight_ || IsReleasing_)
      continue;
    if (Lease.IsOwned_) {
      if (!handOverOnRequest(Pool, Lease) && Now >= Lease.NextRenewal_)
        renew(Pool, Lease);
      continue;
    }
    const bool MayActOnView = IsViewCurrent_ && IsSizePublished;
    if (!MayActOnView || !isFree(Lease)) {
      Lease.FreeSince_ = TimePoint();
      if (MayActOnView && LooksForPools)
        requestTakeover(Pool, Lease);
      continue;
    }
    if (Lease.FreeSince_ == TimePoint())
      Lease.FreeSince_ = Now;
    const TimePoint Due = std::max(
        Lease.NextAttempt_, Lease.FreeSince_ + attemptDelay(Pool, Lease));
    if (Now >= Due && !hasAttemptInFlight())
      tryAcquire(Pool, Lease);
  }
}

std::size_t PoolLeaseManager::poolsOf(const std::string &Node) const {
  return static_cast<std::size_t>(
      std::count_if(Leases_.begin(), Leases_.end(), [&](const auto &Each) {
        return Each.second.Row_.Holder_ == Node && !isFree(Each.second);
      }));
}

bool PoolLeaseManager::couldServeFaster(const std::string &Node,
                                        const std::string &Owner) const {
  auto Larger = Nodes_.find(Node);
  auto Smaller = Nodes_.find(Owner);
  if (Larger == Nodes_.end() || Smaller == Nodes_.end())
    return false;
  const std::size_t Pools =
      Node == Settings_.Node_ ? ownedOrPendingCount() : poolsOf(Node);
  const double Offered = Larger->second.Cores_ / static_cast<double>(Pools + 1);
  const double Current =
      Smaller->second.Cores_ /
      static_cast<double>(std::max<std::size_t>(poolsOf(Owner), 1));
  return Offered > Current * MinProcessorGain;
}

void PoolLeaseManager::requestTakeover(const std::string &Pool,
                                       const PoolLease &Lease) {
  const TimePoint Due = Lease.TermSeenAt_ + MinTermBeforeTakeover;
  if (Clock_.now() < Due + attemptDelay(Pool, Lease) ||
      !couldServeFaster(Settings_.Node_, Lease.Row_.Holder_))
    return;
  Takeovers_->request(Pool, tokenOf(Lease));
}

bool PoolLeaseManager::handOverOnRequest(const std::string &Pool,
                                         PoolLease &Lease) {
  auto Requester = Takeovers_->requesterOf(Pool, Lease.Token_);
  if (!Requester || !couldServeFaster(*Requester, Settings_.Node_))
    return false;
  stopOwning(Pool, Lease, "handed-over");
  release(Pool, Lease, *Requester);
  return true;
}

StoreTransaction PoolLeaseManager::makeOwnerUpdate(const std::string &Pool,
                                                   const PoolLease &Lease,
                                                   const OwnerRow &Row) const {
  StoreTransaction Transaction;
  Transaction.Expected_ = {{controlrows::owner(Pool), Lease.Version_}};
  Transaction.Puts_ = {{controlrows::owner(Pool), controlrows::encode(Row)}};
  return Transaction;
}

std::optional<TimePoint>
PoolLeaseManager::previousOwnerEnd(const PoolLease &Lease) const {
  if (Lease.Version_ == 0 || Lease.Row_.Holder_ == Settings_.Node_)
    return std::nullopt;
  if (Lease.Row_.Holder_.empty())
    return Lease.VersionSeenAt_;
  return std::min(Clock_.now(), Lease.VersionSeenAt_ + Settings_.OwnerLease_);
}

void PoolLeaseManager::tryAcquire(const std::string &Pool, PoolLease &Lease) {
  OwnerRow NewRow;
  NewRow.Holder_ = Settings_.Node_;
  NewRow.Process_ = Process_;
  bool HadOwner = Lease.Version_ > 0;
  NewRow.RunNumberRange_ = HadOwner ? Lease.Row_.RunNumberRange_ + 1 : 0;
  Lease.PredecessorEnd_ = previousOwnerEnd(Lease);
  Lease.PredecessorToken_ = HadOwner ? tokenOf(Lease) : 0;
  Lease.HasWriteInFlight_ = true;
  Store_.transact(makeOwnerUpdate(Pool, Lease, NewRow),
                  [Weak = weak_from_this(), Pool, NewRow,
                   Sent = Clock_.now()](const StoreTransactionResult &Result) {
                    if (auto Self = Weak.lock())
                      Self->onAcquireResult(Pool, Sent, NewRow, Result);
                  });
}

void PoolLeaseManager::onAcquireResult(const std::string &Pool, TimePoint Sent,
                                       const OwnerRow &NewRow,
                                       const StoreTransactionResult &Result) {
  PoolLease &Lease = Leases_[Pool];
  Lease.HasWriteInFlight_ = false;
  Lease.NextAttempt_ = Clock_.now() + RetryDelay;
  if (Result.Outcome_ == StoreOutcome::Done) {
    Lease.Row_ = NewRow;
    Lease.Version_ = Result.Version_;
    if (IsReleasing_) {
      release(Pool, Lease);
      return;
    }
    beginOwnership(Pool, Lease, Sent, Result.Version_);
    return;
  }
  if (Result.Outcome_ != StoreOutcome::ConditionFailed)
    Lease.NextAttempt_ += sizeDelay() * SizeDelaysPerRetry;
  if (Result.Outcome_ == StoreOutcome::Unknown && !Lease.UnansweredSince_)
    Lease.UnansweredSince_ = Sent;
  if (Result.Outcome_ != StoreOutcome::ConditionFailed ||
      Result.Current_.empty())
    return;
  applyRow(Lease, Result.Current_.front());
  // An earlier attempt of this process, whose response was lost, has acquired
  // the pool. Other nodes count its lease from that attempt; if the lease has
  // expired, the next attempt acquires the pool anew.
  bool HasAcquired =
      !IsReleasing_ && Lease.Row_.Process_ == Process_ &&
      Lease.Row_.Renewals_ == 0 && Lease.UnansweredSince_ &&
      Clock_.now() < *Lease.UnansweredSince_ + Settings_.OwnerLease_;
  if (HasAcquired)
    beginOwnership(Pool, Lease, *Lease.UnansweredSince_, Lease.Version_);
}

void PoolLeaseManager::beginOwnership(const std::string &Pool, PoolLease &Lease,
                                      TimePoint Sent, StoreVersion Token) {
  Lease.IsOwned_ = true;
  Lease.Token_ = Token;
  Lease.RequestedRunNumberRange_ = Lease.Row_.RunNumberRange_;
  Lease.OwnershipRenewals_ = 0;
  Lease.RenewalOutcome_.reset();
  Lease.UnansweredSince_.reset();
  Lease.VersionSeenAt_ = Clock_.now();
  Lease.LeaseEnd_ = Sent + Settings_.OwnerLease_;
  Lease.NextRenewal_ = Sent + Settings_.OwnerLease_ / RenewalsPerLease;
  Logger_.write(
      LogLevel::Info,
      LogEvent("pool.won")
          .with("pool", Pool)
          .with("token", Token)
          .with("run-number-range", Lease.Row_.RunNumberRange_)
          .with("pools", std::uint64_t{ownedOrPendingCount()})
          .with("millicores", milliCores(Settings_.Cores_))
          .with("largest-millicores", milliCores(largestNodeCores())));
  // Delays this node's next attempts, so that other nodes that have tried for
  // as long go first.
  for (auto &[Other, Each] : Leases_)
    if (!Each.IsOwned_)
      Each.NextAttempt_ =
          std::max(Each.NextAttempt_, Clock_.now() + OwnedPoolDelay);
  OnAcquired_({Pool, Token, Lease.Row_.RunNumberRange_, Lease.LeaseEnd_,
               Lease.PredecessorEnd_, Lease.PredecessorToken_});
}

void PoolLeaseManager::reserveRunNumbers(const std::string &Pool,
                                         std::uint64_t Range) {
  PoolLease &Lease = Leases_[Pool];
  if (!Lease.IsOwned_ || Range <= Lease.RequestedRunNumberRange_)
    return;
  Lease.RequestedRunNumberRange_ = Range;
  Lease.NextRenewal_ = Clock_.now();
}

void PoolLeaseManager::renew(const std::string &Pool, PoolLease &Lease) {
  OwnerRow Next = Lease.Row_;
  Next.Token_ = Lease.Token_;
  Next.RunNumberRange_ =
      std::max(Next.RunNumberRange_, Lease.RequestedRunNumberRange_);
  ++Next.Renewals_;
  Lease.HasWriteInFlight_ = true;
  Lease.RenewalSent_ = Clock_.now();
  Store_.transact(makeOwnerUpdate(Pool, Lease, Next),
                  [Weak = weak_from_this(), Pool, Next,
                   Sent = Clock_.now()](const StoreTransactionResult &Result) {
                    if (auto Self = Weak.lock())
                      Self->onRenewal(Pool, Sent, Next, Result);
                  });
}

void PoolLeaseManager::onRenewal(const std::string &Pool, TimePoint Sent,
                                 const OwnerRow &Next,
                                 const StoreTransactionResult &Result) {
  PoolLease &Lease = Leases_[Pool];
  Lease.HasWriteInFlight_ = false;
  Lease.RenewalOutcome_ = Result.Outcome_;
  logRenewal(Pool, Lease, Result.Outcome_);
  if (!Lease.IsOwned_) {
    if (IsReleasing_ && Result.Outcome_ == StoreOutcome::Done) {
      Lease.Row_ = Next;
      Lease.Version_ = Result.Version_;
    }
    if (IsReleasing_)
      release(Pool, Lease);
    return;
  }
  if (Result.Outcome_ == StoreOutcome::Done) {
    Lease.Row_ = Next;
    Lease.Version_ = Result.Version_;
    Lease.VersionSeenAt_ = Clock_.now();
    Lease.LeaseEnd_ = Sent + Settings_.OwnerLease_;
    Lease.NextRenewal_ = Sent + Settings_.OwnerLease_ / RenewalsPerLease;
    if (Lease.RequestedRunNumberRange_ > Lease.Row_.RunNumberRange_)
      Lease.NextRenewal_ = Clock_.now(); // Requested while this one was sent.
    if (++Lease.OwnershipRenewals_ >= StableOwnershipRenewals)
      Lease.ExpiredLeases_ = 0;
    OnRenewed_(Pool, Lease.LeaseEnd_, Result.Version_,
               Lease.Row_.RunNumberRange_);
    return;
  }
  Lease.NextRenewal_ = Clock_.now() + RetryDelay;
  if (Result.Outcome_ != StoreOutcome::ConditionFailed)
    return;
  // If the row is that of an earlier renewal whose response was lost, this
  // process still owns the pool. The lease is not extended, because it is not
  // known when the row was written.
  if (!Result.Current_.empty())
    applyRow(Lease, Result.Current_.front());
  if (Result.Current_.empty() || Lease.Row_.Process_ != Process_)
    loseLease(Pool, Lease, "taken-over");
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

void PoolLeaseManager::expireLease(const std::string &Pool, PoolLease &Lease) {
  if (!wasRenewalRefused(Lease))
    ++Lease.ExpiredLeases_;
  loseLease(Pool, Lease, "lease-ended");
  Lease.NextAttempt_ = Clock_.now();
}

void PoolLeaseManager::loseLease(const std::string &Pool, PoolLease &Lease,
                                 const char *Cause) {
  Lease.IsOwned_ = false;
  Lease.NextAttempt_ = Clock_.now() + Settings_.OwnerLease_;
  const char *Renewal = "none";
  if (Lease.HasWriteInFlight_)
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
    if (!Lease.IsOwned_)
      continue;
    stopOwning(Pool, Lease, "released");
    // A renewal in flight changes the row first; onRenewal then releases it.
    if (!Lease.HasWriteInFlight_)
      release(Pool, Lease);
  }
}

void PoolLeaseManager::stopOwning(const std::string &Pool, PoolLease &Lease,
                                  const char *Cause) {
  if (OnReleasing_)
    Lease.RowsForRelease_ = OnReleasing_(Pool);
  loseLease(Pool, Lease, Cause);
}

void PoolLeaseManager::release(const std::string &Pool, PoolLease &Lease,
                               const std::string &Successor) {
  OwnerRow Next = Lease.Row_;
  Next.Token_ = tokenOf(Lease);
  Next.Holder_.clear();
  Next.Successor_ = Successor;
  ++Next.Renewals_;
  const StoreTransaction Release = makeOwnerUpdate(Pool, Lease, Next);
  // If this write fails, other nodes acquire the pool once its lease has
  // expired.
  auto IgnoreResult = [](const StoreTransactionResult &) {};
  if (Lease.RowsForRelease_.empty()) {
    Store_.transact(Release, IgnoreResult);
    return;
  }
  StoreTransaction WithRows = Release;
  for (StorePut &Row : std::exchange(Lease.RowsForRelease_, {}))
    WithRows.Puts_.push_back(std::move(Row));
  Store_.transact(
      std::move(WithRows), [Weak = weak_from_this(), Pool, Release,
                            IgnoreResult](const StoreTransactionResult &End) {
        auto Self = Weak.lock();
        if (!Self || End.Outcome_ == StoreOutcome::Done ||
            End.Outcome_ == StoreOutcome::ConditionFailed)
          return;
        Self->Logger_.write(LogLevel::Warning,
                            LogEvent("pool.release-retried")
                                .with("pool", Pool)
                                .with("outcome", nameOf(End.Outcome_)));
        Self->Store_.transact(Release, IgnoreResult);
      });
}

std::optional<FencingToken>
PoolLeaseManager::currentToken(const std::string &Pool) const {
  auto Found = Leases_.find(Pool);
  if (Found == Leases_.end() || Found->second.Version_ == 0 ||
      isFree(Found->second))
    return std::nullopt;
  const PoolLease &Lease = Found->second;
  return Lease.IsOwned_ ? Lease.Token_ : tokenOf(Lease);
}

FencingToken PoolLeaseManager::tokenOf(const PoolLease &Lease) {
  // In the first row of a term of ownership, the version of the row is the
  // token.
  return Lease.Row_.Token_ > 0 ? Lease.Row_.Token_ : Lease.Version_;
}

bool PoolLeaseManager::hasAttemptInFlight() const {
  return std::any_of(Leases_.begin(), Leases_.end(), [](const auto &Each) {
    return Each.second.HasWriteInFlight_ && !Each.second.IsOwned_;
  });
}

std::size_t PoolLeaseManager::ownedOrPendingCount() const {
  return static_cast<std::size_t>(
      std::count_if(Leases_.begin(), Leases_.end(), [](const auto &Each) {
        return Each.second.IsOwned_ || Each.second.HasWriteInFlight_;
      }));
}

} // namespace dragonflylock
