#include "limits/grantpolicy.h"
#include "limits/internal/amounts.h"

#include <algorithm>
#include <vector>

namespace dragonflylock {

using namespace amounts;

namespace {

/// Share of the limit that a pool asks for first. With doubling steps a pool
/// comes from nothing to half of the limit in four writes.
constexpr std::int64_t FirstStepDivisor = 16;
/// A pool keeps what it used within the last 10 s if that is at most this part
/// of the limit: a task now and then costs no writes.
constexpr std::int64_t KeptShareDivisor = 8;
/// A pool keeps a quarter more than it used, and gives back less than a quarter
/// of its grant only if another pool asks: small changes cost no write.
constexpr std::int64_t SlackDivisor = 4;

/// \returns whether a start may exceed the limit, so that a customer is not
/// held back below half of its limit.
/// \param Used what the other pools hold and this one runs.
bool mayExceed(const Resources &Limit, const Resources &Used,
               const Resources &Needed, const Resources &Largest) {
  const Resources Rest = limitedPart(minus(Needed, Largest), Limit);
  return isBelowHalf(Used, Limit) && Limit.canFit(plus(Used, Rest));
}

/// What the decision depends on, in the limited resources.
struct View {
  View(const std::string &Pool, const GrantRow &Row, const PoolDemand &Demand);

  /// Fills in what other pools wait for.
  void measureContention(const std::string &Pool, const GrantRow &Row,
                         bool IsWaiting);

