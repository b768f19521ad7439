#include "scheduling/tests/mocks/returnedworkerstest.h"

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;

/// The time after its return at which the worker carries out the late order.
class LateOrderTest : public ReturnedWorkersTest,
                      public testing::WithParamInterface<int> {
protected:
  milliseconds delay() const { return milliseconds(GetParam()); }

  /// Starts the task on the later lifetime of w1.
  void startOnLaterLifetime() {
    restart();
    Clock_.advance(milliseconds(600));
    renewLease();
    Owner_->onWorkers({returnedWorker()});
    constexpr int MaxRounds = 100;
    for (int Round = 0; Round < MaxRounds && Workers_.Starts_.empty();
         ++Round) {
      Clock_.advance(Step);
      tickTwice();
      serve(*Later_);
      for (; !Workers_.Stops_.empty(); Workers_.Stops_.pop_front())
        Workers_.Stops_.front().Done_({OrderOutcome::Accepted, WorkerClock(0)});
    }
    ASSERT_EQ(Workers_.Starts_.size(), 1U);
    RecordingWorkers::Start Start = Workers_.takeStart();
    Start.Done_(Later_->carryOut(Start.Order_));
    Owner_->tick();
    ASSERT_TRUE(Later_->isRunning(task()));
  }

  /// Keeps the later lifetime's lease alive until the late order arrives.
  void serveUntilLateOrder() {
    for (milliseconds Passed{0}; Passed < delay(); Passed += Step) {
      Clock_.advance(Step);
      Owner_->tick();
      if (Passed % milliseconds(500) == milliseconds(0))
        serve(*Later_);
    }
  }
};

// Guards against two runs of a task when a worker carries out a hold that was
// sent to its former lifetime.
TEST_P(LateOrderTest, HoldForFormerLifetimeDoesNotProlongRunsOfTheLaterOne) {
  startOnFormerLifetime();
  RecordingWorkers::Start First = Workers_.takeStart();
  First.Done_(Former_->carryOut(First.Order_));
  Clock_.advance(milliseconds(100));
  Owner_->tick();
  ASSERT_EQ(Workers_.Holds_.size(), 1U);
  RecordingWorkers::Hold Late = Workers_.takeHold();
  startOnLaterLifetime();
  serveUntilLateOrder();
  Later_->carryOut(Late.Order_);
  Late.Done_(HoldAnswer());
  expectNoStartWhileItRuns({returnedWorker()});
}

// Guards against the same by a start that was sent to the former lifetime.
TEST_P(LateOrderTest, StartForFormerLifetimeDoesNotProlongRunsOfTheLaterOne) {
  // The order arrives later than any order should.
  Settings_.MaxOrderDelay_ = milliseconds(100);
  startOnFormerLifetime();
  RecordingWorkers::Start Late = Workers_.takeStart();
  Late.Done_({OrderOutcome::Unknown, WorkerClock(0)});
  startOnLaterLifetime();
  serveUntilLateOrder();
  Later_->carryOut(Late.Order_);
  expectNoStartWhileItRuns({returnedWorker()});
}

INSTANTIATE_TEST_SUITE_P(Milliseconds, LateOrderTest,
                         testing::Values(240, 1300, 8000));

// Guards against two runs of a task that the later lifetime started by an order
// for the former one, if it is cut off before its return is known.
TEST_F(ReturnedWorkersTest,
       StartConfirmedByUnknownLifetimeLastsAsLongAsAnyLease) {
  startOnFormerLifetime();
  restart();
  Clock_.advance(milliseconds(300));
  RecordingWorkers::Start Start = Workers_.takeStart();
  Start.Done_(Later_->carryOut(Start.Order_));
  ASSERT_TRUE(Later_->isRunning(task()));
  Owner_->tick();
  failHolds();
  expectNoStartWhileItRuns({});
}

// Guards against the same if the later lifetime has answered a hold as well.
TEST_F(ReturnedWorkersTest,
       StartConfirmedByUnknownLifetimeIsNotReleasedWithTheFormerOne) {
  startOnFormerLifetime();
  restart();
  Clock_.advance(milliseconds(300));
  RecordingWorkers::Start Start = Workers_.takeStart();
  Start.Done_(Later_->carryOut(Start.Order_));
  Owner_->tick();
  serve(*Later_);
  expectNoStartWhileItRuns({});
}

