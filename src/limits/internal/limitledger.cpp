#include "limits/limitledger.h"
#include "customers/customerusage.h"
#include "global/ilogger.h"
#include "global/logevent.h"
#include "limits/grantpolicy.h"
#include "limits/internal/amounts.h"
#include "limits/internal/customergrants.h"
#include "limits/internal/poolgrants.h"
#include "scheduling/controlrows.h"
#include "scheduling/istore.h"
#include "scheduling/schedulingsettings.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace dragonflylock {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds ReviewInterval{100};
/// Delays after a write that the store did not answer or refused.
constexpr milliseconds FirstRetryDelay{200};
constexpr milliseconds MaxRetryDelay{1600};
/// Range over which the owners of several pools spread their next writes after
/// they have met each other's.
constexpr std::uint64_t ConflictSpreadMs = 100;
/// Time without a raise after which a pool starts with a small request again.
constexpr milliseconds StepLifetime{1000};
/// Time for which a pool leaves what is unallocated to others that asked before
/// it, and keeps a new grant: the owners read the row within 0.2 s.
constexpr milliseconds TurnDelay{300};
constexpr milliseconds ReachedLineInterval{1000};

std::uint64_t amount(std::int64_t Value) {
  return static_cast<std::uint64_t>(std::max<std::int64_t>(Value, 0));
}

std::string textOf(const Resources &Amounts) {
  return std::to_string(Amounts.CpuMillis_) + "/" +
         std::to_string(Amounts.MemoryMb_) + "/" +
         std::to_string(Amounts.Gpus_);
}

} // namespace

std::shared_ptr<LimitLedger>
LimitLedger::create(const SchedulingSettings &Settings, IStore &Store,
                    const IClock &Clock, ILogger &Logger) {
  return std::shared_ptr<LimitLedger>(
      new LimitLedger(Settings, Store, Clock, Logger));
}

// The leases of workers run on other clocks, so that twice their length is
// counted.
LimitLedger::LimitLedger(const SchedulingSettings &Settings, IStore &Store,
                         const IClock &Clock, ILogger &Logger)
    : Store_(Store), Clock_(Clock), Logger_(Logger),
      GoneDelay_(Settings.OwnerLease_ + Settings.LeaseMargin_ +
                 2 * Settings.MaxWorkerLease_) {}

LimitLedger::~LimitLedger() = default;

CustomerGrants &LimitLedger::grantsOf(const std::string &Customer) {
  auto &Grants = Customers_[Customer];
  if (!Grants) {
    Grants = std::make_unique<CustomerGrants>(Customer, Clock_, Logger_);
    Grants->setConfigured(std::nullopt, ConfigurationVersion_);
  }
  return *Grants;
}

CustomerGrants *LimitLedger::find(const std::string &Customer) {
  auto Found = Customers_.find(Customer);
  return Found == Customers_.end() ? nullptr : Found->second.get();
}

void LimitLedger::onControlRow(const StoreRow &Row) {
  static const std::string LimitPrefix = grantrows::Prefix;
  static const std::string OwnerPrefix = controlrows::OwnerPrefix;
  const std::string &Key = Row.Name_.Key_;
  if (Key.starts_with(LimitPrefix)) {
    const std::string Customer = Key.substr(LimitPrefix.size());
    grantsOf(Customer).onRow(Row);
    Changed_.insert(Customer);
  }
  if (Key.starts_with(OwnerPrefix)) {
    OwnerChange &Known = Owners_[Key.substr(OwnerPrefix.size())];
    if (Row.Version_ > Known.Version_)
      Known = {Row.Version_, Clock_.now()};
  }
}

void LimitLedger::onConfiguration(const SchedulingConfiguration &Applied) {
  IsConfigured_ = true;
  ConfigurationVersion_ = Applied.Version_;
  ConfiguredPools_.clear();
  for (const SchedulingPool &Pool : Applied.Pools_)
    ConfiguredPools_.insert(Pool.Name_);
  for (auto &[Name, Grants] : Customers_)
    Grants->setConfigured(std::nullopt, Applied.Version_);
  for (const Customer &Each : Applied.Customers_)
    grantsOf(Each.Name_).setConfigured(Each.Limit_, Applied.Version_);
  for (const auto &[Name, Grants] : Customers_)
    Changed_.insert(Name);
  for (auto &[Name, Pool] : Pools_)
    for (auto &[Customer, State] : Pool->customers())
      State.DecidedAt_.reset();
}

