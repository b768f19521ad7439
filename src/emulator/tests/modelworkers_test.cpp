#include "emulator/modelworkers.h"
#include "emulator/simulation.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <optional>

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;
using testing::ElementsAre;
using testing::HasSubstr;
using testing::IsEmpty;

constexpr milliseconds MaxLeaseDuration{6000};
constexpr milliseconds CallDuration{10};
constexpr milliseconds LongEstimate{60000};
/// A time that is far ahead on the clock of any lifetime.
constexpr WorkerClock FarDeadline{1000000000};
constexpr milliseconds Downtime{300};
/// By then, orders that were held up have been carried out.
constexpr milliseconds AllDelivered{5000};

class ModelWorkersTest : public testing::Test {
protected:
  ModelWorkersTest() {
    Workers_.addWorker("pool0", {16000, 32768, 0});
    ObservedJob &Job = Checker_.job(Task_.Job_);
    Job.Pool_ = "pool0";
    Job.UnrefusedSubmissions_ = 1;
    StepSpec Step;
    Step.TaskCount_ = 2;
    Step.PerTask_ = {1000, 1000, 0};
    Step.Estimate_ = LongEstimate;
    Job.Spec_.Steps_ = {Step};
    run(CallDuration);
  }

  ModelWorker &worker() { return Workers_.workers()["w0"]; }
  WorkerTarget target() { return {"w0", worker().Entry_.Address_}; }
  WorkerClock leaseLeft() {
    return worker().LeaseEnd_ - Workers_.clockOf(worker());
  }

  void run(milliseconds Duration) {
    Simulation_.runUntil(Simulation_.elapsed() + Duration);
  }

  StartOrder startOrder(RunNumber Run, WorkerClock Deadline) {
    StartOrder Order;
    Order.Task_ = Task_;
    Order.Run_ = Run;
    Order.LeaseEnd_ = Deadline;
    Order.Token_ = Token_;
    return Order;
  }

  void start(const StartOrder &Order) {
    StartAnswer_.reset();
    Workers_.start(
        "n0", Respond_, target(), Order,
        [this](const OrderAnswer &Answer) { StartAnswer_ = Answer; });
  }

  void hold(WorkerClock Deadline, std::uint64_t AcknowledgedEnd = 0,
            milliseconds Wait = milliseconds(0)) {
    HoldAnswer_.reset();
    HoldOrder Order;
    Order.Token_ = Token_;
    Order.LeaseEnd_ = Deadline;
    Order.AcknowledgedEnd_ = AcknowledgedEnd;
    Order.Wait_ = Wait;
    Workers_.hold("n0", Respond_, target(), Order,
                  [this](const HoldAnswer &Answer) { HoldAnswer_ = Answer; });
  }

  /// Lets the worker crash, with all orders on their way held up.
  void beginCrash() {
    Workers_.delivery().HoldUpProbability_ = 1;
    worker().IsCrashing_ = true;
  }

  const TaskName Task_{"000000000000000d", 0, 0, 0};
  FencingToken Token_ = 7;
  Simulation Simulation_{1};
  InvariantChecker Checker_{Simulation_};
  ModelWorkers Workers_{Simulation_, Checker_};
  const ModelWorkers::Responder Respond_ =
      [](const std::function<void()> &Next) { Next(); };
  std::optional<OrderAnswer> StartAnswer_;
  std::optional<HoldAnswer> HoldAnswer_;
};

TEST_F(ModelWorkersTest, StartGrantsAtMostTheMaximumLease) {
  start(startOrder(1, FarDeadline));
  run(CallDuration);
  ASSERT_TRUE(StartAnswer_);
  EXPECT_EQ(StartAnswer_->Outcome_, OrderOutcome::Accepted);
  EXPECT_LE(leaseLeft(), MaxLeaseDuration);
  EXPECT_GT(leaseLeft(), MaxLeaseDuration - CallDuration);
}

TEST_F(ModelWorkersTest, StaleStartGrantsALease) {
  worker().EndedRuns_[Task_] = 1;
  start(startOrder(1, FarDeadline));
  run(CallDuration);
  ASSERT_TRUE(StartAnswer_);
  EXPECT_EQ(StartAnswer_->Outcome_, OrderOutcome::StaleRun);
  EXPECT_GT(leaseLeft(), MaxLeaseDuration - CallDuration);
}

TEST_F(ModelWorkersTest, StartWithoutRoomGrantsALease) {
  worker().Entry_.Capacity_ = {};
  start(startOrder(1, FarDeadline));
  run(CallDuration);
  ASSERT_TRUE(StartAnswer_);
  EXPECT_EQ(StartAnswer_->Outcome_, OrderOutcome::NoRoom);
  EXPECT_GT(leaseLeft(), MaxLeaseDuration - CallDuration);
}

TEST_F(ModelWorkersTest, RunsEndWhenTheLeaseExpires) {
  start(startOrder(1, FarDeadline));
  run(CallDuration);
  EXPECT_EQ(worker().Running_.size(), 1U);
  run(MaxLeaseDuration * 102 / 100 + CallDuration);
  EXPECT_TRUE(worker().Running_.empty());
  ASSERT_EQ(worker().UnacknowledgedEnds_.size(), 1U);
  EXPECT_EQ(worker().UnacknowledgedEnds_[0].Kind_, EndKind::LeaseExpired);
}

