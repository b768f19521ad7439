#include "scheduling/capacityplanner.h"
#include "scheduling/internal/loadmeter.h"
#include "scheduling/tests/mocks/sharedpooltest.h"

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;

/// Customers with limits. The customer "limited" may run two cores.
class CustomerLimitsTest : public SharedPoolTest {
protected:
  static constexpr std::uint32_t Backlog = 1000;

  CustomerLimitsTest() {
    Pool_.Limits_ = &Limits_;
    Limits_.Limits_["limited"] = 2 * Core;
  }
};

// Guards against a customer that runs more than its limit, and against a limit
// that is used up for good because ended runs still count.
TEST_F(CustomerLimitsTest, StartsUpToTheLimitAndAgainAfterRunsHaveEnded) {
  addWorker("w1", 16 * Core);
  for (int Job = 0; Job < 6; ++Job)
    submit("limited", stepOf(1, milliseconds(1000)));
  play(milliseconds(500),
       [this] { EXPECT_LE(runningCpu("limited"), 2 * Core); });
  EXPECT_EQ(Starts_["limited"], 2U);
  play(milliseconds(3000),
       [this] { EXPECT_LE(runningCpu("limited"), 2 * Core); });
  EXPECT_EQ(EndedJobs_.size(), 6U);
  EXPECT_EQ(runningCpu("limited"), 0);
}

// Guards against tasks of one job that together exceed the limit, because the
// starts of a round count only after it.
TEST_F(CustomerLimitsTest, CountsTheStartsOfTheSameRound) {
  addWorker("w1", 16 * Core);
  submit("limited", stepOf(10, milliseconds(1000)));
  tick();
  EXPECT_EQ(Starts_["limited"], 2U);
  EXPECT_EQ(runningCpu("limited"), 2 * Core);
}

// Guards against runs of previous owners that do not count, so that a customer
// exceeds its limit after each change of the owner.
TEST_F(CustomerLimitsTest, CountsRunsThatMayBeLeftFromPreviousOwners) {
  addWorker("w1", 16 * Core);
  const std::string Job = submit("limited", stepOf(2, milliseconds(1000)));
  Pool_.job(Job)->mutableRun({Job, 0, 0, 0}).MayHaveInheritedRun_ = true;
  submit("limited", stepOf(4, milliseconds(1000)));
  tick();
  EXPECT_EQ(runningCpu("limited"), 2 * Core);
  EXPECT_EQ(Starts_["limited"], 1U);
  Pool_.job(Job)->mutableRun({Job, 0, 0, 0}).MayHaveInheritedRun_ = false;
  dispatch();
  EXPECT_EQ(Starts_["limited"], 2U);
}

// Guards against a customer at its limit that holds other customers back or
// makes the pool request machines.
TEST_F(CustomerLimitsTest, HoldsNothingBackAndRequestsNoMachines) {
  addWorker("w1", 16 * Core);
  for (int Job = 0; Job < 100; ++Job)
    submit("limited", stepOf(4, milliseconds(4000)));
  play(milliseconds(200));
  const std::string Other = submit("other", stepOf(8, milliseconds(4000)));
  const std::string Public = submit("", stepOf(6, milliseconds(4000)));
  // Time for the arrivals to leave the load.
  play(milliseconds(1500));
  EXPECT_EQ(Starts_["limited"], 2U);
  EXPECT_EQ(Starts_["other"], 8U);
  EXPECT_EQ(Starts_[""], 6U);
  const PoolLoad Load = measureLoad(Pool_);
  EXPECT_EQ(Load.WaitingLoad_, 0);
  EXPECT_EQ(Load.LongestWait_, milliseconds(0));
  EXPECT_EQ(Load.RunningLoad_, 1);
}

