#include "emulator/emulator.h"

#include <gtest/gtest.h>

namespace dragonflylock {
namespace {

std::string joined(const std::vector<std::string> &Lines) {
  std::string Text;
  for (const std::string &Line : Lines)
    Text += Line + "\n";
  return Text;
}

EmulatorReport play(const EmulatorPlan &Plan) {
  EmulatorReport Report = Emulator(Plan).run();
  EXPECT_TRUE(Report.Broken_.empty()) << "seed " << Plan.Seed_ << "\nbroken:\n"
                                      << joined(Report.Broken_) << "faults:\n"
                                      << joined(Report.Faults_);
  return Report;
}

TEST(EmulatorTest, CalmDayCompletesAllJobs) {
  EmulatorPlan Plan;
  Plan.Faults_ = 0;
  Plan.FailShare_ = 0;
  EmulatorReport Report = play(Plan);
  EXPECT_EQ(Report.Accepted_, Report.Jobs_);
  EXPECT_GT(Report.Completed_, Report.Jobs_ / 2);
}

TEST(EmulatorTest, SameSeedGivesTheSameDay) {
  EmulatorPlan Plan;
  Plan.Seed_ = 7;
  EmulatorReport First = Emulator(Plan).run();
  EmulatorReport Second = Emulator(Plan).run();
  EXPECT_EQ(First.Completed_, Second.Completed_);
  EXPECT_EQ(First.Faults_, Second.Faults_);
}

TEST(EmulatorTest, PoolsAreLoadedOverNarrowLinksAfterAPowerLoss) {
  EmulatorPlan Plan;
  Plan.Faults_ = 0;
  Plan.HasWave_ = false;
  Plan.FailShare_ = 0;
  Plan.JobsPerSecond_ = 20;
  Plan.WorkersPerPool_ = 20;
  Plan.LinkBytesPerSecond_ = 100000;
  Plan.PowerLossAt_ = std::chrono::seconds(34);
  EmulatorReport Report = play(Plan);
  EXPECT_EQ(Report.Accepted_, Report.Jobs_);
}

/// Nodes that need a millisecond for each call, and a pool with room for more
/// tasks than they can start within a lease.
EmulatorPlan backlogOnSlowNodes() {
  EmulatorPlan Plan;
  Plan.Nodes_ = 3;
  Plan.Pools_ = 1;
  Plan.WorkersPerPool_ = 30;
  Plan.WorkerCapacity_ = {106000, 218000, 0};
  Plan.SpareMachines_ = 0;
  Plan.HasWave_ = false;
  Plan.HasAdvice_ = false;
  Plan.Faults_ = 0;
  Plan.FailShare_ = 0;
  Plan.JobsPerSecond_ = 120;
  Plan.Traffic_ = std::chrono::seconds(8);
  Plan.Finish_ = std::chrono::seconds(50);
  Plan.PollInterval_ = std::chrono::seconds(5);
  Plan.CallTime_ = std::chrono::milliseconds(1);
  Plan.PowerLossAt_ = std::chrono::seconds(10);
  return Plan;
}

TEST(EmulatorTest, ABacklogDoesNotCostAnOwnerItsLease) {
  EmulatorReport Report = play(backlogOnSlowNodes());
  EXPECT_EQ(Report.LeasesEnded_, 0U);
}

class MixedFaults : public testing::TestWithParam<int> {};

TEST_P(MixedFaults, BreakNoRule) {
  EmulatorPlan Plan;
  Plan.Seed_ = static_cast<std::uint64_t>(GetParam());
  play(Plan);
}

INSTANTIATE_TEST_SUITE_P(Seeds, MixedFaults, testing::Range(1, 41));

} // namespace
} // namespace dragonflylock
