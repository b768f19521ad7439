#include "limits/internal/poolgrants.h"
#include "limits/internal/amounts.h"
#include "limits/internal/customergrants.h"

#include <utility>

namespace dragonflylock {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds RecentWindow{100};
/// Unused grants are given back after one to two such windows.
constexpr milliseconds SteadyWindow{700};
constexpr milliseconds LongWindow{5000};
/// Time after a refusal for which the start still counts as wanted. A pool that
/// has work looks at it every 100 ms; a slow node takes longer.
constexpr milliseconds RefusalLifetime{400};

} // namespace

PoolCustomer::PoolCustomer(CustomerGrants &Grants, TimePoint Now)
    : Grants_(Grants), RecentPeak_(RecentWindow, Now),
      SteadyPeak_(SteadyWindow, Now), LongPeak_(LongWindow, Now) {}

void PoolCustomer::setRunning(TimePoint Now, const Resources &Running) {
  Running_ = Running;
  RecentPeak_.add(Now, Running);
  SteadyPeak_.add(Now, Running);
  LongPeak_.add(Now, Running);
}

void PoolCustomer::keepUnused(TimePoint Now, const Resources &Held) {
  SteadyPeak_.add(Now, Held);
}

const PoolGrant *PoolCustomer::ownGrant(const std::string &Pool) {
  const GrantRow &Row = Grants_.row();
  if (OwnVersion_ != Grants_.version()) {
    OwnVersion_ = Grants_.version();
    auto Found = Row.Pools_.find(Pool);
    Own_.reset();
    if (Found != Row.Pools_.end())
      Own_ = Found->second;
  }
  return Own_ ? &*Own_ : nullptr;
}

void PoolCustomer::dropSettledWrites() {
  std::erase_if(Pending_, [this](const PendingWrite &Write) {
    return Write.Expected_ != Grants_.version();
  });
}

bool PoolGrants::mayStart(const std::string &Customer, const Resources &Running,
                          const Resources &Needed) {
  return decide(Customer, Running, Needed, Needed);
}

bool PoolGrants::mayStartGang(const std::string &Customer,
                              const Resources &Running,
                              const Resources &PerTask, std::size_t Tasks) {
  return decide(Customer, Running, times(PerTask, Tasks), PerTask);
}

bool PoolGrants::hasRoom(const std::string &Customer, const Resources &Running,
                         const Resources &Needed) {
  CustomerGrants *Grants = Customer.empty() ? nullptr : Find_(Customer);
  const Resources *Limit = Grants != nullptr ? Grants->limit() : nullptr;
  if (Limit == nullptr)
    return true;
  const PoolGrant *Own = Grants->grantOf(Pool_);
  const Resources Others =
      amounts::minus(Grants->sum(), Own != nullptr ? Own->Held_ : Resources());
  return Limit->canFit(amounts::limitedPart(
      amounts::plus(Others, amounts::plus(Running, Needed)), *Limit));
}

bool PoolGrants::decide(const std::string &Customer, const Resources &Running,
                        const Resources &Needed, const Resources &Largest) {
  CustomerGrants *Grants = Customer.empty() ? nullptr : Find_(Customer);
  const Resources *Limit = Grants != nullptr ? Grants->limit() : nullptr;
  if (Limit == nullptr)
    return true;
  const TimePoint Now = Clock_.now();
  PoolCustomer &State = stateOf(*Grants);
  State.setRunning(Now, Running);
  const auto Held = confirmedGrant(State);
  const bool IsWithinGrant =
      Held && GrantPolicy::mayStart(*Limit, *Held, Grants->sum(), Running,
                                    Needed, Largest);
  const bool IsWithinShare =
      !State.Ceiling_ || State.Ceiling_->canFit(amounts::limitedPart(
                             amounts::plus(Running, Needed), *Limit));
  if (IsWithinGrant && IsWithinShare) {
    // A larger start that was refused before stays wanted.
    if (State.Refused_ && Needed.canFit(*State.Refused_))
      State.Refused_.reset();
    return true;
  }
  ToReview_.insert(Customer);
  if (!GrantPolicy::isPossible(*Limit, Needed, Largest)) {
    State.WasImpossible_ = true;
    return false;
  }
  // The first start that is refused is the one that is due first.
  if (!State.Refused_ || Now >= State.RefusedAt_ + RecentWindow) {
    State.Refused_ = Needed;
    State.RefusedTask_ = Largest;
    State.RefusedAt_ = Now;
  }
  return false;
}

PoolCustomer &PoolGrants::stateOf(CustomerGrants &Grants) {
  return Customers_.try_emplace(Grants.customer(), Grants, Clock_.now())
      .first->second;
}

std::set<std::string> PoolGrants::takeForReview() {
  return std::exchange(ToReview_, {});
}

PoolDemand PoolGrants::demandOf(const Resources &Limit,
                                PoolCustomer &State) const {
  const TimePoint Now = Clock_.now();
  if (State.Refused_ && Now >= State.RefusedAt_ + RefusalLifetime)
    State.Refused_.reset();
  PoolDemand Demand;
  Demand.Running_ = State.Running_;
  Demand.RecentPeak_ = State.RecentPeak_.value();
  Demand.SteadyPeak_ = State.SteadyPeak_.value();
  Demand.LongPeak_ = State.LongPeak_.value();
  Demand.Refused_ = State.Refused_;
  Demand.RefusedTask_ = State.RefusedTask_;
  Demand.HasDeferred_ = State.DeferredUntil_ && Now >= *State.DeferredUntil_;
  Demand.HasTurn_ = Now < State.TurnUntil_;
  if (State.Refused_) {
    if (Now >= State.StepUntil_)
      State.Step_ = {};
    Demand.Step_ = amounts::maxOf(
        State.Step_, GrantPolicy::firstStep(Limit, *State.Refused_));
  }
  return Demand;
}

std::optional<Resources> PoolGrants::confirmedGrant(PoolCustomer &State) const {
  const PoolGrant *Grant = State.ownGrant(Pool_);
  if (Grant == nullptr || Grant->Token_ != Token_)
    return std::nullopt;
  Resources Held = Grant->Held_;
  State.dropSettledWrites();
  for (const auto &Write : State.Pending_)
    Held = amounts::minOf(Held, Write.Held_);
  return Held;
}

} // namespace dragonflylock
