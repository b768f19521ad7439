#include "testfleet.h"

#include <gtest/gtest.h>

#include <csignal>

namespace dragonflylock {
namespace {

constexpr const char *Document = R"(
defaults:
  deadline: 20s
pools:
  - name: rota
routes:
  - prefix: /rota
    pool: rota
)";

class JobsTest : public ::testing::Test {
protected:
  JobsTest() : Fleet_(2) {
    Fleet_.configure(0, Document);
    Fleet_.waitReady(0);
    Fleet_.waitReady(1);
  }
  void TearDown() override { Fleet_.checkTraces(); }

  /// Orders a job at entry \p Index.
  /// \returns where to ask for it.
  std::string order(std::size_t Index, const std::string &Method,
                    const std::string &Id, int WorkMs,
                    const std::string &Key = "") {
    HttpRequest Request{Method, "/rota/mending", {}, "{}"};
    Request.Headers_ = {{"X-Load-Id", Id},
                        {"X-Work-Ms", std::to_string(WorkMs)},
                        {"Prefer", "respond-async"}};
    if (!Key.empty())
      Request.Headers_.push_back({"Idempotency-Key", Key});
    HttpAnswer Answer = Fleet_.send(Index, Request);
    EXPECT_EQ(Answer.Status_, httpstatus::Accepted) << Answer.Body_;
    return headerOf(Answer, "Location");
  }
  /// Asks entry \p Index until the job has ended.
  HttpAnswer waitForEnd(std::size_t Index, const std::string &Location) {
    HttpAnswer Answer;
    EXPECT_TRUE(TestFleet::eventually([&] {
      Answer = Fleet_.send(Index, {"GET", Location, {}, {}});
      return Answer.Status_ != 0 && Answer.Status_ != httpstatus::Accepted &&
             Answer.Status_ != httpstatus::Unavailable;
    }));
    return Answer;
  }

  TestFleet Fleet_;
};

TEST_F(JobsTest, RunsToItsAnswerWhichAnyEntryGives) {
  std::string Location = order(0, "POST", "x", 300, "key");
  EXPECT_EQ(order(1, "POST", "x", 300, "key"), Location);
  EXPECT_EQ(waitForEnd(1, Location).Body_, "x\n");
  EXPECT_EQ(Fleet_.reads("x"), 1U);
}

TEST_F(JobsTest, AnotherEntryTakesUpWhatAKilledOneLeft) {
  // Whichever entry runs the job is killed; the other one ends it.
  std::string Location = order(0, "PUT", "x", 2'000);
  EXPECT_TRUE(TestFleet::eventually([&] { return Fleet_.reads("x") == 1; }));
  Fleet_.entry(0).signal(SIGKILL);
  HttpAnswer Answer = waitForEnd(1, Location);
  EXPECT_EQ(Answer.Body_, "x\n");
  EXPECT_GE(Fleet_.reads("x"), 1U);
}

TEST_F(JobsTest, NonIdempotentJobOfAKilledEntryEndsAsTold) {
  std::string Location = order(0, "POST", "x", 2'000);
  EXPECT_TRUE(TestFleet::eventually([&] { return Fleet_.reads("x") == 1; }));
  Fleet_.entry(0).signal(SIGKILL);
  Fleet_.startEntry(0);
  HttpAnswer Answer = waitForEnd(1, Location);
  bool IsAnswered = Answer.Body_ == "x\n";
  bool IsToldUnknown = headerOf(Answer, "Dragonflylock-Outcome") == "unknown";
  EXPECT_TRUE(IsAnswered || IsToldUnknown) << Answer.Body_;
  EXPECT_EQ(Fleet_.reads("x"), 1U);
}

TEST_F(JobsTest, CancelledJobEndsAtOnce) {
  std::string Location = order(0, "POST", "x", 10'000);
  HttpAnswer Cancelled = Fleet_.send(1, {"DELETE", Location, {}, {}});
  EXPECT_EQ(headerOf(Cancelled, "Dragonflylock-Job"), "cancelled");
  EXPECT_EQ(headerOf(waitForEnd(0, Location), "Dragonflylock-Job"),
            "cancelled");
}

TEST_F(JobsTest, OrderWhileTheTableIsDownIsNotRun) {
  Fleet_.setPlatformFaults(R"({"mode":"refuse"})");
  HttpRequest Request{"POST",
                      "/rota/mending",
                      {{"X-Load-Id", "x"}, {"Prefer", "respond-async"}},
                      "{}"};
  HttpAnswer Answer = Fleet_.send(0, Request);
  EXPECT_EQ(headerOf(Answer, "Dragonflylock-Outcome"), "not-run");
  EXPECT_EQ(Fleet_.reads("x"), 0U);
}

} // namespace
} // namespace dragonflylock
