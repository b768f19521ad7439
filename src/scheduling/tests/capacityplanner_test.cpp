#include "scheduling/capacityplanner.h"

#include <gtest/gtest.h>

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;

/// Eight machines of which lasting tasks take one.
PoolLoad loadOf(double Backlog, double Arriving) {
  PoolLoad Load;
  Load.Machines_ = 8;
  Load.Lasting_ = 1;
  Load.Backlog_ = Backlog;
  Load.Arriving_ = Arriving;
  return Load;
}

class CapacityPlannerTest : public testing::Test {
protected:
  CapacityPlanner Planner_{milliseconds(1500)};
};

TEST_F(CapacityPlannerTest, AsksForNothingWhileTheWorkFits) {
  EXPECT_EQ(Planner_.missing(loadOf(2, 3)), 0U);
}

TEST_F(CapacityPlannerTest, AsksForNothingForAShortBurst) {
  // The pool is done with it before a machine could come.
  EXPECT_EQ(Planner_.missing(loadOf(10, 1)), 0U);
}

TEST_F(CapacityPlannerTest, AsksForWhatALastingBurstNeeds) {
  // Machines that come must take what arrives and what has gathered.
  std::uint32_t Missing = Planner_.missing(loadOf(4, 11));
  EXPECT_GE(Missing + 7, 11U);
  EXPECT_LE(Missing, 20U);
}

TEST_F(CapacityPlannerTest, SparesNothingUnderLoad) {
  EXPECT_EQ(Planner_.dispensable(loadOf(12, 11)), 0U);
}

TEST_F(CapacityPlannerTest, SparesWhatNeitherJobsNorLastingTasksNeed) {
  EXPECT_EQ(Planner_.dispensable(loadOf(0, 0)), 7U);
  EXPECT_EQ(Planner_.dispensable(loadOf(1.5, 0.5)), 5U);
}

TEST_F(CapacityPlannerTest, MeetsAPoolWithoutMachines) {
  PoolLoad Load;
  Load.Backlog_ = 1;
  EXPECT_GE(Planner_.missing(Load), 1U);
  EXPECT_EQ(Planner_.dispensable(Load), 0U);
}

} // namespace
} // namespace dragonflylock
