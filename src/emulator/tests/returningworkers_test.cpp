#include "emulator/tests/emulatorrun.h"

#include <gtest/gtest.h>

namespace dragonflylock {
namespace {

/// Workers crash together, come back under their old ids and are cut off soon
/// after, while long tasks run and orders are held up.
void runWithReturningWorkers(int Seed) {
  EmulatorOptions Options;
  Options.Seed_ = static_cast<std::uint64_t>(Seed);
  Options.Faults_ = 0;
  Options.HasMaintenanceWave_ = false;
  Options.ReturningWorkersFaults_ = 3;
  Options.LongJobShare_ = 0.25;
  Options.CompletionTimeout_ = std::chrono::seconds(90);
  runEmulator(Options);
}

class OrdersForFormerLifetimes : public testing::TestWithParam<int> {};

TEST_P(OrdersForFormerLifetimes, StartNoTaskTwice) {
  runWithReturningWorkers(GetParam());
}

INSTANTIATE_TEST_SUITE_P(ReturningWorkers, OrdersForFormerLifetimes,
                         testing::Values(2, 5, 8, 23, 24, 27, 30, 50, 55, 72,
                                         79, 137),
                         testing::PrintToStringParamName());

class CrashesOfManyWorkers : public testing::TestWithParam<int> {};

TEST_P(CrashesOfManyWorkers, AreNotBlamedOnHealthyTasks) {
  runWithReturningWorkers(GetParam());
}

INSTANTIATE_TEST_SUITE_P(ReturningWorkers, CrashesOfManyWorkers,
                         testing::Values(4, 14, 66),
                         testing::PrintToStringParamName());

} // namespace
} // namespace dragonflylock
