#include "testfleet.h"

#include <gtest/gtest.h>

#include <csignal>
#include <future>
#include <thread>

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;

constexpr const char *Document = R"(
defaults:
  deadline: 2s
pools:
  - name: rota
routes:
  - prefix: /rota
    pool: rota
)";

class AtMostOnceTest : public ::testing::Test {
protected:
  AtMostOnceTest() : Fleet_(2) {
    Fleet_.configure(0, Document);
    Fleet_.waitReady(0);
    Fleet_.waitReady(1);
    // The instances are known once a request is answered.
    EXPECT_TRUE(TestFleet::eventually([&] {
      return Fleet_.get(0, "warm").Status_ == httpstatus::Ok &&
             Fleet_.get(1, "warm").Status_ == httpstatus::Ok;
    }));
  }

  std::future<HttpAnswer> postLater(std::size_t Index, const std::string &Id,
                                    const std::string &Key, int WorkMs) {
    return std::async(std::launch::async, [=, this] {
      return Fleet_.post(Index, Id, Key, WorkMs);
    });
  }
  static std::string outcome(const HttpAnswer &Answer) {
    return headerOf(Answer, "Dragonflylock-Outcome");
  }

  void TearDown() override { Fleet_.checkTraces(); }

  TestFleet Fleet_;
};

TEST_F(AtMostOnceTest, RepeatElsewhereGetsTheKeptAnswer) {
  EXPECT_EQ(Fleet_.post(0, "x", "key").Body_, "x\n");
  HttpAnswer Repeat = Fleet_.post(1, "x", "key");
  EXPECT_EQ(Repeat.Body_, "x\n");
  EXPECT_EQ(headerOf(Repeat, "Dragonflylock-Replayed"), "true");
  EXPECT_EQ(Fleet_.reads("x"), 1U);
}

TEST_F(AtMostOnceTest, TwoAtOnceAtTwoEntriesRunOnce) {
  auto First = postLater(0, "x", "key", 300);
  auto Second = postLater(1, "x", "key", 300);
  EXPECT_EQ(First.get().Body_, "x\n");
  EXPECT_EQ(Second.get().Body_, "x\n");
  EXPECT_EQ(Fleet_.reads("x"), 1U);
}

TEST_F(AtMostOnceTest, SameKeyWithAnotherBodyIsRefused) {
  Fleet_.post(0, "x", "key", 0, "{1}");
  HttpAnswer Other = Fleet_.post(1, "y", "key", 0, "{2}");
  EXPECT_EQ(Other.Status_, httpstatus::UnprocessableContent);
  EXPECT_EQ(outcome(Other), "not-run");
  EXPECT_EQ(Fleet_.reads("y"), 0U);
}

TEST_F(AtMostOnceTest, EndpointThatReadsAndClosesIsNotAskedAgain) {
  for (std::size_t Index = 0; Index < 3; ++Index)
    Fleet_.setInstanceFaults(Index, R"({"close":1})");
  HttpAnswer Answer = Fleet_.post(0, "x", "");
  EXPECT_EQ(outcome(Answer), "unknown");
  EXPECT_EQ(Fleet_.reads("x"), 1U);
}

TEST_F(AtMostOnceTest, KeyedRepeatOfALostAnswerIsToldUnknown) {
  for (std::size_t Index = 0; Index < 3; ++Index)
    Fleet_.setInstanceFaults(Index, R"({"close":1})");
  EXPECT_EQ(outcome(Fleet_.post(0, "x", "key")), "unknown");
  EXPECT_EQ(outcome(Fleet_.post(1, "x", "key")), "unknown");
  EXPECT_EQ(Fleet_.reads("x"), 1U);
}

