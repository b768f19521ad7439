#include "emulator/invariantchecker.h"
#include "emulator/simulation.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace dragonflylock {
namespace {

using testing::ElementsAre;
using testing::HasSubstr;
using testing::IsEmpty;

class InvariantCheckerTest : public testing::Test {
protected:
  InvariantCheckerTest() {
    ObservedJob &Job = Checker_.job(Id_);
    Job.Pool_ = Worker_.Pool_;
    Job.Spec_.Payload_ = "payload";
    Job.Spec_.Steps_ = {StepSpec()};
  }

  void startTask() {
    Checker_.onStart(Worker_, Task_, "payload", Simulation_.now());
  }
  void endTask() {
    Checker_.onEnd(Worker_.lifetime(), Task_, 1, EndKind::Done);
  }

  const std::string Id_ = "000000000000000d";
  const TaskName Task_{Id_, 0, 0, 0};
  WorkerEntry Worker_{.Id_ = "w1", .Pool_ = "pool0"};
  Simulation Simulation_{1};
  InvariantChecker Checker_{Simulation_};
};

TEST_F(InvariantCheckerTest, LateRefusalDoesNotCountForALaterSubmission) {
  Checker_.onSubmitted(Id_);
  Checker_.onSubmitted(Id_);
  Checker_.onRefused(Id_);
  Checker_.onAccepted(Id_);
  startTask();
  EXPECT_THAT(Simulation_.violations(), IsEmpty());
}

TEST_F(InvariantCheckerTest,
       ReportsStartAfterOverlappingSubmissionsWereRefused) {
  Checker_.onSubmitted(Id_);
  Checker_.onSubmitted(Id_);
  Checker_.onRefused(Id_);
  Checker_.onRefused(Id_);
  startTask();
  EXPECT_THAT(Simulation_.violations(), ElementsAre(HasSubstr("REFUSED")));
}

TEST_F(InvariantCheckerTest, AllowsStartWhileASubmissionHasNoResponse) {
  Checker_.onSubmitted(Id_);
  Checker_.onRefused(Id_);
  Checker_.onSubmitted(Id_);
  startTask();
  EXPECT_THAT(Simulation_.violations(), IsEmpty());
}

TEST_F(InvariantCheckerTest, ReportsRefusalOfAJobThatHasStarted) {
  Checker_.onSubmitted(Id_);
  startTask();
  Checker_.onRefused(Id_);
  EXPECT_THAT(Simulation_.violations(), ElementsAre(HasSubstr("REFUSED")));
}

TEST_F(InvariantCheckerTest, RefusedCancellationDoesNotSettleAnEarlierOne) {
  Checker_.onAccepted(Id_);
  Checker_.onCancellationSent(Id_);
  Checker_.onCancellationSent(Id_);
  Checker_.onCancellationSettled(Id_, false);
  Checker_.checkAllJobsEnded();
  EXPECT_THAT(Simulation_.violations(), IsEmpty());
}

TEST_F(InvariantCheckerTest, ReportsJobThatEndsNeitherCompletedNorCancelled) {
  Checker_.onAccepted(Id_);
  Checker_.onCancellationSent(Id_);
  Checker_.onCancellationSettled(Id_, false);
  Checker_.checkAllJobsEnded();
  EXPECT_THAT(Simulation_.violations(), ElementsAre(HasSubstr("LOST")));
}

TEST_F(InvariantCheckerTest, RepeatedCancellationDoesNotAllowLaterStarts) {
  Checker_.onSubmitted(Id_);
  Checker_.onCancellationSent(Id_);
  Checker_.onCancellationSettled(Id_, true);
  Simulation_.runUntil(std::chrono::milliseconds(3500));
  Checker_.onCancellationSent(Id_);
  Checker_.onCancellationSettled(Id_, true);
  startTask();
  EXPECT_THAT(Simulation_.violations(), ElementsAre(HasSubstr("UNASKED")));
}

TEST_F(InvariantCheckerTest, AllowsLateStartOrderedBeforeTheCancellation) {
  Checker_.onSubmitted(Id_);
  const TimePoint OrderedAt = Simulation_.now();
  Checker_.onCancellationSent(Id_);
  Checker_.onCancellationSettled(Id_, true);
  Simulation_.runUntil(std::chrono::milliseconds(5000));
  Checker_.onStart(Worker_, Task_, "payload", OrderedAt);
  EXPECT_THAT(Simulation_.violations(), IsEmpty());
}

TEST_F(InvariantCheckerTest, ReportsRunsOfOneTaskOnTwoWorkers) {
  Checker_.onSubmitted(Id_);
  startTask();
  Worker_.Id_ = "w2";
  startTask();
  EXPECT_THAT(Simulation_.violations(), ElementsAre(HasSubstr("TWICE")));
}

TEST_F(InvariantCheckerTest, ReportsRunsOfOneTaskOnTwoLifetimes) {
  Checker_.onSubmitted(Id_);
  startTask();
  Worker_.Born_ = std::chrono::milliseconds(1);
  startTask();
  EXPECT_THAT(Simulation_.violations(), ElementsAre(HasSubstr("TWICE")));
}

TEST_F(InvariantCheckerTest, AllowsAnotherRunAfterTheWorkerCrashed) {
  Checker_.onSubmitted(Id_);
  startTask();
  Checker_.onEnd(Worker_.lifetime(), Task_, 1, EndKind::Stopped);
  Worker_.Born_ = std::chrono::milliseconds(1);
  startTask();
  EXPECT_THAT(Simulation_.violations(), IsEmpty());
}

TEST_F(InvariantCheckerTest, ReportsStartAfterAnAcknowledgedEnd) {
  Checker_.onSubmitted(Id_);
  startTask();
  endTask();
  Checker_.onEndAcknowledged(Worker_.lifetime(), Task_, 1, EndKind::Done);
  startTask();
  EXPECT_THAT(Simulation_.violations(), ElementsAre(HasSubstr("TWICE")));
}

TEST_F(InvariantCheckerTest, ReportsStartAfterAnEndThatIsAcknowledgedLater) {
  Checker_.onSubmitted(Id_);
  startTask();
  endTask();
  startTask();
  EXPECT_THAT(Simulation_.violations(), IsEmpty());
  Checker_.onEndAcknowledged(Worker_.lifetime(), Task_, 1, EndKind::Done);
  EXPECT_THAT(Simulation_.violations(), ElementsAre(HasSubstr("TWICE")));
}

TEST_F(InvariantCheckerTest, AllowsLateCopiesThatWereOrderedBeforeTheEnd) {
  Checker_.job(Id_).Spec_.Steps_[0].AllowsDuplicates_ = true;
  Checker_.onSubmitted(Id_);
  startTask();
  endTask();
  Checker_.onEndAcknowledged(Worker_.lifetime(), Task_, 1, EndKind::Done);
  const TimePoint OrderedAt = Simulation_.now();
  Simulation_.runUntil(std::chrono::milliseconds(5000));
  Checker_.onStart(Worker_, Task_, "payload", OrderedAt);
  EXPECT_THAT(Simulation_.violations(), IsEmpty());
  startTask();
  EXPECT_THAT(Simulation_.violations(), ElementsAre(HasSubstr("TWICE")));
}

TEST_F(InvariantCheckerTest, ReportsStartOrderedAfterTheJobWasCompleted) {
  Checker_.onSubmitted(Id_);
  startTask();
  endTask();
  Checker_.onStateReported(Id_, JobPhase::Completed);
  Simulation_.runUntil(std::chrono::milliseconds(1500));
  startTask();
  EXPECT_THAT(Simulation_.violations(), ElementsAre(HasSubstr("TWICE")));
}

} // namespace
} // namespace dragonflylock