ICustomerLimits *LimitLedger::onPoolAcquired(const std::string &Pool,
                                             FencingToken Token) {
  auto Made = std::make_unique<PoolGrants>(
      Pool, Token, Clock_,
      [this](const std::string &Customer) { return find(Customer); });
  ICustomerLimits *Limits = Made.get();
  Pools_[Pool] = std::move(Made);
  for (const auto &[Name, Grants] : Customers_)
    Changed_.insert(Name);
  return Limits;
}

void LimitLedger::onUsage(const std::string &Pool, const CustomerUsage &Usage,
                          bool IsExact) {
  auto Found = Pools_.find(Pool);
  if (Found == Pools_.end())
    return;
  Found->second->Usage_ = &Usage;
  Found->second->IsUsageExact_ = IsExact;
}

void LimitLedger::onPoolLost(const std::string &Pool) {
  Pools_.erase(Pool);
  RaisedPools_.erase(Pool);
}

void LimitLedger::tick(TimePoint ProvenAsOf) {
  const TimePoint Now = Clock_.now();
  if (!KnownSince_ && ProvenAsOf != TimePoint())
    KnownSince_ = ProvenAsOf;
  ProvenAsOf_ = ProvenAsOf;
  if (Pools_.empty())
    return;
  adoptGrants();
  for (auto &[Name, Pool] : Pools_)
    for (const std::string &Customer : Pool->takeForReview())
      if (auto Found = Pool->customers().find(Customer);
          Found != Pool->customers().end())
        review(*Pool, Found->second);
  if (Now < NextReview_)
    return;
  NextReview_ = Now + ReviewInterval;
  for (auto &[Name, Pool] : Pools_)
    reviewAll(*Pool);
}

std::set<std::string> LimitLedger::takeRaisedPools() {
  return std::exchange(RaisedPools_, {});
}

void LimitLedger::adoptGrants() {
  for (const std::string &Customer : std::exchange(Changed_, {})) {
    CustomerGrants &Grants = grantsOf(Customer);
    if (Grants.limit() == nullptr)
      continue;
    for (auto &[Name, Pool] : Pools_)
      if (const PoolGrant *Grant = Grants.grantOf(Name);
          Grant != nullptr && !Pool->customers().contains(Customer))
        Pool->stateOf(Grants).keepUnused(Clock_.now(), Grant->Held_);
  }
}

void LimitLedger::reviewAll(PoolGrants &Pool) {
  if (Pool.Usage_ == nullptr)
    return;
  auto &States = Pool.customers();
  for (const auto &[Customer, Running] : Pool.Usage_->all())
    if (!States.contains(Customer))
      if (CustomerGrants *Grants = find(Customer);
          Grants != nullptr && Grants->limit() != nullptr)
        Pool.stateOf(*Grants);
  for (auto Each = States.begin(); Each != States.end();) {
    PoolCustomer &State = Each->second;
    review(Pool, State);
    const bool IsIdle = amounts::isNone(State.Running_) && !State.Refused_ &&
                        State.Pending_.empty() &&
                        State.ownGrant(Pool.pool()) == nullptr;
    if (IsIdle || State.Grants_.limit() == nullptr)
      Each = States.erase(Each);
    else
      ++Each;
  }
}

void LimitLedger::review(PoolGrants &Pool, PoolCustomer &State) {
  CustomerGrants &Grants = State.Grants_;
  const Resources *Limit = Grants.limit();
  // Before the jobs are loaded, it is not known what the pool runs.
  if (Limit == nullptr || Pool.Usage_ == nullptr)
    return;
  State.setRunning(Clock_.now(), Pool.Usage_->of(Grants.customer()));
  State.dropSettledWrites();
  if (std::exchange(State.WasImpossible_, false))
    logReached(Pool, State);
  const bool IsDecided = State.DecidedAt_ == Grants.version();
  if (IsDecided && !mayWrite(State, Grants))
    return;
  const PoolGrant *Own = State.ownGrant(Pool.pool());
  if (IsDecided && !State.MustFollowUse_ && State.Pending_.empty() &&
      GrantPolicy::isSettled(*Limit, Own != nullptr ? *Own : PoolGrant(),
                             Pool.demandOf(*Limit, State)))
    return;
  decide(Pool, State, *Limit);
}

