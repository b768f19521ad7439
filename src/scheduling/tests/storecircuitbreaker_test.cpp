#include "scheduling/jobrequesthandler.h"
#include "scheduling/jobrows.h"
#include "scheduling/queuedirectory.h"
#include "scheduling/storecircuitbreaker.h"
#include "scheduling/tests/mocks/fakefleet.h"

#include <gtest/gtest.h>

#include <vector>

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;

TEST(StoreCircuitBreakerTest, OpensOnlyAfterFailuresForSomeTime) {
  StoreCircuitBreaker Breaker;
  TimePoint Now{milliseconds(1000)};
  for (int Call = 0; Call < 20; ++Call)
    Breaker.record(StoreOutcome::NotDone, Now);
  EXPECT_FALSE(Breaker.isOpen(Now));
  EXPECT_TRUE(Breaker.isOpen(Now + StoreCircuitBreaker::FailureDuration));
}

TEST(StoreCircuitBreakerTest, StaysClosedWhileSomeCallsSucceed) {
  StoreCircuitBreaker Breaker;
  TimePoint Now{milliseconds(1000)};
  for (int Round = 0; Round < 10; ++Round) {
    for (int Call = 0; Call < 9; ++Call)
      Breaker.record(StoreOutcome::NotDone, Now);
    Breaker.record(StoreOutcome::ConditionFailed, Now);
    Now += StoreCircuitBreaker::FailureDuration;
    EXPECT_TRUE(Breaker.admit(Now));
  }
}

TEST(StoreCircuitBreakerTest, OldFailuresDoNotKeepItOpen) {
  StoreCircuitBreaker Breaker;
  TimePoint Now{milliseconds(1000)};
  for (int Call = 0; Call < 3; ++Call)
    Breaker.record(StoreOutcome::NotDone, Now);
  Now += milliseconds(10000);
  EXPECT_TRUE(Breaker.admit(Now));
  EXPECT_TRUE(Breaker.admit(Now));
}

TEST(StoreCircuitBreakerTest, AdmitsOneProbeForEachInterval) {
  StoreCircuitBreaker Breaker;
  TimePoint Now{milliseconds(1000)};
  for (int Call = 0; Call < 3; ++Call)
    Breaker.record(StoreOutcome::Unknown, Now);
  Now += StoreCircuitBreaker::FailureDuration;
  int Admitted = 0;
  for (int Call = 0; Call < 100; ++Call, Now += milliseconds(10))
    if (Breaker.admit(Now)) {
      ++Admitted;
      Breaker.record(StoreOutcome::Unknown, Now);
    }
  EXPECT_EQ(Admitted, 5);
  Now += milliseconds(10);
  Breaker.record(StoreOutcome::Done, Now);
  EXPECT_TRUE(Breaker.admit(Now));
  EXPECT_TRUE(Breaker.admit(Now));
}

/// Callers that submit a job every 20 ms, most of them while the store refuses
/// all calls.
class SubmissionsWithoutStoreTest : public testing::Test {
protected:
  struct Submission {
    TimePoint SentAt_;
    std::optional<TimePoint> AnsweredAt_;
    JobResponse Response_;
  };

  SubmissionsWithoutStoreTest() {
    Queue_.Name_ = "queue";
    Queue_.Pool_ = "pool";
    Queues_.add("pool", "queue");
    Handler_ = std::make_shared<JobRequestHandler>(
        Store_, Clock_, Logger_, Queues_,
        [](const std::string &) { return std::nullopt; });
  }

  void submitFor(milliseconds Length) {
    constexpr milliseconds Step{20};
    for (milliseconds Passed{0}; Passed < Length; Passed += Step) {
      auto Each = std::make_shared<Submission>();
      Each->SentAt_ = Clock_.now();
      Submissions_.push_back(Each);
      JobSpec Spec;
      Spec.Steps_ = {StepSpec()};
      Handler_->submit(Queue_, std::to_string(Submissions_.size()), Spec,
                       milliseconds(3000),
                       [this, Each](const JobResponse &Response) {
                         Each->AnsweredAt_ = Clock_.now();
                         Each->Response_ = Response;
                       });
      Clock_.advance(Step);
      Handler_->tick();
    }
  }

  ManualClock Clock_;
  SilentLogger Logger_;
  InstantStore Store_;
  QueueDirectory Queues_;
  QueueSetting Queue_;
  std::shared_ptr<JobRequestHandler> Handler_;
  std::vector<std::shared_ptr<Submission>> Submissions_;
};

TEST_F(SubmissionsWithoutStoreTest, AreRefusedAtOnceOnceTheStoreIsAway) {
  // A quarter of the objective of short jobs, in which a refusal counts as
  // early.
  constexpr milliseconds Early{150};
  Store_.Outcome_ = StoreOutcome::NotDone;
  submitFor(milliseconds(4000));
  std::size_t Late = 0;
  for (const auto &Each : Submissions_) {
    if (Each->SentAt_ < Submissions_.front()->SentAt_ + milliseconds(1000))
      continue;
    if (!Each->AnsweredAt_) {
      ++Late; // A probe that is still being retried.
      continue;
    }
    EXPECT_EQ(Each->Response_.Outcome_, JobRequestOutcome::Refused);
    EXPECT_GT(Each->Response_.RetryAfter_, milliseconds(0));
    Late += *Each->AnsweredAt_ > Each->SentAt_ + Early ? 1 : 0;
  }
  EXPECT_EQ(Late, 0U);
}

TEST_F(SubmissionsWithoutStoreTest, AreAcceptedAgainWhenTheStoreIsBack) {
  Store_.Outcome_ = StoreOutcome::NotDone;
  submitFor(milliseconds(2000));
  Store_.Outcome_ = StoreOutcome::Done;
  submitFor(milliseconds(400));
  const std::size_t Before = Submissions_.size();
  submitFor(milliseconds(400));
  for (std::size_t Each = Before; Each < Submissions_.size(); ++Each)
    EXPECT_EQ(Submissions_[Each]->Response_.Outcome_,
              JobRequestOutcome::Accepted);
}

TEST_F(SubmissionsWithoutStoreTest, AreNotSaidToBeRefusedIfTheyMayBeStored) {
  Store_.Outcome_ = StoreOutcome::Unknown;
  submitFor(milliseconds(4000));
  for (const auto &Each : Submissions_) {
    const StoreKey Row =
        jobrows::keyOf("queue", std::to_string(&Each - Submissions_.data() + 1),
                       JobRowKind::Submission);
    const bool WasWritten = Store_.Calls_.contains(Row);
    if (Each->AnsweredAt_ && WasWritten)
      EXPECT_EQ(Each->Response_.Outcome_, JobRequestOutcome::Unknown);
  }
}

} // namespace
} // namespace dragonflylock
