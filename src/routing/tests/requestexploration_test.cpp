#include "routing/tests/mocks/enginedriver.h"

#include <gtest/gtest.h>

#include <iostream>
#include <set>
#include <vector>

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;

/// What can happen to a request until it ends.
enum class Event {
  NotSent,
  Lost,
  Truncated,
  Timeout,
  Complete,
  Unavailable,
  ClaimGranted,
  ClaimKept,
  ClaimUnknown,
  ClaimUnavailable,
  DeadlinePasses,
  FirstLeaves,
  SecondLeaves,
  FirstRestarts,
};
constexpr int EventCount = static_cast<int>(Event::FirstRestarts) + 1;

/// Applies a sequence of events to one request and checks the invariants after
/// each: at most one final action, one offer at a time, no second offer of a
/// request that is not idempotent and may have run, no offer without a claim
/// or to a leaving instance, not-run reported only where it is certain, and
/// each granted claim settled exactly once.
class EventSequence {
public:
  EventSequence(const std::string &Method, const std::string &Key)
      : IsIdempotent_(Method == "GET"), IsKeyed_(!Key.empty()) {
    Driver_.request(Method, Key);
    check();
  }

  /// \returns whether the event could happen in this state.
  bool apply(Event Next) {
    bool HasPendingOffer = Driver_.offers().size() > EndedOffers_;
    bool HasPendingClaim = IsKeyed_ && !IsClaimEnded_;
    switch (Next) {
    case Event::NotSent:
      return HasPendingOffer && applyOfferResult(AnswerFault::Lost, false, 0);
    case Event::Lost:
      return HasPendingOffer && applyOfferResult(AnswerFault::Lost, true, 0);
    case Event::Truncated:
      return HasPendingOffer &&
             applyOfferResult(AnswerFault::Truncated, true, 0);
    case Event::Timeout:
      return HasPendingOffer && applyOfferResult(AnswerFault::Timeout, true, 0);
    case Event::Complete:
      return HasPendingOffer && applyOfferResult(AnswerFault::None, true, 200);
    case Event::Unavailable:
      return HasPendingOffer && applyOfferResult(AnswerFault::None, true, 503);
    case Event::ClaimGranted:
      return HasPendingClaim && endClaim(ClaimOutcome::Granted);
    case Event::ClaimKept:
      return HasPendingClaim && endClaim(ClaimOutcome::ResponseStored);
    case Event::ClaimUnknown:
      return HasPendingClaim && endClaim(ClaimOutcome::Unknown);
    case Event::ClaimUnavailable:
      return HasPendingClaim && endClaim(ClaimOutcome::Unavailable);
    case Event::DeadlinePasses:
      Driver_.advance(milliseconds(11'000));
      break;
    case Event::FirstLeaves:
      markLeaving("w1");
      break;
    case Event::SecondLeaves:
      markLeaving("w2");
      break;
    case Event::FirstRestarts:
      Driver_.restart("w1");
      LeavingInstances_.erase("w1");
      break;
    }
    check();
    return true;
  }

private:
  bool applyOfferResult(AnswerFault Fault, bool MayHaveBeenSent, int Status) {
    ++EndedOffers_;
    SentOffers_ += MayHaveBeenSent ? 1 : 0;
    Driver_.endOffer(Fault, MayHaveBeenSent, Status);
    check();
    return true;
  }
  bool endClaim(ClaimOutcome OutcomeOfClaim) {
    IsClaimEnded_ = true;
    IsClaimGranted_ = OutcomeOfClaim == ClaimOutcome::Granted;
    Driver_.endClaim(OutcomeOfClaim);
    check();
    return true;
  }
  void markLeaving(const std::string &Id) {
    Driver_.markLeaving(Id);
    LeavingInstances_.insert(Id);
  }

  void check() {
    std::size_t Offers = Driver_.offers().size();
    EXPECT_LE(Driver_.finishedRequests(), 1U) << "answered twice";
    EXPECT_LE(Offers, EndedOffers_ + 1) << "two offers at a time";
    if (!IsIdempotent_ && SentOffers_ > 0)
      EXPECT_EQ(Offers, EndedOffers_) << "offered again after it may have run";
    if (IsKeyed_ && !IsClaimGranted_)
      EXPECT_EQ(Offers, 0U) << "offered without a claim";
    if (Offers > SeenOffers_)
      EXPECT_FALSE(
          LeavingInstances_.contains(Driver_.offers().back().Instance_));
    SeenOffers_ = Offers;
    bool IsNotRun = !Driver_.failures().empty() &&
                    Driver_.lastFailure().Outcome_ == Outcome::NotRun;
    if (IsNotRun)
      EXPECT_EQ(SentOffers_, 0U) << "reported not-run after it may have run";
    if (IsNotRun && IsKeyed_)
      EXPECT_TRUE(IsClaimEnded_)
          << "reported not-run with the key's state unknown";
    if (Driver_.finishedRequests() == 1 && IsClaimGranted_)
      EXPECT_EQ(Driver_.settlements().size(), 1U) << "claim not settled";
  }

  EngineDriver Driver_;
  bool IsIdempotent_;
  bool IsKeyed_;
  bool IsClaimEnded_ = false;
  bool IsClaimGranted_ = false;
  std::size_t EndedOffers_ = 0;
  std::size_t SentOffers_ = 0;
  std::size_t SeenOffers_ = 0;
  std::set<std::string> LeavingInstances_;
};

/// Applies every possible sequence of events up to a given length, each to a
/// new request.
class PathExplorer {
public:
  PathExplorer(std::string Method, std::string Key)
      : Method_(std::move(Method)), Key_(std::move(Key)) {}

  void explore(int Depth) {
    if (Depth == 0)
      return;
    for (int Number = 0; Number < EventCount; ++Number) {
      Path_.push_back(static_cast<Event>(Number));
      if (runPath())
        explore(Depth - 1);
      Path_.pop_back();
    }
  }
  std::uint64_t paths() const { return Paths_; }

private:
  bool runPath() {
    EventSequence Sequence(Method_, Key_);
    for (Event Next : Path_) {
      if (!Sequence.apply(Next))
        return false;
    }
    ++Paths_;
    return true;
  }

  std::string Method_;
  std::string Key_;
  std::vector<Event> Path_;
  std::uint64_t Paths_ = 0;
};

TEST(RequestExploration, HoldsTheInvariantsOnEveryPath) {
  constexpr int Depth = 6;
  std::uint64_t Paths = 0;
  for (const char *Method : {"GET", "POST"}) {
    for (const char *Key : {"", "key"}) {
      bool IsKeyedGet = std::string(Method) == "GET" && *Key != '\0';
      if (IsKeyedGet)
        continue;
      PathExplorer Run(Method, Key);
      Run.explore(Depth);
      Paths += Run.paths();
    }
  }
  std::cout << "paths explored: " << Paths << "\n";
  EXPECT_GT(Paths, 10'000U);
}

} // namespace
} // namespace dragonflylock