void LimitLedger::decide(PoolGrants &Pool, PoolCustomer &State,
                         const Resources &Limit) {
  CustomerGrants &Grants = State.Grants_;
  GrantRow Row = Grants.rowToChange();
  Row.Limit_ = Limit;
  removeGonePools(Grants.customer(), Row);
  PoolDemand Demand = Pool.demandOf(Limit, State);
  const PoolGrant *Own = Grants.grantOf(Pool.pool());
  const Resources Held = Own != nullptr ? Own->Held_ : Resources();
  // The previous owner ran no more than the grant that it left.
  const bool IsOverestimate =
      !Pool.IsUsageExact_ && !Held.canFit(Demand.Running_);
  if (IsOverestimate)
    Demand.Running_ = amounts::minOf(Demand.Running_, Held);
  if (Grants.isRecovering() || IsOverestimate)
    Demand.Refused_.reset();
  GrantDecision Decision =
      GrantPolicy::decide(Pool.pool(), Pool.token(), Row, Demand);
  State.DecidedAt_ = Grants.version();
  State.MustFollowUse_ = Decision.MustFollowUse_;
  State.Ceiling_ = Decision.Ceiling_;
  if (Decision.IsDeferred_ && !State.DeferredUntil_)
    State.DeferredUntil_ = Clock_.now() + TurnDelay;
  if (Decision.IsAtLimit_)
    logReached(Pool, State);
  // A write without a response is settled by the next change of the row. If
  // nothing else changes it, this owner does.
  if (!Decision.Next_ && !State.Pending_.empty() && !Grants.IsWriting_)
    Decision.Next_ = Row;
  if (Decision.Next_ && mayWrite(State, Grants))
    write(Pool, State, *Decision.Next_);
}

bool LimitLedger::mayWrite(const PoolCustomer &State,
                           const CustomerGrants &Grants) const {
  return !Grants.IsWriting_ &&
         (State.MayRetry_ || Clock_.now() >= State.NextWrite_);
}

void LimitLedger::write(PoolGrants &Pool, PoolCustomer &State,
                        const GrantRow &Next) {
  CustomerGrants &Grants = State.Grants_;
  auto Written = Next.Pools_.find(Pool.pool());
  const Resources Held =
      Written != Next.Pools_.end() ? Written->second.Held_ : Resources();
  const StoreVersion Expected = Grants.version();
  Grants.IsWriting_ = true;
  State.MayRetry_ = false;
  State.NextWrite_ = Clock_.now() + MinWriteInterval;
  State.Pending_.push_back({Expected, Held});
  StoreTransaction Transaction;
  Transaction.Expected_ = {{grantrows::key(Grants.customer()), Expected}};
  Transaction.Puts_ = {
      {grantrows::key(Grants.customer()), grantrows::encode(Next)}};
  Store_.transact(std::move(Transaction),
                  [Weak = weak_from_this(), Pool = Pool.pool(),
                   Token = Pool.token(), Customer = Grants.customer(), Next,
                   Expected](const StoreTransactionResult &Result) {
                    if (auto Self = Weak.lock())
                      Self->onWritten(Pool, Token, Customer, Next, Expected,
                                      Result);
                  });
}

void LimitLedger::onWritten(const std::string &Pool, FencingToken Token,
                            const std::string &Customer, const GrantRow &Next,
                            StoreVersion Expected,
                            const StoreTransactionResult &Result) {
  CustomerGrants &Grants = grantsOf(Customer);
  Grants.IsWriting_ = false;
  auto Found = Pools_.find(Pool);
  const bool IsOwned = Found != Pools_.end() && Found->second->token() == Token;
  const PoolGrant *Own = Grants.grantOf(Pool);
  const Resources Before = Own != nullptr ? Own->Held_ : Resources();
  if (Result.Outcome_ == StoreOutcome::Done)
    Grants.onWritten(Next, Result.Version_);
  if (Result.Outcome_ == StoreOutcome::ConditionFailed) {
    if (Result.Current_.empty())
      Grants.onAbsent(Expected);
    else
      Grants.onRow(Result.Current_.front());
    Changed_.insert(Customer);
  }
  if (!IsOwned)
    return;
  PoolCustomer &State = Found->second->stateOf(Grants);
  // An earlier write that expects the same version may still take effect,
  // unless the row has another version now.
  if (Result.Outcome_ == StoreOutcome::NotDone && !State.Pending_.empty() &&
      State.Pending_.back().Expected_ == Expected)
    State.Pending_.pop_back();
  scheduleRetry(Pool, State, Result.Outcome_);
  if (State.MayRetry_)
    Found->second->reviewSoon(Customer);
  if (Result.Outcome_ != StoreOutcome::Done)
    return;
  if (State.Refused_)
    RaisedPools_.insert(Pool);
  auto Written = Next.Pools_.find(Pool);
  const Resources Now =
      Written != Next.Pools_.end() ? Written->second.Held_ : Resources();
  if (!Before.canFit(Now)) {
    State.keepUnused(Clock_.now(), Now);
    State.TurnUntil_ = Clock_.now() + TurnDelay;
    State.DeferredUntil_.reset();
    if (State.Refused_) {
      const Resources Step = amounts::maxOf(
          State.Step_, GrantPolicy::firstStep(Next.Limit_, *State.Refused_));
      State.Step_ = amounts::minOf(amounts::plus(Step, Step), Next.Limit_);
      State.StepUntil_ = Clock_.now() + StepLifetime;
    }
  }
  logGranted(*Found->second, Grants, Before, Now);
}

