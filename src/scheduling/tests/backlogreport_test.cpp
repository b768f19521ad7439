#include "scheduling/controlrows.h"
#include "scheduling/schedulernode.h"
#include "scheduling/tests/mocks/ownertest.h"
#include "scheduling/tests/mocks/testnode.h"

#include <gtest/gtest.h>

#include <cstdio>

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;

PoolBacklog someBacklog() {
  PoolBacklog Backlog;
  Backlog.MeasuredAt_ = milliseconds(1234567);
  Backlog.Speed_ = 12.5;
  Backlog.RunTimeFactor_ = 1.5;
  PriorityBacklog &Of = Backlog.Priorities_[2];
  Of.OnTime_.add(milliseconds(-20), 100);
  Of.OnTime_.add(milliseconds(250), 300);
  Of.Late_.add(milliseconds(-900), 400);
  Of.ArrivingPerSecond_.add(milliseconds(7000), 500);
  Of.FrontAge_ = milliseconds(20);
  Of.Running_ = 600;
  return Backlog;
}

// Guards against a report that changes on its way.
TEST(BacklogRowTest, IsDecodedAsItWasEncoded) {
  PendingRow Row{3, {{"queue", 4}}, someBacklog()};
  auto Read = controlrows::decodePending(controlrows::encode(Row));
  ASSERT_TRUE(Read);
  EXPECT_EQ(Read->Backlog_, Row.Backlog_);
  EXPECT_EQ(Read->Pending_, Row.Pending_);
}

// Guards against rows of earlier versions that are taken as a report.
TEST(BacklogRowTest, EarlierRowHasNone) {
  auto Read =
      controlrows::decodePending(R"({"pending":{"queue":4},"token":3})");
  ASSERT_TRUE(Read);
  EXPECT_FALSE(Read->Backlog_);
  EXPECT_EQ(controlrows::encode(*Read), R"({"pending":{"queue":4},"token":3})");
}

// Guards against the loss of the counts with an unreadable report.
TEST(BacklogRowTest, UnreadableBacklogLeavesTheCounts) {
  for (
      const char *Backlog :
      {"5", "{}", R"({"at-ms":1,"speed":2,"run-time":1,"priorities":{"x":{}}})",
       R"({"at-ms":1,"speed":2,"run-time":1,"priorities":{"1":{"on-time":[-1],"late":[],)"
       R"("arriving":[],"front-ms":0,"running":0}}})"}) {
    auto Read = controlrows::decodePending(
        R"({"pending":{"queue":4},"token":3,"backlog":)" +
        std::string(Backlog) + "}");
    ASSERT_TRUE(Read) << Backlog;
    EXPECT_FALSE(Read->Backlog_) << Backlog;
    EXPECT_EQ(Read->Pending_.at("queue"), 4U);
  }
}

class BacklogMeterTest : public OwnerTest {
protected:
  static JobSpec specOf(std::uint32_t Tasks, milliseconds Estimate) {
    StepSpec Step;
    Step.TaskCount_ = Tasks;
    Step.Estimate_ = Estimate;
    Step.PerTask_.CpuMillis_ = 1000;
    JobSpec Spec;
    Spec.Steps_ = {Step};
    return Spec;
  }
};

// Guards against refusals for the sake of work that was cancelled.
TEST_F(BacklogMeterTest, CancelledWorkLeavesTheNextReport) {
  storeJob(specOf(4, milliseconds(500)), "aa");
  storeJob(specOf(4, milliseconds(700)), "bb");
  const StoreKey Row = jobrows::keyOf("queue", "bb", JobRowKind::Cancellation);
  Store_.Rows_[Row] = {Row, "{}", ++Store_.Version_, false};
  takeOwnership(0, {workerOf("w", {1000, 1000, 0})});
  auto Backlog = Owner_->measureBacklog();
  ASSERT_TRUE(Backlog);
  EXPECT_EQ(Backlog->waiting(), 4 * 500);
}

// Guards against capacity that long-running tasks or later occurrences seem to
// take.
TEST_F(BacklogMeterTest, OnlyWorkThatDelaysOthersCounts) {
  JobSpec Endless = specOf(4, milliseconds(500));
  Endless.Steps_[0].IsLongRunning_ = true;
  storeJob(Endless, "aa");
  JobSpec Timed = specOf(2, milliseconds(500));
  Timed.OccurrenceCount_ = 1;
  Timed.FirstDue_ = milliseconds(millisecondsSinceEpoch(Clock_.wallNow())) +
                    milliseconds(60000);
  storeJob(Timed, "bb");
  takeOwnership(0, {workerOf("w", {1000, 1000, 0})});
  EXPECT_FALSE(Owner_->measureBacklog());
}

// Guards against a report that costs more than its share of a small node.
TEST_F(BacklogMeterTest, LargeBacklogIsMeasuredInLittleTime) {
  constexpr int Jobs = 3000;
  for (int Job = 0; Job < Jobs; ++Job)
    storeJob(specOf(4, milliseconds(500)), std::to_string(100000 + Job));
  takeOwnership(0, {workerOf("w", {1000, 1000, 0})});
  ASSERT_TRUE(Owner_->measureBacklog());
  const auto Start = std::chrono::steady_clock::now();
  for (int Round = 0; Round < 10; ++Round)
    ASSERT_TRUE(Owner_->measureBacklog());
  const std::chrono::duration<double, std::micro> Took =
      std::chrono::steady_clock::now() - Start;
  std::printf("one measurement of %d jobs: %.0f us\n", Jobs, Took.count() / 10);
  // Loose, since the machine that runs the tests may be busy.
  EXPECT_LT(Took.count() / 10 / Jobs, 50);
}