  Resources Limit_;
  PoolGrant Own_;
  Resources Held_;
  Resources Use_;
  /// Sum of the grants of the other pools.
  Resources Others_;
  /// Most that this pool can hold beside the others.
  Resources Free_;
  bool IsOver_ = false;
  bool IsContended_ = false;
  /// What this pool may keep: an equal part of the limit for each pool that
  /// waits, or more where the pools with less lack less.
  Resources Share_;
  /// Whether a pool waits that has less than its share.
  bool IsOtherBehind_ = false;
  /// Whether another pool asked before this one and waits.
  bool IsOtherFirst_ = false;
  std::uint64_t LastTurn_ = 0;
};

View::View(const std::string &Pool, const GrantRow &Row,
           const PoolDemand &Demand)
    : Limit_(Row.Limit_) {
  if (auto Found = Row.Pools_.find(Pool); Found != Row.Pools_.end())
    Own_ = Found->second;
  Held_ = limitedPart(Own_.Held_, Limit_);
  Use_ = limitedPart(Demand.Running_, Limit_);
  Others_ = limitedPart(minus(Row.sum(), Own_.Held_), Limit_);
  Free_ = minus(Limit_, Others_);
  IsOver_ = !Free_.canFit(Held_);
  measureContention(Pool, Row, Demand.Refused_.has_value());
}

void View::measureContention(const std::string &Pool, const GrantRow &Row,
                             bool IsWaiting) {
  const Resources Unallocated = minus(Free_, Held_);
  std::int64_t Waiting = IsWaiting ? 1 : 0;
  Resources Settled;
  std::vector<const PoolGrant *> Contenders;
  for (const auto &[Name, Grant] : Row.Pools_) {
    if (Name == Pool)
      continue;
    const Resources Missing =
        limitedPart(minus(Grant.Wanted_, Grant.Held_), Limit_);
    LastTurn_ = std::max(LastTurn_, Grant.Turn_);
    IsOtherFirst_ =
        IsOtherFirst_ ||
        (!isNone(Missing) && (Own_.Turn_ == 0 || Grant.Turn_ < Own_.Turn_));
    if (isNone(Missing) || Unallocated.canFit(Missing)) {
      Settled += limitedPart(Grant.Held_, Limit_);
      continue;
    }
    ++Waiting;
    Contenders.push_back(&Grant);
  }
  IsContended_ = !Contenders.empty();
  if (!IsWaiting)
    Settled += Use_;
  const Resources Equal =
      dividedBy(minus(Limit_, Settled), std::max<std::int64_t>(Waiting, 1));
  Resources Lacking;
  for (const PoolGrant *Each : Contenders)
    Lacking += minOf(limitedPart(minus(Each->Wanted_, Each->Held_), Limit_),
                     minus(Equal, Each->Held_));
  IsOtherBehind_ = !isNone(Lacking);
  const Resources Share =
      maxOf(Equal, minus(Held_, minus(Lacking, Unallocated)));
  // A resource that no such pool lacks need not be shared.
  Share_ = plus(limitedPart(Share, Lacking),
                minus(Limit_, limitedPart(Limit_, Lacking)));
}

/// \returns what a pool keeps that waits for nothing, while no other pool does.
Resources keptByHabit(const Resources &Limit, const PoolDemand &Demand) {
  const Resources Steady =
      plus(Demand.SteadyPeak_, dividedBy(Demand.SteadyPeak_, SlackDivisor));
  const Resources Long = limitedPart(Demand.LongPeak_, Limit);
  const Resources Recurring =
      dividedBy(Limit, KeptShareDivisor).canFit(Long) ? Long : Resources();
  return limitedPart(maxOf(Demand.Running_, maxOf(Steady, Recurring)), Limit);
}

/// \returns whether giving back all of \p Held but \p Kept is worth a write.
bool isWorthAWrite(const Resources &Held, const Resources &Kept) {
  if (isNone(Kept))
    return !isNone(Held);
  auto IsLarge = [](std::int64_t Each, std::int64_t Rest) {
    return Rest < Each && (Each - Rest) * SlackDivisor >= Each;
  };
  return IsLarge(Held.CpuMillis_, Kept.CpuMillis_) ||
         IsLarge(Held.MemoryMb_, Kept.MemoryMb_) ||
         IsLarge(Held.Gpus_, Kept.Gpus_);
}

/// \returns the grant of a pool that waits for nothing.
Resources giveBack(const View &Now, const PoolDemand &Demand) {
  if (Now.IsOver_)
    return Now.Use_;
  if (Now.IsContended_)
    return minOf(Now.Held_,
                 maxOf(Now.Use_, limitedPart(Demand.RecentPeak_, Now.Limit_)));
  const Resources Kept = keptByHabit(Now.Limit_, Demand);
  return isWorthAWrite(Now.Held_, Kept) ? minOf(Now.Held_, Kept) : Now.Held_;
}

/// A grant for a pool that waits.
struct Raise {
  Resources Held_;
  Resources Wanted_;
  std::optional<Resources> Ceiling_;
  bool IsAtLimit_ = false;
  bool IsDeferred_ = false;
};

Raise raise(const View &Now, const PoolDemand &Demand) {
  const Resources Need =
      plus(Now.Use_, limitedPart(*Demand.Refused_, Now.Limit_));
  const Resources Wanted =
      maxOf(Need, minOf(plus(Now.Use_, limitedPart(Demand.Step_, Now.Limit_)),
                        Now.Limit_));
  if (!Now.Free_.canFit(Need) &&
      mayExceed(Now.Limit_, plus(Now.Others_, Now.Use_), *Demand.Refused_,
                Demand.RefusedTask_))
    return {maxOf(minOf(Now.Held_, Now.Free_), Need), {}, std::nullopt, false};
  if (Now.IsOver_)
    return {Now.Use_, {}, std::nullopt, true};
  if (Now.IsOtherBehind_ && !Demand.HasTurn_ && !Now.Share_.canFit(Now.Held_)) {
    // What the share has room for stays if a task fits into it.
    const Resources Kept =
        Now.Share_.canFit(Need) ? minOf(Now.Held_, Now.Share_) : Now.Use_;
    return {Kept, Wanted, Now.Share_, true};
  }
  if (Now.Held_.canFit(Need))
    return {Now.Held_, {}, std::nullopt, false};
  Resources Most = minOf(Wanted, Now.Free_);
  if (Now.IsOtherBehind_) {
    // A task that is larger than the share gets its turn.
    Most = minOf(Most, isNone(Now.Use_) ? maxOf(Now.Share_, Need) : Now.Share_);
  }
  if (Most.canFit(Need) && Now.IsOtherFirst_ && !Demand.HasDeferred_)
    return {Now.Held_, Wanted, std::nullopt, true, true};
  if (Most.canFit(Need))
    return {maxOf(Now.Held_, Most), {}, std::nullopt, false};
  // A rest that no task fits into is of more use to the others.
  return {Now.IsContended_ ? Now.Use_ : Now.Held_, Wanted, std::nullopt, true};
}

} // namespace

GrantDecision GrantPolicy::decide(const std::string &Pool, FencingToken Token,
                                  const GrantRow &Row,
                                  const PoolDemand &Demand) {
  GrantDecision Decision;
  const View Now(Pool, Row, Demand);
  if (Now.Own_.Token_ > Token)
    return Decision; // The pool has a later owner.
  Decision.MustFollowUse_ = Now.IsContended_ || Now.IsOver_;
  PoolGrant Own = Now.Own_;
  if (Demand.Refused_) {
    const Raise Wish = raise(Now, Demand);
    Own.Held_ = Wish.Held_;
    // A request that is large enough stays as it is, to save the write.
    const Resources Need =
        plus(Now.Use_, limitedPart(*Demand.Refused_, Now.Limit_));
    // If no other pool holds or wants anything, there is nobody to ask.
    const bool IsAlone = isNone(Now.Others_) && Now.LastTurn_ == 0;
    if (isNone(Wish.Wanted_) || IsAlone)
      Own.Wanted_ = {};
    else if (!Own.Wanted_.canFit(Need))
      Own.Wanted_ = Wish.Wanted_;
    Decision.Ceiling_ = Wish.Ceiling_;
    Decision.IsAtLimit_ = Wish.IsAtLimit_;
    Decision.IsDeferred_ = Wish.IsDeferred_;
  } else {
    Own.Held_ = giveBack(Now, Demand);
    Own.Wanted_ = {};
  }
  if (isNone(Own.Wanted_))
    Own.Turn_ = 0;
  else if (Own.Turn_ == 0)
    Own.Turn_ = Now.LastTurn_ + 1;
  // What runs counts in any case.
  Own.Held_ = maxOf(Own.Held_, Now.Use_);
  const bool MustConfirm =
      Demand.Refused_.has_value() && Now.Own_.Token_ != Token;
  if (Own.Held_ == Now.Held_ && Own.Wanted_ == Now.Own_.Wanted_ && !MustConfirm)
    return Decision;
  Own.Token_ = Token;
  Decision.Next_ = Row;
  if (isNone(Own.Held_) && isNone(Own.Wanted_))
    Decision.Next_->Pools_.erase(Pool);
  else
    Decision.Next_->Pools_[Pool] = Own;
  return Decision;
}

bool GrantPolicy::isSettled(const Resources &Limit, const PoolGrant &Own,
                            const PoolDemand &Demand) {
  const Resources Held = limitedPart(Own.Held_, Limit);
  return !Demand.Refused_ && isNone(Own.Wanted_) &&
         Held.canFit(limitedPart(Demand.Running_, Limit)) &&
         !isWorthAWrite(Held, keptByHabit(Limit, Demand));
}

bool GrantPolicy::mayStart(const Resources &Limit, const Resources &Held,
                           const Resources &Sum, const Resources &Running,
                           const Resources &Needed, const Resources &Largest) {
  if (!limitedPart(Held, Limit)
           .canFit(limitedPart(plus(Running, Needed), Limit)))
    return false;
  const Resources All = limitedPart(Sum, Limit);
  return Limit.canFit(All) ||
         mayExceed(Limit,
                   plus(minus(All, limitedPart(Held, Limit)),
                        limitedPart(Running, Limit)),
                   Needed, Largest);
}

bool GrantPolicy::isPossible(const Resources &Limit, const Resources &Needed,
                             const Resources &Largest) {
  return Limit.canFit(limitedPart(Needed, Limit)) ||
         mayExceed(Limit, {}, Needed, Largest);
}

Resources GrantPolicy::firstStep(const Resources &Limit,
                                 const Resources &Refused) {
  return maxOf(Refused, dividedBy(Limit, FirstStepDivisor));
}

} // namespace dragonflylock