void LimitLedger::scheduleRetry(const std::string &Pool, PoolCustomer &State,
                                StoreOutcome Outcome) {
  const TimePoint Now = Clock_.now();
  if (Outcome == StoreOutcome::Done) {
    State.RetryDelay_ = milliseconds(0);
    return;
  }
  if (Outcome == StoreOutcome::ConditionFailed) {
    // The first conflict costs no time, since the response holds the newest
    // row. Owners that meet again spread their writes.
    State.MayRetry_ = State.RetryDelay_.count() == 0;
    State.RetryDelay_ = MinWriteInterval;
    State.NextWrite_ =
        Now + MinWriteInterval +
        milliseconds(
            std::hash<std::string>()(
                Pool + std::to_string(Now.time_since_epoch().count())) %
            ConflictSpreadMs);
    return;
  }
  State.RetryDelay_ =
      std::clamp(State.RetryDelay_ * 2, FirstRetryDelay, MaxRetryDelay);
  State.NextWrite_ = Now + State.RetryDelay_;
}

void LimitLedger::logReached(const PoolGrants &Pool, PoolCustomer &State) {
  CustomerGrants &Grants = State.Grants_;
  if (Clock_.now() < State.NextReachedLine_)
    return;
  State.NextReachedLine_ = Clock_.now() + ReachedLineInterval;
  const PoolGrant *Own = Grants.grantOf(Pool.pool());
  Logger_.write(
      LogLevel::Info,
      LogEvent("limit.reached")
          .with("customer", Grants.customer())
          .with("pool", Pool.pool())
          .with("running", textOf(State.Running_))
          .with("held", textOf(Own != nullptr ? Own->Held_ : Resources()))
          .with("granted", textOf(Grants.sum()))
          .with("limit", textOf(*Grants.limit())));
}

void LimitLedger::logGranted(const PoolGrants &Pool,
                             const CustomerGrants &Grants,
                             const Resources &Before, const Resources &Now) {
  if (Before == Now)
    return;
  Logger_.write(LogLevel::Info, LogEvent("limit.granted")
                                    .with("customer", Grants.customer())
                                    .with("pool", Pool.pool())
                                    .with("token", Pool.token())
                                    .with("before", textOf(Before))
                                    .with("cpu", amount(Now.CpuMillis_))
                                    .with("mem-mb", amount(Now.MemoryMb_))
                                    .with("gpus", amount(Now.Gpus_)));
}

bool LimitLedger::isGone(const std::string &Pool) const {
  if (!IsConfigured_ || !KnownSince_ || ConfiguredPools_.contains(Pool) ||
      Pools_.contains(Pool))
    return false;
  TimePoint Changed = *KnownSince_;
  if (auto Found = Owners_.find(Pool); Found != Owners_.end())
    Changed = std::max(Changed, Found->second.SeenAt_);
  return ProvenAsOf_ >= Changed + GoneDelay_;
}

void LimitLedger::removeGonePools(const std::string &Customer, GrantRow &Row) {
  std::erase_if(Row.Pools_, [&](const auto &Each) {
    if (!isGone(Each.first))
      return false;
    Logger_.write(LogLevel::Info, LogEvent("limit.pool-gone")
                                      .with("customer", Customer)
                                      .with("pool", Each.first)
                                      .with("held", textOf(Each.second.Held_)));
    return true;
  });
}

} // namespace dragonflylock
