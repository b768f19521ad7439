#include "scheduling/poolview.h"
#include "scheduling/runnumbers.h"
#include "scheduling/schedulernode.h"
#include "scheduling/tests/mocks/poolownertest.h"

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;

/// A long-running job on a pool with one worker.
class RunNumbersTest : public PoolOwnerTest {
protected:
  RunNumbersTest() {
    JobSpec Spec = servingJob();
    Spec.Steps_[0].TaskCount_ = 1;
    storeJob(Spec);
  }

  static ListedRun runningWith(RunNumber Number) {
    ListedRun Listed;
    Listed.Task_ = {JobId, 0, 0, 0};
    Listed.Run_ = Number;
    Listed.Percent_ = 100;
    return Listed;
  }

  static ListedEnd failureOf(RunNumber Number) {
    ListedEnd End;
    End.Sequence_ = 1;
    End.Task_ = {JobId, 0, 0, 0};
    End.Run_ = Number;
    return End;
  }

  /// Takes ownership and lets the task's run \p Number fail.
  void failRun(RunNumber Number) {
    takeOwnership(0, {worker("w1")});
    renewLease();
    answerHold(acceptedAnswer({}));
    ASSERT_EQ(Workers_.Starts_.size(), 1U);
    Workers_.takeStart().Done_({OrderOutcome::Accepted, WorkerClock(1000)});
    Owner_->tick();
    answerHold(acceptedAnswer({runningWith(Number)}));
    answerHold(acceptedAnswer({}, {failureOf(Number)}));
  }

  /// \returns a node that joins as the only one and becomes the pool's owner.
  std::unique_ptr<SchedulerNode> startNode(const std::string &Name) {
    return joinNode(Name, Name, {worker("w1")});
  }

  /// Runs the node until it sends a start order. Hold orders are answered with
  /// \p Lists.
  RecordingWorkers::Start awaitStart(SchedulerNode &Node,
                                     const HoldAnswer &Lists) {
    for (int Round = 0; Round < 400 && Workers_.Starts_.empty(); ++Round) {
      Clock_.advance(milliseconds(50));
      Node.tick();
      while (!Workers_.Holds_.empty())
        Workers_.takeHold().Done_(Lists);
    }
    EXPECT_FALSE(Workers_.Starts_.empty());
    return Workers_.Starts_.empty() ? RecordingWorkers::Start()
                                    : Workers_.takeStart();
  }
};

// Guards against a long-running task that is never started again (LOST): its
// runs had used up the run numbers of their owner, and workers refuse the next
// owner's lower numbers.
TEST_F(RunNumbersTest, NextOwnerStartsATaskThatUsedUpARangeOfRunNumbers) {
  auto First = startNode("node-1");
  RecordingWorkers::Start Start = awaitStart(*First, acceptedAnswer({}));
  Start.Done_({OrderOutcome::Accepted, WorkerClock(1000)});
  const RunNumber Last = runnumbers::lastOf(0);
  for (int Round = 0; Round < 100 && Workers_.Holds_.empty(); ++Round) {
    Clock_.advance(milliseconds(50));
    First->tick();
  }
  ASSERT_FALSE(Workers_.Holds_.empty());
  Workers_.takeHold().Done_(acceptedAnswer({runningWith(Last)}));
  Start = awaitStart(*First, acceptedAnswer({}, {failureOf(Last)}));
  EXPECT_EQ(Start.Order_.Run_, Last + 1);
  First->release();
  First.reset();
  Workers_.Holds_.clear();
  auto Second = startNode("node-2");
  EXPECT_GT(awaitStart(*Second, acceptedAnswer({})).Order_.Run_,
            Start.Order_.Run_);
}

// Guards against a task that is not started for minutes (LOST) because its
// worker knows of a much higher run number, for example from an owner of an
// earlier version, and each start is refused as stale.
TEST_F(RunNumbersTest, ATaskIsStartedSoonAfterStartsThatAreRefusedAsStale) {
  constexpr RunNumber Highest = 14013;
  constexpr milliseconds MaxDelay{6000};
  auto Node = startNode("node-1");
  RecordingWorkers::Start Start = awaitStart(*Node, acceptedAnswer({}));
  const TimePoint Begin = Clock_.now();
  while (Start.Order_.Run_ <= Highest && Clock_.now() < Begin + MaxDelay) {
    Start.Done_({OrderOutcome::StaleRun, WorkerClock(1000)});
    Start = awaitStart(*Node, acceptedAnswer({}));
  }
  EXPECT_GT(Start.Order_.Run_, Highest);
  // Afterwards the numbers rise by one again.
  Start.Done_({OrderOutcome::Accepted, WorkerClock(1000)});
  HoldAnswer Failed = acceptedAnswer({}, {failureOf(Start.Order_.Run_)});
  EXPECT_EQ(awaitStart(*Node, Failed).Order_.Run_, Start.Order_.Run_ + 1);
}

TEST_F(RunNumbersTest, RunNumbersAreRequestedBeforeTheyRunOut) {
  failRun(runnumbers::RangeSize / 2);
  EXPECT_EQ(Owner_->requestedRunNumberRange(), 1U);
  ASSERT_EQ(Workers_.Starts_.size(), 1U);
  EXPECT_EQ(Workers_.Starts_[0].Order_.Run_, runnumbers::RangeSize / 2 + 1);
}

TEST_F(RunNumbersTest, NoRunNumberIsUsedBeforeItIsReserved) {
  failRun(runnumbers::lastOf(0));
  EXPECT_TRUE(Workers_.Starts_.empty());
  Owner_->extendLease(Clock_.now() + std::chrono::hours(1), Token + 1, 1);
  Owner_->tick();
  ASSERT_EQ(Workers_.Starts_.size(), 1U);
  EXPECT_EQ(Workers_.Starts_[0].Order_.Run_, runnumbers::lastOf(0) + 1);
}

} // namespace
} // namespace dragonflylock
