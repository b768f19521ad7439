#include "routing/requestengine.h"
#include "configuration/fleetconfiguration.h"
#include "http/httptypes.h"
#include "routing/iinstanceselector.h"
#include "routing/instanceregistry.h"

#include <algorithm>

namespace dragonflylock {
namespace {

/// How long an instance is not selected after an offer to it ended before a
/// byte was sent, as when the connection was refused.
constexpr std::chrono::milliseconds ConnectFailureBackoff{500};

/// How long past its deadline a request waits for the result of its claim.
constexpr std::chrono::milliseconds ClaimGrace{500};

RoutingErrc errorFor(AnswerFault Fault) {
  switch (Fault) {
  case AnswerFault::None:
  case AnswerFault::Lost:
    return RoutingErrc::AnswerLost;
  case AnswerFault::Truncated:
    return RoutingErrc::AnswerTruncated;
  case AnswerFault::Unframed:
    return RoutingErrc::AnswerUnframed;
  case AnswerFault::TooLarge:
    return RoutingErrc::AnswerTooLarge;
  case AnswerFault::Timeout:
    return RoutingErrc::DeadlineAfterOffer;
  }
  return RoutingErrc::AnswerLost;
}

bool isRetryable(const OfferResult &Result) {
  switch (Result.Fault_) {
  case AnswerFault::None:
    return Result.Status_ == httpstatus::BadGateway ||
           Result.Status_ == httpstatus::Unavailable ||
           Result.Status_ == httpstatus::GatewayTimeout;
  case AnswerFault::Lost:
  case AnswerFault::Truncated:
    return true;
  case AnswerFault::Unframed:
  case AnswerFault::TooLarge:
  case AnswerFault::Timeout:
    return false;
  }
  return false;
}

} // namespace

RequestEngine::RequestEngine(std::string Zone,
                             std::unique_ptr<IInstanceSelector> Selector)
    : Zone_(std::move(Zone)), Selector_(std::move(Selector)) {}

RequestEngine::~RequestEngine() = default;

void RequestEngine::setConfiguration(
    std::shared_ptr<const FleetConfiguration> Value) {
  Configuration_ = std::move(Value);
}

RequestEngine::Actions
RequestEngine::onInstancesChanged(TimePoint Now,
                                  const InstanceRegistry &Registry) {
  for (auto &[Name, Pool] : Pools_) {
    Pool.Eligible_.clear();
    Pool.EligibleInZone_.clear();
  }
  for (const auto &[Id, Known] : Registry.instances()) {
    if (!InstanceRegistry::isEligible(Known))
      continue;
    InstanceLoad &Load = Loads_[Id];
    Load.Id_ = Id;
    Load.Zone_ = Known.Listed_->Zone_;
    Load.Address_ = Known.Listed_->Address_;
    Load.IsOwnZone_ = Load.Zone_ == Zone_;
    PoolState &Pool = Pools_[Known.Row_->Pool_];
    Pool.Eligible_.push_back(&Load);
    if (Load.IsOwnZone_)
      Pool.EligibleInZone_.push_back(&Load);
  }
  std::erase_if(Loads_, [&](const auto &Entry) {
    return Entry.second.Outstanding_ == 0 &&
           !Registry.instances().contains(Entry.first);
  });
  return onTick(Now);
}

RequestEngine::Actions RequestEngine::onViewRefreshed(TimePoint Now,
                                                      TimePoint ReadStartedAt,
                                                      bool IsRegistered) {
  ViewLeaseExpiry_ = std::max(ViewLeaseExpiry_, ReadStartedAt + ViewLease);
  IsRegistered_ = IsRegistered;
  return onTick(Now);
}

const std::vector<InstanceLoad *> &
RequestEngine::usableInstances(const PoolState &Pool, TimePoint Now) const {
  static const std::vector<InstanceLoad *> None;
  if (Now < ViewLeaseExpiry_)
    return Pool.Eligible_;
  return IsRegistered_ ? Pool.EligibleInZone_ : None;
}

TimePoint RequestEngine::usableUntil(const InstanceLoad &Instance) const {
  bool NeedsNoLease = Instance.IsOwnZone_ && IsRegistered_;
  return NeedsNoLease ? TimePoint::max() : ViewLeaseExpiry_;
}

RequestEngine::Actions RequestEngine::onRequest(TimePoint Now,
                                                const RequestHead &Head) {
  if (IsRefusing_)
    return refuse(Head, RoutingErrc::ShuttingDown);
  if (!Configuration_)
    return refuse(Head, RoutingErrc::NoConfiguration);
  const Route *Found = Configuration_->findRoute(Head.Path_);
  if (Found == nullptr)
    return refuse(Head, RoutingErrc::NoRoute);
  const PoolSettings &Settings = *Configuration_->findPool(Found->Pool_);
  if (auto Kind = checkSizeLimits(Head, Settings))
    return refuse(Head, *Kind);
  Actions Out;
  admit(Now, Head, *Found, Settings, Out);
  return Out;
}

RequestEngine::Actions RequestEngine::refuse(const RequestHead &Head,
                                             RoutingErrc Kind) {
  return {FailAction{Head.Id_, Kind, Outcome::NotRun}};
}

std::optional<RoutingErrc>
RequestEngine::checkSizeLimits(const RequestHead &Head,
                               const PoolSettings &Settings) {
  if (Head.HeadSize_ > Settings.MaxHead_)
    return RoutingErrc::HeadTooLarge;
  if (Head.BodySize_ > Settings.MaxBody_)
    return RoutingErrc::BodyTooLarge;
  return std::nullopt;
}

void RequestEngine::admit(TimePoint Now, const RequestHead &Head,
                          const Route &Found, const PoolSettings &Settings,
                          Actions &Out) {
  Request &Entry = Requests_[Head.Id_];
  Entry.Head_ = Head;
  Entry.Pool_ = Found.Pool_;
  Entry.Settings_ = Settings;
  Entry.Deadline_ = Now + Entry.Settings_.Deadline_;
  Entry.IsIdempotent_ =
      Found.Idempotent_.value_or(isIdempotentMethod(Head.Method_));
  Pools_[Entry.Pool_].Retries_.onRequest(Entry.Settings_.RetryBudget_);
  scheduleTimeout(Entry, Entry.Deadline_);
  if (Entry.IsIdempotent_ || Head.ClaimKey_.empty()) {
    enqueue(Now, Entry, Out);
    return;
  }
  Entry.Stage_ = Stage::Claiming;
  scheduleTimeout(Entry, Entry.Deadline_ + ClaimGrace);
  ClaimRequest Claim{Head.ClaimKey_, Head.AttemptId_, Head.Fingerprint_};
  Out.push_back(ClaimAction{Head.Id_, std::move(Claim), Entry.Deadline_});
}

RequestEngine::Actions
RequestEngine::onClaimResult(TimePoint Now, RequestId Id,
                             ClaimOutcome OutcomeOfClaim) {
  Actions Out;
  auto Found = Requests_.find(Id);
  if (Found == Requests_.end() || Found->second.Stage_ != Stage::Claiming) {
    bool IsOrphan = AbandonedClaims_.erase(Id) > 0;
    if (IsOrphan && OutcomeOfClaim == ClaimOutcome::Granted)
      Out.push_back(SettleClaimAction{Id, SettleClaimAction::Kind::Release});
    return Out;
  }
  Request &Entry = Found->second;
  switch (OutcomeOfClaim) {
  case ClaimOutcome::Granted:
    Entry.HasClaim_ = true;
    scheduleTimeout(Entry, Entry.Deadline_);
    enqueue(Now, Entry, Out);
    break;
  case ClaimOutcome::ResponseStored:
    Out.push_back(ReplayAction{Id});
    eraseRequest(Entry);
    break;
  case ClaimOutcome::KeyReused:
    fail(Entry, RoutingErrc::KeyReused, Out);
    break;
  case ClaimOutcome::Unknown:
    failAfterOffer(Entry, RoutingErrc::EarlierAttemptUnknown, Out);
    break;
  case ClaimOutcome::Unavailable:
    fail(Entry, RoutingErrc::ClaimUnavailable, Out);
    break;
  }
  return Out;
}

void RequestEngine::enqueue(TimePoint Now, Request &Entry, Actions &Out) {
  PoolState &Pool = Pools_[Entry.Pool_];
  Entry.Stage_ = Stage::Queued;
  Pool.Queue_.push_back(Entry.Head_.Id_);
  RequestId Id = Entry.Head_.Id_;
  std::string Name = Entry.Pool_;
  std::uint64_t Limit = Entry.Settings_.QueueLimit_;
  dispatch(Now, Name, Out);
  if (Pool.Queue_.size() <= Limit || Pool.Queue_.back() != Id)
    return;
  Pool.Queue_.pop_back();
  fail(Requests_.at(Id), RoutingErrc::QueueFull, Out);
}

void RequestEngine::dispatch(TimePoint Now, const std::string &Name,
                             Actions &Out) {
  PoolState &Pool = Pools_[Name];
  while (!Pool.Queue_.empty() && offerNext(Now, Pool, Out))
    continue;
}

bool RequestEngine::offerNext(TimePoint Now, PoolState &Pool, Actions &Out) {
  auto Found = Requests_.find(Pool.Queue_.front());
  if (Found == Requests_.end()) {
    Pool.Queue_.pop_front();
    return true;
  }
  Request &Entry = Found->second;
  if (Now >= Entry.Deadline_) {
    Pool.Queue_.pop_front();
    fail(Entry, RoutingErrc::DeadlineBeforeOffer, Out);
    return true;
  }
  InstanceLoad *Chosen =
      Selector_->select(usableInstances(Pool, Now), Entry.Excluded_,
                        Entry.Settings_.SlotsPerInstance_, Now);
  if (Chosen == nullptr && !Entry.Excluded_.empty()) {
    // No other instance can take the request. Another attempt at one that
    // failed it is better than none.
    Chosen = Selector_->select(usableInstances(Pool, Now), {},
                               Entry.Settings_.SlotsPerInstance_, Now);
  }
  if (Chosen == nullptr)
    return false;
  Pool.Queue_.pop_front();
  offer(Entry, *Chosen, Out);
  return true;
}

void RequestEngine::offer(Request &Entry, InstanceLoad &Instance,
                          Actions &Out) {
  cancelTimeout(Entry);
  Entry.Stage_ = Stage::Offered;
  Entry.Instance_ = Instance.Id_;
  ++Entry.Attempts_;
  ++Instance.Outstanding_;
  Out.push_back(OfferAction{Entry.Head_.Id_, Entry.Attempts_, Instance.Id_,
                            Instance.Address_, Entry.Deadline_,
                            usableUntil(Instance), Entry.IsIdempotent_,
                            Entry.Settings_.MaxAnswer_});
}

RequestEngine::Actions RequestEngine::onOfferResult(TimePoint Now,
                                                    const OfferResult &Result) {
  Actions Out;
  auto Found = Requests_.find(Result.Id_);
  if (Found == Requests_.end())
    return Out;
  Request &Entry = Found->second;
  if (Entry.Stage_ != Stage::Offered || Entry.Attempts_ != Result.Attempt_)
    return Out;
  std::string Pool = Entry.Pool_;
  releaseSlot(Entry.Instance_);
  updateOutlierState(Now, Entry, Result);
  if (Result.MayHaveBeenSent_)
    handleSentOffer(Now, Entry, Result, Out);
  else
    handleUnsentOffer(Now, Entry, Out);
  dispatch(Now, Pool, Out);
  return Out;
}

void RequestEngine::releaseSlot(const std::string &Instance) {
  auto Found = Loads_.find(Instance);
  if (Found != Loads_.end() && Found->second.Outstanding_ > 0)
    --Found->second.Outstanding_;
}

void RequestEngine::updateOutlierState(TimePoint Now, const Request &Entry,
                                       const OfferResult &Result) {
  auto Load = Loads_.find(Entry.Instance_);
  if (Load == Loads_.end())
    return;
  PoolState &Pool = Pools_[Entry.Pool_];
  double MaxUnavailableShare = 1.0 - Entry.Settings_.MinimumAvailable_;
  auto MaxEjected = static_cast<std::size_t>(
      MaxUnavailableShare * static_cast<double>(Pool.Eligible_.size()));
  bool IsFailure = Result.Fault_ != AnswerFault::None ||
                   Result.Status_ >= httpstatus::InternalError;
  TimePoint Until =
      Pool.Outliers_.onResult(Entry.Instance_, IsFailure, Now, MaxEjected);
  Load->second.BackoffUntil_ = std::max(Load->second.BackoffUntil_, Until);
}

void RequestEngine::handleUnsentOffer(TimePoint Now, Request &Entry,
                                      Actions &Out) {
  auto Load = Loads_.find(Entry.Instance_);
  if (Load != Loads_.end())
    Load->second.BackoffUntil_ =
        std::max(Load->second.BackoffUntil_, Now + ConnectFailureBackoff);
  if (Entry.Attempts_ >= Entry.Settings_.MaxAttempts_) {
    fail(Entry, RoutingErrc::ConnectFailed, Out);
    return;
  }
  Entry.Excluded_.push_back(Entry.Instance_);
  requeueAtFront(Entry);
}

void RequestEngine::handleSentOffer(TimePoint Now, Request &Entry,
                                    const OfferResult &Result, Actions &Out) {
  Entry.MayHaveBeenSent_ = true;
  if (isRetryable(Result) && tryRetry(Now, Entry))
    return;
  if (Result.Fault_ == AnswerFault::None)
    relay(Entry, Out);
  else
    failAfterOffer(Entry, errorFor(Result.Fault_), Out);
}

bool RequestEngine::tryRetry(TimePoint Now, Request &Entry) {
  if (!Entry.IsIdempotent_ || Now >= Entry.Deadline_)
    return false;
  if (Entry.Attempts_ >= Entry.Settings_.MaxAttempts_)
    return false;
  if (!Pools_[Entry.Pool_].Retries_.tryRetry())
    return false;
  Entry.Excluded_.push_back(Entry.Instance_);
  requeueAtFront(Entry);
  return true;
}

void RequestEngine::requeueAtFront(Request &Entry) {
  Entry.Stage_ = Stage::Queued;
  scheduleTimeout(Entry, Entry.Deadline_);
  Pools_[Entry.Pool_].Queue_.push_front(Entry.Head_.Id_);
}

void RequestEngine::scheduleTimeout(Request &Entry, TimePoint TimesOutAt) {
  cancelTimeout(Entry);
  Entry.TimesOutAt_ = TimesOutAt;
  Timeouts_.emplace(TimesOutAt, Entry.Head_.Id_);
}

void RequestEngine::cancelTimeout(const Request &Entry) {
  Timeouts_.erase({Entry.TimesOutAt_, Entry.Head_.Id_});
}

RequestEngine::Actions RequestEngine::onTick(TimePoint Now) {
  Actions Out;
  while (!Timeouts_.empty() && Timeouts_.begin()->first <= Now) {
    RequestId Id = Timeouts_.begin()->second;
    Request &Entry = Requests_.at(Id);
    if (Entry.Stage_ != Stage::Claiming) {
      fail(Entry, RoutingErrc::DeadlineBeforeOffer, Out);
      continue;
    }
    // It is unknown whether an earlier request with the same key ran, so the
    // outcome is not reported as not-run.
    AbandonedClaims_.insert(Id);
    failAfterOffer(Entry, RoutingErrc::EarlierAttemptUnknown, Out);
  }
  for (auto &[Name, Pool] : Pools_)
    dispatch(Now, Name, Out);
  return Out;
}

void RequestEngine::relay(Request &Entry, Actions &Out) {
  if (Entry.HasClaim_)
    Out.push_back(SettleClaimAction{Entry.Head_.Id_,
                                    SettleClaimAction::Kind::KeepAnswer});
  Out.push_back(RelayAction{Entry.Head_.Id_});
  eraseRequest(Entry);
}

void RequestEngine::fail(Request &Entry, RoutingErrc Kind, Actions &Out) {
  if (Entry.MayHaveBeenSent_) {
    failAfterOffer(Entry, Kind, Out);
    return;
  }
  if (Entry.HasClaim_)
    Out.push_back(
        SettleClaimAction{Entry.Head_.Id_, SettleClaimAction::Kind::Release});
  Out.push_back(FailAction{Entry.Head_.Id_, Kind, Outcome::NotRun});
  eraseRequest(Entry);
}

void RequestEngine::failAfterOffer(Request &Entry, RoutingErrc Kind,
                                   Actions &Out) {
  if (Entry.HasClaim_)
    Out.push_back(SettleClaimAction{Entry.Head_.Id_,
                                    SettleClaimAction::Kind::RecordUnknown});
  Out.push_back(FailAction{Entry.Head_.Id_, Kind, Outcome::Unknown});
  eraseRequest(Entry);
}

void RequestEngine::eraseRequest(const Request &Entry) {
  RequestId Id = Entry.Head_.Id_;
  cancelTimeout(Entry);
  Requests_.erase(Id);
}

std::size_t RequestEngine::queuedRequests() const {
  std::size_t Count = 0;
  for (const auto &[Name, Pool] : Pools_)
    Count += Pool.Queue_.size();
  return Count;
}

std::string RequestEngine::poolOf(RequestId Id) const {
  auto Found = Requests_.find(Id);
  return Found == Requests_.end() ? std::string() : Found->second.Pool_;
}

std::uint64_t RequestEngine::outstandingAt(const std::string &Instance) const {
  auto Found = Loads_.find(Instance);
  return Found == Loads_.end() ? 0 : Found->second.Outstanding_;
}

} // namespace dragonflylock
