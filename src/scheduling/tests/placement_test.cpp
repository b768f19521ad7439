#include "scheduling/internal/pacekeeper.h"
#include "scheduling/placement.h"

#include <gtest/gtest.h>

namespace dragonflylock {
namespace {

PlacementCandidate withRoom(std::int64_t Cpu) {
  PlacementCandidate Worker;
  Worker.Free_ = {Cpu, 10000, 1};
  return Worker;
}

StepSpec stepOf(std::int64_t Cpu) {
  StepSpec Step;
  Step.PerTask_ = {Cpu, 1000, 0};
  return Step;
}

TEST(PlacementTest, NeedsRoom) {
  EXPECT_FALSE(choosePlacement(stepOf(5000), {withRoom(4000)}));
  EXPECT_EQ(choosePlacement(stepOf(5000), {withRoom(4000), withRoom(6000)}),
            1U);
}

TEST(PlacementTest, NeedsTheLabel) {
  StepSpec Step = stepOf(1000);
  Step.RequiredLabel_ = "fast";
  PlacementCandidate Labelled = withRoom(2000);
  Labelled.Labels_ = {"fast"};
  EXPECT_EQ(choosePlacement(Step, {withRoom(9000), Labelled}), 1U);
}

TEST(PlacementTest, KeepsTheSpread) {
  StepSpec Step = stepOf(1000);
  Step.MaxPerWorker_ = 1;
  PlacementCandidate Taken = withRoom(9000);
  Taken.SameStep_ = 1;
  EXPECT_EQ(choosePlacement(Step, {Taken, withRoom(2000)}), 1U);
}

TEST(PlacementTest, PrefersTheRackOfTheData) {
  StepSpec Step = stepOf(1000);
  Step.DataRack_ = "r1-2";
  PlacementCandidate Near = withRoom(1500);
  Near.Rack_ = "r1-2";
  EXPECT_EQ(choosePlacement(Step, {withRoom(9000), Near}), 1U);
}

TEST(PlacementTest, AvoidsTheWorkerOnWhichTheTaskFailed) {
  PlacementCandidate Failed = withRoom(9000);
  Failed.HasFailedTask_ = true;
  EXPECT_EQ(choosePlacement(stepOf(1000), {Failed, withRoom(2000)}), 1U);
}

TEST(PlacementTest, FillersNeedNoProcessor) {
  StepSpec Filler = stepOf(5000);
  Filler.IsFiller_ = true;
  EXPECT_EQ(choosePlacement(Filler, {withRoom(0)}), 0U);
}

TEST(PlacementTest, SpreadsTasksWithADisruptionBudget) {
  StepSpec Step = stepOf(1000);
  Step.DisruptionBudget_ = 1;
  PlacementCandidate Taken = withRoom(9000);
  Taken.SameStep_ = 1;
  EXPECT_EQ(choosePlacement(Step, {Taken, withRoom(2000)}), 1U);
}

TEST(PaceTest, FillersYieldToServingTasksAndComeBack) {
  EXPECT_EQ(nextFillerShare(100, 0.5), 100U);
  EXPECT_EQ(nextFillerShare(100, 0.9), 50U);
  EXPECT_EQ(nextFillerShare(100, 1.5), 25U);
  EXPECT_EQ(nextFillerShare(8, 1.5), 0U);
  EXPECT_EQ(nextFillerShare(0, 0.3), 10U);
  EXPECT_EQ(nextFillerShare(40, 0.7), 40U);
}

} // namespace
} // namespace dragonflylock