// Guards against newly arrived jobs, or jobs that waited for a worker before
// the limit was reached, that make the pool request machines.
TEST_F(CustomerLimitsTest, ArrivalsAndEarlierWaitsRequestNoMachines) {
  addWorker("w1", 2 * Core);
  submit("", stepOf(2, milliseconds(9000)));
  tick();
  submit("limited", stepOf(1, milliseconds(9000)));
  play(milliseconds(5000));
  EXPECT_GE(measureLoad(Pool_).LongestWait_, milliseconds(4900));
  Limits_.Limits_["limited"] = 0;
  submit("limited", stepOf(50, milliseconds(9000)));
  tick();
  const PoolLoad Load = measureLoad(Pool_);
  EXPECT_EQ(Load.ArrivalLoad_, 0);
  EXPECT_EQ(Load.WaitingLoad_, 0);
  EXPECT_EQ(Load.LongestWait_, milliseconds(0));
}

// Guards against machines that are requested for all waiting tasks of a
// customer though its limit admits only a few of them.
TEST_F(CustomerLimitsTest, OnlyAdmittedTasksCountAsWaiting) {
  addWorker("w1", 4 * Core);
  submit("", stepOf(4, milliseconds(9000)));
  tick();
  submit("limited", stepOf(100, CapacityPlanner::BacklogClearTime));
  tick();
  EXPECT_DOUBLE_EQ(measureLoad(Pool_).WaitingLoad_, 0.5);
}

// Guards against resources that are kept for a gang that its customer's limit
// does not admit.
TEST_F(CustomerLimitsTest, ARefusedGangGetsNoReservation) {
  addWorker("w1", 4 * Core);
  submit("limited", gangOf(4, milliseconds(1000)));
  const std::string Running = submit("other", stepOf(3, milliseconds(20000)));
  play(milliseconds(2000));
  const std::string Small = submit("other", stepOf(1, milliseconds(1000)));
  play(milliseconds(100));
  EXPECT_TRUE(hasStarted(Small));
  EXPECT_EQ(Starts_["limited"], 0U);
}

// Guards against a gang whose time for a reservation has passed when its
// customer's limit admits it.
TEST_F(CustomerLimitsTest, AGangGetsItsReservationWhenTheLimitAdmitsIt) {
  addWorker("w1", 4 * Core);
  for (int Job = 0; Job < 4; ++Job)
    submit("", stepOf(1, milliseconds(300 + 20 * Job)));
  tick();
  Limits_.Limits_["limited"] = 4 * Core;
  const std::string Gang = submit("limited", gangOf(4, milliseconds(1000)));
  auto Arrivals = [this] { submit("", stepOf(1, milliseconds(300))); };
  play(milliseconds(100), Arrivals);
  Limits_.Limits_["limited"] = 0;
  play(milliseconds(8000), Arrivals);
  EXPECT_FALSE(hasStarted(Gang));
  Limits_.Limits_["limited"] = 4 * Core;
  play(milliseconds(3000), Arrivals);
  EXPECT_TRUE(hasStarted(Gang));
}

// Guards against a gang larger than the limit that keeps all other jobs of its
// customer from starting.
TEST_F(CustomerLimitsTest, ARefusedGangDoesNotHoldBackItsCustomersTasks) {
  addWorker("w1", 16 * Core);
  submit("limited", gangOf(4, milliseconds(1000)));
  const std::string Small = submit("limited", stepOf(1, milliseconds(1000)));
  tick();
  EXPECT_TRUE(hasStarted(Small));
}

// Guards against rounds whose cost grows with the backlog of a customer that is
// at its limit.
TEST_F(CustomerLimitsTest, ABacklogAtTheLimitCostsAScanAlmostNothing) {
  addWorker("w1", 16 * Core);
  for (std::uint32_t Job = 0; Job < Backlog; ++Job)
    submit("limited", stepOf(1, milliseconds(60000)));
  tick();
  const std::uint64_t Visits = Pool_.Index_.visitCount();
  const std::uint64_t Calls = Limits_.Calls_;
  constexpr std::uint64_t Rounds = 10;
  for (std::uint64_t Round = 0; Round < Rounds; ++Round)
    dispatch();
  EXPECT_LE(Pool_.Index_.visitCount() - Visits, 2 * Rounds);
  EXPECT_LE(Limits_.Calls_ - Calls, 2 * Rounds);
}

} // namespace
} // namespace dragonflylock
