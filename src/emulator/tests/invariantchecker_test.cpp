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

  void startTask() { Checker_.onStart(Worker_, {Id_, 0, 0, 0}, "payload"); }

  const std::string Id_ = "000000000000000d";
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

} // namespace
} // namespace dragonflylock
