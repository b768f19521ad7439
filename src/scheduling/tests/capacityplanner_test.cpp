#include "scheduling/capacityplanner.h"

#include <gtest/gtest.h>

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;

/// \returns the load of a pool of eight machines, one of which is taken by
/// long-running tasks.
PoolLoad loadOf(double Running, double Waiting, double Arriving) {
  PoolLoad Load;
  Load.Machines_ = 8;
  Load.HomeMachines_ = 6;
  Load.LongRunningLoad_ = 1;
  Load.RunningLoad_ = Running;
  Load.WaitingLoad_ = Waiting;
  Load.ArrivalLoad_ = Arriving;
  return Load;
}

class CapacityPlannerTest : public testing::Test {
protected:
  CapacityPlanner Planner_{milliseconds(1500)};
};

TEST_F(CapacityPlannerTest, RequestsNoMachinesWhileTheLoadFits) {
  EXPECT_EQ(Planner_.missingMachines(loadOf(3, 1, 4)), 0U);
}

TEST_F(CapacityPlannerTest, RequestsMachinesForArrivalsBeyondCapacity) {
  // Arrivals exceed the usable capacity by about five machines; the backlog
  // that accumulates until machines arrive adds some more.
  std::uint32_t Missing = Planner_.missingMachines(loadOf(5, 0, 11));
  EXPECT_GE(Missing, 5U);
  EXPECT_LE(Missing, 12U);
}

TEST_F(CapacityPlannerTest, RequestsMoreMachinesWhileTasksWait) {
  EXPECT_GT(Planner_.missingMachines(loadOf(5, 6, 11)),
            Planner_.missingMachines(loadOf(5, 0, 11)));
}

TEST_F(CapacityPlannerTest, RequestsAMachineWhenCapacityIsFragmented) {
  PoolLoad Load = loadOf(3, 1, 0);
  Load.LongestWait_ = milliseconds(4000);
  EXPECT_EQ(Planner_.missingMachines(Load), 1U);
}

TEST_F(CapacityPlannerTest, HasNoSurplusUnderLoad) {
  EXPECT_EQ(Planner_.surplusMachines(loadOf(6, 3, 11)), 0U);
}

TEST_F(CapacityPlannerTest, SurplusExcludesHomeMachines) {
  EXPECT_EQ(Planner_.surplusMachines(loadOf(0, 0, 0)), 2U);
  EXPECT_EQ(Planner_.surplusMachines(loadOf(5, 0, 0)), 1U);
}

TEST_F(CapacityPlannerTest, HandlesAPoolWithoutMachines) {
  PoolLoad Load;
  Load.WaitingLoad_ = 1;
  EXPECT_GE(Planner_.missingMachines(Load), 1U);
  EXPECT_EQ(Planner_.surplusMachines(Load), 0U);
}

} // namespace
} // namespace dragonflylock