// Guards against a list of machines that was read before the worker returned.
TEST_F(ReturnedWorkersTest,
       StartConfirmedAfterTheMachineWasListedAsDownIsNotReleased) {
  startOnFormerLifetime();
  Machine Down;
  Down.Name_ = worker("w1").Machine_;
  Down.Pool_ = "pool";
  Down.State_ = MachineState::Down;
  Machines_.List_ = {true, {Down}};
  restart();
  for (int Round = 0; Round < 5; ++Round) {
    Clock_.advance(milliseconds(100));
    Owner_->tick();
    failHolds();
  }
  RecordingWorkers::Start Start = Workers_.takeStart();
  Start.Done_(Later_->carryOut(Start.Order_));
  Machines_.DelaysLists_ = true;
  expectNoStartWhileItRuns({});
}

// Guards against a pool that waits for a former lifetime after a takeover.
TEST_F(ReturnedWorkersTest, FormerLifetimeIsDeclaredSilentForTheNextOwner) {
  takeOwnership(0, {worker("w1")});
  Former_.emplace(Clock_, milliseconds(5), FormerClock);
  serve(*Former_);
  Owner_->onWorkers({returnedWorker()});
  tickTwice();
  auto Roster = controlrows::decodeRoster(
      Store_.Rows_[controlrows::roster("pool")].Value_);
  ASSERT_TRUE(Roster);
  EXPECT_TRUE(Roster->Silent_.contains(worker("w1").lifetime()));
  EXPECT_FALSE(Roster->Silent_.contains(returnedWorker().lifetime()));
}

// Guards against the loss of a worker whose time of day was set back.
TEST_F(ReturnedWorkersTest, WorkerWithAnEarlierStartTimeThanBeforeIsUsed) {
  storeJob(jobOf(1));
  WorkerEntry Busy = returnedWorker();
  Busy.State_ = WorkerState::Draining;
  takeOwnership(0, {Busy});
  Former_.emplace(Clock_, LaterBorn, FormerClock);
  serve(*Former_);
  Later_.emplace(Clock_, milliseconds(5), LaterClock);
  renewLease();
  for (int Round = 0; Round < 100 && Workers_.Starts_.empty(); ++Round) {
    Owner_->onWorkers({worker("w1")});
    Clock_.advance(milliseconds(100));
    tickTwice();
    serve(*Later_);
  }
  EXPECT_EQ(Workers_.Starts_.size(), 1U);
}

/// Takeover of a pool whose previous owner has used the former lifetime of w1.
class ReturnedWorkerTakeoverTest : public ReturnedWorkersTest {
protected:
  ReturnedWorkerTakeoverTest() {
    storeJob(jobOf(1));
    storeRoster({worker("w1")});
    Later_.emplace(Clock_, LaterBorn, LaterClock);
    StartOrder Late;
    Late.Task_ = task();
    Late.Run_ = 3;
    Late.LeaseEnd_ = FormerClock;
    Late.Token_ = Token - 1;
    Later_->carryOut(Late);
  }

  void answerAllHolds() {
    answerHolds([this](const RecordingWorkers::Hold &Each) {
      return Each.Target_.Id_ == "w1" ? Later_->carryOut(Each.Order_)
                                      : acceptedAnswer({});
    });
  }
};

// Guards against two runs of a task that a start of the previous owner began on
// a lifetime which that owner did not know.
TEST_F(ReturnedWorkerTakeoverTest,
       NextOwnerAsksTheLaterLifetimeForRunsOfItsPredecessor) {
  takeOwnership(1, {worker("w1"), worker("w2")});
  answerAllHolds();
  tickTwice();
  EXPECT_TRUE(Workers_.Starts_.empty());
  renewLease();
  Owner_->onWorkers({returnedWorker(), worker("w2")});
  for (int Round = 0; Round < 10; ++Round) {
    Clock_.advance(milliseconds(50));
    tickTwice();
    answerAllHolds();
  }
  EXPECT_TRUE(Later_->isRunning(task()));
  EXPECT_TRUE(Workers_.Starts_.empty());
}

TEST_F(ReturnedWorkerTakeoverTest,
       NextOwnerWaitsForALaterLifetimeThatDoesNotAnswer) {
  takeOwnership(1, {returnedWorker()});
  failHolds();
  expectNoStartWhileItRuns({returnedWorker()});
}

} // namespace
} // namespace dragonflylock
