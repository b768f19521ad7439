#include "scheduling/controlrows.h"
#include "scheduling/jobrowcodec.h"
#include "scheduling/jobrows.h"
#include "scheduling/poolview.h"
#include "scheduling/schedulernode.h"
#include "scheduling/tests/mocks/fakefleet.h"
#include "scheduling/tests/mocks/testnode.h"

#include <gtest/gtest.h>

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;

constexpr FencingToken Token = 5;

/// Fixture with a node that does not own the pool.
class SchedulerNodeTest : public testing::Test {
protected:
  void start() {
    SchedulingSettings Settings;
    Settings.Node_ = "node-1";
    Node_ = nodeBuilder(Clock_, Store_, Workers_, Machines_, Advisor_, Logger_)
                .settings(Settings)
                .process("process-1")
                .build();
    SchedulingConfiguration Configuration;
    Configuration.Version_ = 1;
    QueueSetting Queue;
    Queue.Name_ = "queue";
    Queue.Pool_ = "pool";
    Configuration.Queues_ = {Queue};
    Configuration.Pools_ = {{"pool", true, false}};
    Node_->onConfiguration(Configuration);
    Node_->tick();
  }

  void put(const StoreKey &Name, const std::string &Value) {
    Store_.Rows_[Name] = {Name, Value, ++Store_.Version_, false};
  }

  void putOwner(FencingToken OwnerToken) {
    OwnerRow Owner;
    Owner.Holder_ = "node-2";
    Owner.Process_ = "process-2";
    Owner.Token_ = OwnerToken;
    Owner.Renewals_ = 3;
    put(controlrows::owner("pool"), controlrows::encode(Owner));
  }

  void putPendingCount(FencingToken OwnerToken, std::uint64_t Count) {
    PendingRow Row;
    Row.Token_ = OwnerToken;
    Row.Pending_["queue"] = Count;
    put(controlrows::pending("pool"), controlrows::encode(Row));
  }

  ManualClock Clock_;
  EventRecorder Logger_;
  InstantStore Store_;
  RecordingWorkers Workers_;
  AcceptingMachines Machines_;
  RecordingAdvisor Advisor_;
  std::unique_ptr<SchedulerNode> Node_;
};

TEST_F(SchedulerNodeTest, LogsWhenConfigurationBecomesOutdatedAndCurrent) {
  start();
  Node_->onConfigurationsRead(Clock_.now());
  Node_->tick();
  Logger_.Events_.clear();
  Clock_.advance(SchedulingSettings().ConfigurationDelay_ + milliseconds(1));
  Node_->tick();
  Node_->tick();
  Node_->onConfigurationsRead(Clock_.now());
  Node_->tick();
  std::erase_if(Logger_.Events_, [](const std::string &Event) {
    return !Event.starts_with("configuration.");
  });
  EXPECT_EQ(Logger_.Events_,
            (std::vector<std::string>{"configuration.outdated",
                                      "configuration.current"}));
}

TEST_F(SchedulerNodeTest, ReportsPendingCountOfCurrentOwner) {
  putOwner(Token);
  putPendingCount(Token, 9);
  start();
  EXPECT_EQ(Node_->pendingJobCount("queue"), 9U);
}

TEST_F(SchedulerNodeTest, IgnoresPendingCountOfPreviousOwner) {
  putOwner(Token + 1);
  putPendingCount(Token, 9);
  start();
  EXPECT_EQ(Node_->pendingJobCount("queue"), std::nullopt);
}

TEST_F(SchedulerNodeTest, ReportsNoPendingCountWhilePoolHasNoOwner) {
  putOwner(Token);
  putPendingCount(Token, 9);
  start();
  Clock_.advance(milliseconds(4000));
  EXPECT_EQ(Node_->pendingJobCount("queue"), std::nullopt);
}

TEST_F(SchedulerNodeTest, StoresThePolicyOfTheQueueWithTheJob) {
  start();
  QueueSetting Queue;
  Queue.Name_ = "queue";
  Queue.Pool_ = "pool";
  Queue.Priority_ = 2;
  Queue.MaxFailedRuns_ = 5;
  Queue.Stretch_ = 1.6;
  Queue.TargetLatency_ = milliseconds(600);
  Queue.NeedsAdvice_ = true;
  JobSpec Spec;
  Spec.Steps_ = {StepSpec()};
  Node_->jobRequests().submit(Queue, "aa", Spec, milliseconds(1000),
                              [](const JobResponse &) {});
  StoreKey Row = jobrows::keyOf("queue", "aa", JobRowKind::Submission);
  auto Stored = jobrowcodec::decode(Store_.Rows_[Row].Value_);
  ASSERT_TRUE(Stored);
  EXPECT_EQ(Stored.value().Policy_, QueuePolicy(Queue));
}

TEST_F(SchedulerNodeTest, OwnerLearnsOfJobsInAQueueOfASkippedConfiguration) {
  // This node has the configuration that has the queue, its pool's next owner
  // only gets one that no longer has it.
  start();
  QueueSetting Added;
  Added.Name_ = "added";
  Added.Pool_ = "pool";
  JobSpec Spec;
  Spec.Steps_ = {StepSpec()};
  JobRequestOutcome Outcome = JobRequestOutcome::Unknown;
  Node_->jobRequests().submit(
      Added, "aa", Spec, milliseconds(1000),
      [&](const JobResponse &Response) { Outcome = Response.Outcome_; });
  ASSERT_EQ(Outcome, JobRequestOutcome::Accepted);
  Node_.reset();
  start();
  for (int Round = 0; Round < 100; ++Round) {
    Clock_.advance(milliseconds(50));
    Node_->tick();
  }
  ASSERT_EQ(Node_->pools().size(), 1U);
  EXPECT_EQ(Node_->pools().front().Jobs_, 1U);
}

} // namespace
} // namespace dragonflylock
