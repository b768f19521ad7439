#include "limits/grantrow.h"
#include "limits/limitledger.h"
#include "scheduling/jobrowcodec.h"
#include "scheduling/jobrows.h"
#include "scheduling/poolview.h"
#include "scheduling/schedulernode.h"
#include "scheduling/tests/mocks/fakefleet.h"
#include "scheduling/tests/mocks/testnode.h"

#include <gtest/gtest.h>

#include <utility>

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;

/// A node that owns the pool "pool" with one large worker, and customers whose
/// jobs are in the queue "queue".
class LimitedNodeTest : public testing::Test {
protected:
  static constexpr std::int64_t Core = 1000;

  void storeJob(const std::string &Id, const std::string &Customer,
                std::uint32_t Tasks) {
    SubmittedJob Job;
    Job.Queue_ = "queue";
    Job.Pool_ = "pool";
    Job.Spec_.Customer_ = Customer;
    StepSpec Step;
    Step.TaskCount_ = Tasks;
    Step.PerTask_ = {Core, 1, 0};
    Job.Spec_.Steps_ = {Step};
    const StoreKey Row = jobrows::keyOf("queue", Id, JobRowKind::Submission);
    Store_.Rows_[Row] = {Row, jobrowcodec::encode(Job), ++Store_.Version_,
                         false};
  }

  void start(bool HasLimits) {
    SchedulingSettings Settings;
    Settings.Node_ = "node-1";
    auto Builder =
        nodeBuilder(Clock_, Store_, Workers_, Machines_, Advisor_, Logger_);
    Builder.settings(Settings).process("process-1");
    if (HasLimits) {
      Limits_ = LimitLedger::create(Settings, Store_, Clock_, Logger_);
      Builder.limits(*Limits_);
    }
    Node_ = Builder.build();
    SchedulingConfiguration Configuration;
    Configuration.Version_ = 1;
    QueueSetting Queue;
    Queue.Name_ = "queue";
    Queue.Pool_ = "pool";
    Configuration.Queues_ = {Queue};
    Configuration.Pools_ = {{"pool", true, false}};
    Customer Limited;
    Limited.Name_ = "acme";
    Limited.Limit_ = {2 * Core, 0, 0};
    Configuration.Customers_ = {Limited};
    Node_->onConfiguration(Configuration);
    WorkerEntry Worker;
    Worker.Id_ = "w1";
    Worker.Pool_ = "pool";
    Worker.Address_ = {"10.0.0.1", 80};
    Worker.Born_ = milliseconds(5);
    Worker.Capacity_ = {100 * Core, 100000, 0};
    Node_->onWorkerSnapshot({Worker});
  }

  /// Plays \p Time. The worker accepts all orders, and its tasks run for good.
  void play(milliseconds Time) {
    for (milliseconds Passed{0}; Passed < Time; Passed += milliseconds(40)) {
      Clock_.advance(milliseconds(40));
      Node_->tick();
      while (!Workers_.Starts_.empty()) {
        auto Order = Workers_.takeStart();
        Running_.push_back({Order.Order_.Task_, Order.Order_.Run_});
        OrderAnswer Answer;
        Answer.Outcome_ = OrderOutcome::Accepted;
        Answer.Clock_ = WorkerClock(1000);
        Order.Done_(Answer);
      }
      while (!Workers_.Holds_.empty()) {
        HoldAnswer Answer;
        Answer.Outcome_ = OrderOutcome::Accepted;
        Answer.Clock_ = WorkerClock(1000);
        Answer.Born_ = milliseconds(5);
        for (const auto &[Task, Run] : Running_) {
          ListedRun Listed;
          Listed.Task_ = Task;
          Listed.Run_ = Run;
          Answer.Running_.push_back(Listed);
        }
        Workers_.takeHold().Done_(Answer);
      }
    }
  }

  std::size_t limitCalls() const {
    std::size_t Count = 0;
    for (const auto &[Key, Calls] : Store_.Calls_)
      Count += Key.Key_.starts_with(grantrows::Prefix) ? Calls : 0;
    return Count;
  }

  ManualClock Clock_;
  EventRecorder Logger_;
  InstantStore Store_;
  RecordingWorkers Workers_;
  AcceptingMachines Machines_;
  RecordingAdvisor Advisor_;
  std::shared_ptr<LimitLedger> Limits_;
  std::unique_ptr<SchedulerNode> Node_;
  std::vector<std::pair<TaskName, RunNumber>> Running_;
};

// Guards against a ledger that the node does not ask, or that learns neither of
// its pools nor of what runs.
TEST_F(LimitedNodeTest, StartsUpToTheLimit) {
  storeJob("00000000000000aa", "acme", 6);
  storeJob("00000000000000bb", "birch", 3);
  storeJob("00000000000000cc", "", 1);
  start(/*HasLimits=*/true);
  play(milliseconds(6000));
  ASSERT_EQ(Node_->pools().size(), 1U);
  std::map<std::string, int> StartsOf;
  for (const auto &[Task, Run] : Running_)
    ++StartsOf[Task.Job_];
  EXPECT_EQ(StartsOf["00000000000000aa"], 2);
  EXPECT_EQ(StartsOf["00000000000000bb"], 3);
  EXPECT_EQ(StartsOf["00000000000000cc"], 1);
  EXPECT_LE(limitCalls(), 2U);
}

// Guards against calls or rows of the limits where the settings do not ask for
// them.
TEST_F(LimitedNodeTest, WithoutLimitsNothingIsHeldBackOrStored) {
  storeJob("00000000000000aa", "acme", 6);
  start(/*HasLimits=*/false);
  play(milliseconds(6000));
  EXPECT_EQ(Running_.size(), 6U);
  EXPECT_EQ(limitCalls(), 0U);
}

// Guards against calls for deployments whose customers have no limits.
TEST_F(LimitedNodeTest, JobsWithoutALimitedCustomerCostNoCalls) {
  storeJob("00000000000000bb", "birch", 3);
  storeJob("00000000000000cc", "", 4);
  start(/*HasLimits=*/true);
  play(milliseconds(6000));
  EXPECT_EQ(Running_.size(), 7U);
  EXPECT_EQ(limitCalls(), 0U);
}

} // namespace
} // namespace dragonflylock
