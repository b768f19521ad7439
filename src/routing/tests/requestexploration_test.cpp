#include "routing/tests/mocks/enginedriver.h"

#include <gtest/gtest.h>

#include <iostream>
#include <set>
#include <vector>

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;

/// What can happen next to a request in flight.
enum class Event {
  Unoffered,
  Lost,
  Truncated,
  Timeout,
  Whole,
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

/// Replays a sequence of events on one request and checks the promises.
class Replay {
public:
  Replay(const std::string &Method, const std::string &Key)
      : IsIdempotent_(Method == "GET"), IsKeyed_(!Key.empty()) {
    Driver_.request(Method, Key);
    check();
  }

  /// \returns whether the event could happen in this state.
  bool apply(Event Next) {
    bool HasOffer = Driver_.offers().size() > Ended_;
    bool HasClaim = IsKeyed_ && !IsClaimEnded_;
    switch (Next) {
    case Event::Unoffered:
      return HasOffer && end(AnswerFault::Lost, false, 0);
    case Event::Lost:
      return HasOffer && end(AnswerFault::Lost, true, 0);
    case Event::Truncated:
      return HasOffer && end(AnswerFault::Truncated, true, 0);
    case Event::Timeout:
      return HasOffer && end(AnswerFault::Timeout, true, 0);
    case Event::Whole:
      return HasOffer && end(AnswerFault::None, true, 200);
    case Event::Unavailable:
      return HasOffer && end(AnswerFault::None, true, 503);
    case Event::ClaimGranted:
      return HasClaim && endClaim(ClaimOutcome::Granted);
    case Event::ClaimKept:
      return HasClaim && endClaim(ClaimOutcome::ResponseStored);
    case Event::ClaimUnknown:
      return HasClaim && endClaim(ClaimOutcome::Unknown);
    case Event::ClaimUnavailable:
      return HasClaim && endClaim(ClaimOutcome::Unavailable);
    case Event::DeadlinePasses:
      Driver_.advance(milliseconds(11'000));
      break;
    case Event::FirstLeaves:
      leave("w1");
      break;
    case Event::SecondLeaves:
      leave("w2");
      break;
    case Event::FirstRestarts:
      Driver_.restart("w1");
      Left_.erase("w1");
      break;
    }
    check();
    return true;
  }

private:
  bool end(AnswerFault Fault, bool WasOffered, int Status) {
    ++Ended_;
    Reached_ += WasOffered ? 1 : 0;
    Driver_.endOffer(Fault, WasOffered, Status);
    check();
    return true;
  }
  bool endClaim(ClaimOutcome Verdict) {
    IsClaimEnded_ = true;
    IsGranted_ = Verdict == ClaimOutcome::Granted;
    Driver_.endClaim(Verdict);
    check();
    return true;
  }
  void leave(const std::string &Id) {
    Driver_.leave(Id);
    Left_.insert(Id);
  }

  void check() {
    std::size_t Offers = Driver_.offers().size();
    EXPECT_LE(Driver_.ends(), 1U) << "answered twice";
    EXPECT_LE(Offers, Ended_ + 1) << "two offers at a time";
    if (!IsIdempotent_ && Reached_ > 0)
      EXPECT_EQ(Offers, Ended_) << "offered again after it may have run";
    if (IsKeyed_ && !IsGranted_)
      EXPECT_EQ(Offers, 0U) << "offered without a claim";
    if (Offers > SeenOffers_)
      EXPECT_FALSE(Left_.contains(Driver_.offers().back().Instance_));
    SeenOffers_ = Offers;
    bool IsNotRun = !Driver_.failures().empty() &&
                    Driver_.failure().Outcome_ == Outcome::NotRun;
    if (IsNotRun)
      EXPECT_EQ(Reached_, 0U) << "told not-run after it may have run";
    if (IsNotRun && IsKeyed_)
      EXPECT_TRUE(IsClaimEnded_) << "told not-run with the key's state unknown";
    if (Driver_.ends() == 1 && IsGranted_)
      EXPECT_EQ(Driver_.settlements().size(), 1U) << "claim not settled";
  }

  EngineDriver Driver_;
  bool IsIdempotent_;
  bool IsKeyed_;
  bool IsClaimEnded_ = false;
  bool IsGranted_ = false;
  std::size_t Ended_ = 0;
  std::size_t Reached_ = 0;
  std::size_t SeenOffers_ = 0;
  std::set<std::string> Left_;
};

class Exploration {
public:
  Exploration(std::string Method, std::string Key)
      : Method_(std::move(Method)), Key_(std::move(Key)) {}

  void explore(int Depth) {
    if (Depth == 0)
      return;
    for (int Number = 0; Number < EventCount; ++Number) {
      Path_.push_back(static_cast<Event>(Number));
      if (replay())
        explore(Depth - 1);
      Path_.pop_back();
    }
  }
  std::uint64_t paths() const { return Paths_; }

private:
  bool replay() {
    Replay Fresh(Method_, Key_);
    for (Event Next : Path_) {
      if (!Fresh.apply(Next))
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

TEST(RequestExploration, KeepsThePromisesOnEveryPath) {
  constexpr int Depth = 6;
  std::uint64_t Paths = 0;
  for (const char *Method : {"GET", "POST"}) {
    for (const char *Key : {"", "key"}) {
      bool IsKeyedGet = std::string(Method) == "GET" && *Key != '\0';
      if (IsKeyedGet)
        continue;
      Exploration Run(Method, Key);
      Run.explore(Depth);
      Paths += Run.paths();
    }
  }
  std::cout << "paths seen: " << Paths << "\n";
  EXPECT_GT(Paths, 10'000U);
}

} // namespace
} // namespace dragonflylock