TEST_F(AtMostOnceTest, AnswerAfterTheDeadlineIsUnknown) {
  HttpAnswer Late = Fleet_.post(0, "x", "key", 4'000);
  EXPECT_EQ(outcome(Late), "unknown");
  EXPECT_EQ(Late.Status_, httpstatus::GatewayTimeout);
  EXPECT_EQ(Fleet_.reads("x"), 1U);
}

TEST_F(AtMostOnceTest, EntryKilledBetweenOfferAndAnswer) {
  auto First = postLater(0, "x", "key", 1'500);
  EXPECT_TRUE(TestFleet::eventually([&] { return Fleet_.reads("x") == 1; }));
  Fleet_.entry(0).signal(SIGKILL);
  EXPECT_EQ(First.get().Status_, 0);
  EXPECT_EQ(outcome(Fleet_.post(1, "x", "key")), "unknown");
  EXPECT_EQ(Fleet_.reads("x"), 1U);
}

TEST_F(AtMostOnceTest, EntryKilledBetweenClaimAndOffer) {
  // The platform answers late, so that the claim is written and not known.
  Fleet_.setPlatformFaults(R"({"delay_ms":800})");
  auto First = postLater(0, "x", "key", 0);
  std::this_thread::sleep_for(milliseconds(400));
  Fleet_.entry(0).signal(SIGKILL);
  EXPECT_EQ(First.get().Status_, 0);
  Fleet_.setPlatformFaults("{}");
  std::string Repeat = outcome(Fleet_.post(1, "x", "key"));
  EXPECT_LE(Fleet_.reads("x"), 1U);
  EXPECT_NE(Repeat, "not-run");
}

TEST_F(AtMostOnceTest, FrozenHolderWakesAfterTheRepeat) {
  Fleet_.setPlatformFaults(R"({"delay_ms":800})");
  auto First = postLater(0, "x", "key", 0);
  std::this_thread::sleep_for(milliseconds(400));
  Fleet_.entry(0).signal(SIGSTOP);
  Fleet_.setPlatformFaults("{}");
  std::string Repeat = outcome(Fleet_.post(1, "x", "key"));
  std::this_thread::sleep_for(milliseconds(500));
  Fleet_.entry(0).signal(SIGCONT);
  std::string Woken = outcome(First.get());
  std::size_t Reads = Fleet_.reads("x");
  EXPECT_LE(Reads, 1U);
  if (Woken == "not-run")
    EXPECT_EQ(Reads, 0U);
  EXPECT_EQ(Repeat, "unknown");
}

TEST_F(AtMostOnceTest, TableDownRefusesKeyedWorkAndServesTheRest) {
  Fleet_.setPlatformFaults(R"({"mode":"down"})");
  HttpAnswer Keyed = Fleet_.post(0, "x", "key");
  EXPECT_EQ(Keyed.Status_, httpstatus::Unavailable);
  EXPECT_EQ(outcome(Keyed), "not-run");
  EXPECT_FALSE(headerOf(Keyed, "Retry-After").empty());
  EXPECT_EQ(Fleet_.reads("x"), 0U);
  EXPECT_EQ(Fleet_.get(0, "g").Status_, httpstatus::Ok);
  Fleet_.setPlatformFaults("{}");
  EXPECT_TRUE(TestFleet::eventually(
      [&] { return Fleet_.post(1, "x", "key").Status_ == httpstatus::Ok; }));
  EXPECT_EQ(Fleet_.reads("x"), 1U);
}

TEST_F(AtMostOnceTest, LostAnswerOfAClaimThatTookEffect) {
  Fleet_.setPlatformFaults(R"({"lose_writes":1})");
  HttpAnswer Answer = Fleet_.post(0, "x", "key");
  EXPECT_EQ(Answer.Body_, "x\n");
  EXPECT_EQ(Fleet_.reads("x"), 1U);
}

TEST_F(AtMostOnceTest, CutAnswerIsNotRelayed) {
  for (std::size_t Index = 0; Index < 3; ++Index)
    Fleet_.setInstanceFaults(Index, R"({"cut":1})");
  HttpAnswer Cut = Fleet_.post(0, "x", "");
  EXPECT_EQ(Cut.Status_, httpstatus::BadGateway);
  EXPECT_EQ(outcome(Cut), "unknown");
  EXPECT_EQ(Fleet_.reads("x"), 1U);
}

TEST_F(AtMostOnceTest, EqualBodiesOfTwoCallersGetTheirOwnAnswers) {
  auto First = postLater(0, "one", "", 300);
  auto Second = postLater(0, "two", "", 100);
  EXPECT_EQ(Second.get().Body_, "two\n");
  EXPECT_EQ(First.get().Body_, "one\n");
}

} // namespace
} // namespace dragonflylock
