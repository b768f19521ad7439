#include "scheduling/jobprogress.h"
#include "scheduling/jobrowcodec.h"
#include "scheduling/jobrows.h"

#include <gtest/gtest.h>

namespace dragonflylock {
namespace {

JobSpec twoSteps() {
  JobSpec Spec;
  Spec.Payload_ = "payload";
  StepSpec First;
  First.TaskCount_ = 3;
  First.PerTask_ = {500, 256, 1};
  First.DisruptionBudget_ = 0;
  StepSpec Second;
  Second.TaskCount_ = 2;
  Second.After_ = {0};
  Second.IsLongRunning_ = true;
  Spec.Steps_ = {First, Second};
  return Spec;
}

TEST(JobProgressTest, RoundTripsThroughItsRow) {
  JobProgress Progress(twoSteps());
  Progress.setState(JobPhase::Running);
  Progress.task({"j", 0, 0, 1}).IsDone_ = true;
  Progress.task({"j", 0, 0, 2}).recordFailure(4);
  Progress.task({"j", 0, 1, 0}).Checkpoint_ = "c7";
  JobProgress Read(twoSteps());
  ASSERT_TRUE(Read.decode(Progress.encode()));
  EXPECT_EQ(Read.state(), JobPhase::Running);
  EXPECT_TRUE(Read.task({"j", 0, 0, 1}).IsDone_);
  EXPECT_EQ(Read.task({"j", 0, 0, 2}).FailedRuns_, std::vector<RunNumber>{4});
  EXPECT_EQ(Read.task({"j", 0, 1, 0}).Checkpoint_, "c7");
}

TEST(JobProgressTest, RecordsAFailedRunOnce) {
  TaskProgress Task;
  Task.recordFailure(3);
  Task.recordFailure(3);
  EXPECT_EQ(Task.FailedRuns_.size(), 1U);
}

TEST(JobProgressTest, MergeDoesNotDependOnOrder) {
  JobProgress Left(twoSteps());
  JobProgress Right(twoSteps());
  Left.task({"j", 0, 0, 0}).IsDone_ = true;
  Right.task({"j", 0, 0, 1}).IsDone_ = true;
  Right.task({"j", 0, 0, 2}).recordFailure(9);
  JobProgress LeftFirst = Left;
  LeftFirst.merge(Right);
  JobProgress RightFirst = Right;
  RightFirst.merge(Left);
  EXPECT_EQ(LeftFirst.encode(), RightFirst.encode());
}

TEST(JobProgressTest, MalformedRowLeavesProgressUnchanged) {
  JobProgress Progress(twoSteps());
  Progress.task({"j", 0, 0, 0}).IsDone_ = true;
  std::string Before = Progress.encode();
  for (const char *Damaged :
       {"", "[]", "{\"state\":\"odd\"}", "{\"state\":1}",
        "{\"state\":\"running\",\"failed\":{\"0.0\":{\"0\":\"x\"}}}"})
    EXPECT_FALSE(Progress.decode(Damaged)) << Damaged;
  EXPECT_EQ(Progress.encode(), Before);
}

TEST(JobRowCodecTest, RoundTripsThroughItsRow) {
  SubmittedJob Job;
  Job.Queue_ = "queue";
  Job.Pool_ = "pool";
  Job.Spec_ = twoSteps();
  Job.AcceptedAt_ = std::chrono::milliseconds(77);
  auto Read = jobrowcodec::decode(jobrowcodec::encode(Job));
  ASSERT_TRUE(Read);
  EXPECT_EQ(jobrowcodec::encode(Read.value()), jobrowcodec::encode(Job));
  EXPECT_EQ(Read.value().Spec_.Steps_[0].DisruptionBudget_, 0U);
  EXPECT_FALSE(Read.value().Spec_.Steps_[1].DisruptionBudget_);
}

TEST(JobRowCodecTest, RejectsMalformedRows) {
  EXPECT_FALSE(jobrowcodec::decode("{}"));
  EXPECT_FALSE(jobrowcodec::decode("{\"queue\":1}"));
}

TEST(JobRowsTest, RowKeysIdentifyJobAndKind) {
  for (JobRowKind Kind : {JobRowKind::Submission, JobRowKind::Progress,
                          JobRowKind::Cancellation}) {
    StoreKey Row = jobrows::keyOf("queue", "abc", Kind);
    EXPECT_EQ(jobrows::jobOf(Row), "abc");
    EXPECT_EQ(jobrows::kindOf(Row), Kind);
    EXPECT_LT(Row.Key_, jobrows::endKeyOf("abc"));
  }
  EXPECT_FALSE(jobrows::kindOf({"t", "p", "abc"}));
}

TEST(TaskNameTest, ParsesItsOwnText) {
  TaskName Name{"00aa", 1, 2, 30};
  EXPECT_EQ(TaskName::parse(Name.text()), Name);
  for (const char *Other : {"", "a.1.2", "a.1.2.x", "a.1.2.99999999999"})
    EXPECT_FALSE(TaskName::parse(Other)) << Other;
}

} // namespace
} // namespace dragonflylock
