#include "scheduling/tests/mocks/ownertest.h"

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;

class FillerThrottlerTest : public OwnerTest {
protected:
  FillerThrottlerTest() {
    StepSpec Step;
    Step.PerTask_ = {1000, 1000, 0};
    Step.IsLongRunning_ = true;
    Step.IsFiller_ = true;
    JobSpec Spec;
    Spec.Steps_ = {Step};
    storeJob(Spec);
  }

  /// Takes ownership of the pool after a previous owner has slowed the filler
  /// task down to 10 percent.
  void takeOwnershipWithSlowedFiller() {
    takeOwnership(1, {workerOf("w1", {16000, 32000, 0})});
    ListedRun Run;
    Run.Task_ = {JobId, 0, 0, 0};
    Run.Run_ = 1;
    Run.Percent_ = 10;
    ASSERT_FALSE(Workers_.Holds_.empty());
    Workers_.takeHold().Done_(acceptedAnswer({Run}));
    tickTwice();
  }
};

TEST_F(FillerThrottlerTest, SpeedsUpAFillerSlowedByAnEarlierOwner) {
  takeOwnershipWithSlowedFiller();
  ASSERT_EQ(Workers_.Paces_.size(), 1U);
  EXPECT_EQ(Workers_.Paces_[0].Percent_, 100U);
}

TEST_F(FillerThrottlerTest, RepeatsASpeedUpOrderWithoutAResponse) {
  takeOwnershipWithSlowedFiller();
  ASSERT_EQ(Workers_.Paces_.size(), 1U);
  Workers_.Paces_[0].Done_({OrderOutcome::Unknown, WorkerClock(0)});
  Clock_.advance(milliseconds(1000));
  Owner_->tick();
  ASSERT_EQ(Workers_.Paces_.size(), 2U);
  EXPECT_EQ(Workers_.Paces_[1].Percent_, 100U);
}

} // namespace
} // namespace dragonflylock