TEST_F(ModelWorkersTest, EachLifetimeHasAClockOfItsOwn) {
  int Ahead = 0;
  constexpr int Lifetimes = 100;
  for (int Lifetime = 0; Lifetime < Lifetimes; ++Lifetime) {
    WorkerClock Former = Workers_.clockOf(worker());
    Workers_.restart("w0", Downtime);
    run(Downtime + CallDuration);
    Ahead += Workers_.clockOf(worker()) > Former ? 1 : 0;
  }
  EXPECT_GT(Ahead, Lifetimes / 4);
  EXPECT_LT(Ahead, Lifetimes * 3 / 4);
}

TEST_F(ModelWorkersTest, HoldSentBeforeACrashReachesTheLaterLifetime) {
  start(startOrder(1, FarDeadline));
  run(CallDuration);
  beginCrash();
  hold(FarDeadline, /*AcknowledgedEnd=*/1);
  Workers_.crash("w0", Downtime);
  run(Downtime + CallDuration);
  worker().UnacknowledgedEnds_ = {{1, Task_, 1, EndKind::Failed, ""}};
  run(AllDelivered);
  EXPECT_EQ(worker().Token_, Token_);
  EXPECT_TRUE(worker().UnacknowledgedEnds_.empty());
  EXPECT_GT(worker().LeaseEnd_, WorkerClock(0));
}

TEST_F(ModelWorkersTest, HoldThatWaitsDuringACrashReachesTheLaterLifetime) {
  Workers_.delivery().HoldUpProbability_ = 1;
  hold(FarDeadline, 0, milliseconds(2000));
  run(CallDuration);
  Workers_.crashUnnoticed("w0", Downtime, milliseconds(0));
  EXPECT_EQ(worker().Token_, 0U);
  run(AllDelivered);
  EXPECT_EQ(worker().Token_, Token_);
}

TEST_F(ModelWorkersTest, StartSentDuringADowntimeRunsOnTheLaterLifetime) {
  beginCrash();
  Workers_.crash("w0", Downtime);
  start(startOrder(1, FarDeadline));
  run(Downtime + AllDelivered);
  EXPECT_EQ(worker().EndedRuns_.count(Task_) + worker().Running_.size(), 1U);
}

TEST_F(ModelWorkersTest, StopSentDuringADowntimeReachesTheLaterLifetime) {
  beginCrash();
  Workers_.crash("w0", Downtime);
  Workers_.stop("n0", Respond_, target(), Task_, 3, Token_,
                [](const OrderAnswer &) {});
  run(Downtime + AllDelivered);
  EXPECT_EQ(worker().EndedRuns_[Task_], 3U);
}

TEST_F(ModelWorkersTest, HeldUpOrderIsAnsweredOnce) {
  beginCrash();
  Workers_.crash("w0", milliseconds(0));
  int Answers = 0;
  for (int Order = 0; Order < 20; ++Order)
    Workers_.pace("n0", Respond_, target(), Token_,
                  [&Answers](const OrderAnswer &) { ++Answers; });
  run(AllDelivered);
  EXPECT_EQ(Answers, 20);
}

TEST_F(ModelWorkersTest, OrdersDoNotFollowAWorkerToItsNewAddress) {
  beginCrash();
  hold(FarDeadline);
  run(CallDuration);
  Workers_.move({.Machine_ = "m0", .Holder_ = "n0", .Token_ = 1}, "pool1");
  run(AllDelivered);
  EXPECT_TRUE(worker().IsUp_);
  EXPECT_EQ(worker().Token_, 0U);
}

TEST_F(ModelWorkersTest, LateHoldIsCarriedOutLater) {
  Workers_.delivery().LateProbability_ = 1;
  hold(FarDeadline);
  run(CallDuration);
  EXPECT_EQ(worker().Token_, 0U);
  run(milliseconds(10000));
  EXPECT_EQ(worker().Token_, Token_);
  ASSERT_TRUE(HoldAnswer_);
}

TEST_F(ModelWorkersTest, PaceWithALowerTokenIsRefused) {
  worker().Token_ = Token_ + 1;
  std::optional<OrderAnswer> Answer;
  Workers_.pace("n0", Respond_, target(), Token_,
                [&Answer](const OrderAnswer &Each) { Answer = Each; });
  run(CallDuration);
  ASSERT_TRUE(Answer);
  EXPECT_EQ(Answer->Outcome_, OrderOutcome::Fenced);
}

TEST_F(ModelWorkersTest, RegistryListsTheFormerLifetimeAfterAnUnnoticedCrash) {
  const std::string Former = worker().Entry_.lifetime();
  Workers_.crashUnnoticed("w0", Downtime, milliseconds(500));
  run(Downtime + CallDuration);
  ASSERT_NE(worker().Entry_.lifetime(), Former);
  EXPECT_EQ(Workers_.registeredEntries().at(0).lifetime(), Former);
  run(milliseconds(500));
  EXPECT_EQ(Workers_.registeredEntries().at(0).lifetime(),
            worker().Entry_.lifetime());
}

TEST_F(ModelWorkersTest, EndAcknowledgedAfterTheLeaseExpiredDoesNotCount) {
  Checker_.job(Task_.Job_).Spec_.Steps_[0].Estimate_ = milliseconds(10);
  start(startOrder(1, FarDeadline));
  run(MaxLeaseDuration * 102 / 100 + CallDuration * 3);
  hold(FarDeadline, 1);
  run(CallDuration);
  EXPECT_THAT(Checker_.job(Task_.Job_).AcknowledgedAt_, IsEmpty());
}

TEST_F(ModelWorkersTest, ReportsAnEarlierRunThatStartsBesideALaterOne) {
  start(startOrder(2, FarDeadline));
  run(CallDuration);
  start(startOrder(1, FarDeadline));
  run(CallDuration);
  EXPECT_THAT(Simulation_.violations(), ElementsAre(HasSubstr("TWICE")));
}

} // namespace
} // namespace dragonflylock