/// A node that owns the pool "pool", which has no workers.
class BacklogWritesTest : public testing::Test {
protected:
  /// \returns the number of writes of the pending row in 5 s.
  std::size_t writesOf(bool RefusesUnderPressure, milliseconds Estimate) {
    ManualClock Clock;
    EventRecorder Logger;
    InstantStore Store;
    RecordingWorkers Workers;
    AcceptingMachines Machines;
    RecordingAdvisor Advisor;
    SchedulingSettings Settings;
    Settings.Node_ = "node-1";
    Settings.RefusesUnderPressure_ = RefusesUnderPressure;
    auto Node = nodeBuilder(Clock, Store, Workers, Machines, Advisor, Logger)
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
    Node->onConfiguration(Configuration);
    Node->tick();
    StepSpec Step;
    Step.Estimate_ = Estimate;
    Step.PerTask_.CpuMillis_ = 1000;
    JobSpec Spec;
    Spec.Steps_ = {Step};
    Node->jobRequests().submit(Queue, "aa", Spec, milliseconds(1000),
                               [](const JobResponse &) {});
    for (int Round = 0; Round < 100; ++Round) {
      Clock.advance(milliseconds(50));
      Node->tick();
    }
    const StoreKey Row = controlrows::pending("pool");
    LastRow_ = Store.Rows_[Row].Value_;
    return Store.Calls_[Row];
  }

  std::string LastRow_;
};

// Guards against writes and bytes that a pool without a backlog costs.
TEST_F(BacklogWritesTest, NoBacklogCostsNothing) {
  const std::size_t Before = writesOf(false, milliseconds(0));
  const std::string RowBefore = LastRow_;
  EXPECT_EQ(writesOf(true, milliseconds(0)), Before);
  EXPECT_EQ(LastRow_, RowBefore);
  EXPECT_EQ(writesOf(false, milliseconds(500)), Before);
  EXPECT_EQ(LastRow_, RowBefore);
}

// Guards against a backlog that readers drop as too old, and against one that
// is written more often than it changes.
TEST_F(BacklogWritesTest, UnchangedBacklogIsWrittenAgainBeforeItIsTooOld) {
  const std::size_t Writes = writesOf(true, milliseconds(500));
  EXPECT_NE(LastRow_.find("backlog"), std::string::npos);
  EXPECT_GE(Writes, 3U);
  EXPECT_LE(Writes, 5U);
}

/// A node that owns the pool "pool" with one worker of one core.
class PressureTest : public OwnerTest {
protected:
  PressureTest() {
    Settings_.Node_ = "node-1";
    Settings_.RefusesUnderPressure_ = true;
    Queue_.Stretch_ = 1.6;
    // The stored jobs are still on time when the last one is submitted; it
    // would go before late ones.
    Queue_.TargetLatency_ = milliseconds(6000);
    Node_ = nodeBuilder(Clock_, Store_, Workers_, Machines_, Advisor_, Logger_)
                .settings(Settings_)
                .process("process-1")
                .build();
    SchedulingConfiguration Configuration;
    Configuration.Version_ = 1;
    Configuration.Queues_ = {Queue_};
    Configuration.Pools_ = {{"pool", true, false}};
    Node_->onConfiguration(Configuration);
    Node_->onWorkerSnapshot({workerOf("w", {1000, 1000, 0})});
    Node_->tick();
  }

  JobResponse submit(const std::string &Job) {
    StepSpec Step;
    Step.Estimate_ = milliseconds(500);
    Step.PerTask_.CpuMillis_ = 1000;
    JobSpec Spec;
    Spec.Steps_ = {Step};
    JobResponse Last;
    Node_->jobRequests().submit(
        Queue_, Job, Spec, milliseconds(1000),
        [&](const JobResponse &Response) { Last = Response; });
    return Last;
  }

  /// Lets \p Time pass, in which the worker answers but ends nothing.
  void run(milliseconds Time) {
    for (milliseconds Passed{0}; Passed < Time; Passed += milliseconds(50)) {
      Clock_.advance(milliseconds(50));
      Node_->tick();
      while (!Workers_.Holds_.empty()) {
        HoldAnswer Answer = acceptedAnswer({});
        Answer.Clock_ = WorkerClock(1000) + Passed;
        Workers_.takeHold().Done_(Answer);
      }
    }
  }

  std::unique_ptr<SchedulerNode> Node_;
};

// Guards against a part of the way from the owner's jobs to the caller's answer
// that is not connected.
TEST_F(PressureTest, FullPoolRefusesAtOnceUntilItsReportIsTooOld) {
  for (int Job = 0; Job < 100; ++Job)
    ASSERT_EQ(submit(std::to_string(Job)).Outcome_,
              JobRequestOutcome::Accepted);
  run(milliseconds(5000));
  const auto Row = Store_.Rows_[controlrows::pending("pool")];
  auto Read = controlrows::decodePending(Row.Value_);
  ASSERT_TRUE(Read && Read->Backlog_);
  EXPECT_NEAR(Read->Backlog_->Speed_, 1, 0.01);
  EXPECT_GE(Read->Backlog_->waiting(), 99 * 500);
  const JobResponse Refused = submit("aa");
  EXPECT_EQ(Refused.Outcome_, JobRequestOutcome::Refused);
  EXPECT_GE(Refused.RetryAfter_, milliseconds(1000));
  // The node's own backlog counts no longer than that of another node.
  Clock_.advance(milliseconds(3100));
  EXPECT_EQ(submit("bb").Outcome_, JobRequestOutcome::Accepted);
}

} // namespace
} // namespace dragonflylock
