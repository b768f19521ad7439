#include "scheduling/internal/fillerthrottler.h"
#include "scheduling/placement.h"

#include <gtest/gtest.h>

namespace dragonflylock {
namespace {

PlacementCandidate workerWithFreeCpu(std::int64_t Cpu) {
  PlacementCandidate Worker;
  Worker.Free_ = {Cpu, 10000, 1};
  return Worker;
}

StepSpec stepWithCpu(std::int64_t Cpu) {
  StepSpec Step;
  Step.PerTask_ = {Cpu, 1000, 0};
  return Step;
}

TEST(PlacementTest, NeedsFreeResources) {
  EXPECT_FALSE(choosePlacement(stepWithCpu(5000), {workerWithFreeCpu(4000)}));
  EXPECT_EQ(choosePlacement(stepWithCpu(5000),
                            {workerWithFreeCpu(4000), workerWithFreeCpu(6000)}),
            1U);
}

TEST(PlacementTest, NeedsTheLabel) {
  StepSpec Step = stepWithCpu(1000);
  Step.RequiredLabel_ = "fast";
  PlacementCandidate Labelled = workerWithFreeCpu(2000);
  Labelled.Labels_ = {"fast"};
  EXPECT_EQ(choosePlacement(Step, {workerWithFreeCpu(9000), Labelled}), 1U);
}

TEST(PlacementTest, RespectsTheLimitPerWorker) {
  StepSpec Step = stepWithCpu(1000);
  Step.MaxPerWorker_ = 1;
  PlacementCandidate Taken = workerWithFreeCpu(9000);
  Taken.SameStepTasks_ = 1;
  EXPECT_EQ(choosePlacement(Step, {Taken, workerWithFreeCpu(2000)}), 1U);
}

TEST(PlacementTest, PrefersTheRackOfTheData) {
  StepSpec Step = stepWithCpu(1000);
  Step.DataRack_ = "r1-2";
  PlacementCandidate Near = workerWithFreeCpu(1500);
  Near.Rack_ = "r1-2";
  EXPECT_EQ(choosePlacement(Step, {workerWithFreeCpu(9000), Near}), 1U);
}

TEST(PlacementTest, AvoidsTheWorkerOnWhichTheTaskFailed) {
  PlacementCandidate Failed = workerWithFreeCpu(9000);
  Failed.HasFailedTask_ = true;
  EXPECT_EQ(
      choosePlacement(stepWithCpu(1000), {Failed, workerWithFreeCpu(2000)}),
      1U);
}

TEST(PlacementTest, FillersNeedNoFreeCpu) {
  StepSpec Filler = stepWithCpu(5000);
  Filler.IsFiller_ = true;
  EXPECT_EQ(choosePlacement(Filler, {workerWithFreeCpu(0)}), 0U);
}

TEST(PlacementTest, SpreadsTasksWithADisruptionBudget) {
  StepSpec Step = stepWithCpu(1000);
  Step.DisruptionBudget_ = 1;
  PlacementCandidate Taken = workerWithFreeCpu(9000);
  Taken.SameStepTasks_ = 1;
  EXPECT_EQ(choosePlacement(Step, {Taken, workerWithFreeCpu(2000)}), 1U);
}

TEST(FillerShareTest, FillerShareFollowsTheTailRatio) {
  EXPECT_EQ(nextFillerShare(100, 0.5), 100U);
  EXPECT_EQ(nextFillerShare(100, 0.9), 50U);
  EXPECT_EQ(nextFillerShare(100, 1.5), 25U);
  EXPECT_EQ(nextFillerShare(8, 1.5), 0U);
  EXPECT_EQ(nextFillerShare(0, 0.3), 10U);
  EXPECT_EQ(nextFillerShare(40, 0.7), 40U);
}

} // namespace
} // namespace dragonflylock
