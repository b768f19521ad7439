#include "emulator/tests/emulatorrun.h"

#include <gtest/gtest.h>

namespace dragonflylock {
namespace {

/// Workers crash together, come back under their old ids and are cut off soon
/// after, while long tasks run and orders are held up.
EmulatorOptions returningWorkers(std::uint64_t Seed) {
  EmulatorOptions Options;
  Options.Seed_ = Seed;
  Options.Faults_ = 0;
  Options.HasMaintenanceWave_ = false;
  Options.ReturningWorkersFaults_ = 3;
  Options.LongJobShare_ = 0.25;
  Options.CompletionTimeout_ = std::chrono::seconds(90);
  return Options;
}

TEST(ReturningWorkersTest, SameSeedGivesSameReport) {
  EmulatorReport First = Emulator(returningWorkers(7)).run();
  EmulatorReport Second = Emulator(returningWorkers(7)).run();
  EXPECT_FALSE(First.Faults_.empty());
  EXPECT_EQ(First.Completed_, Second.Completed_);
  EXPECT_EQ(First.Faults_, Second.Faults_);
  EXPECT_EQ(First.Violations_, Second.Violations_);
}

class OrdersForFormerLifetimes : public testing::TestWithParam<std::uint64_t> {
};

TEST_P(OrdersForFormerLifetimes, StartNoTaskTwice) {
  runEmulator(returningWorkers(GetParam()));
}

INSTANTIATE_TEST_SUITE_P(ReturningWorkers, OrdersForFormerLifetimes,
                         testing::Values(2, 5, 8, 23, 24, 27, 30, 50, 55, 72,
                                         79, 137),
                         testing::PrintToStringParamName());

class CrashesOfManyWorkers : public testing::TestWithParam<std::uint64_t> {};

TEST_P(CrashesOfManyWorkers, AreNotBlamedOnHealthyTasks) {
  runEmulator(returningWorkers(GetParam()));
}

INSTANTIATE_TEST_SUITE_P(ReturningWorkers, CrashesOfManyWorkers,
                         testing::Values(4, 14, 66),
                         testing::PrintToStringParamName());

} // namespace
} // namespace dragonflylock
