#include "admission/poolspeedmeter.h"

#include <gtest/gtest.h>

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;

/// Observes a pool of 20 cores for 10 s, each 400 ms.
/// \param Ratio the actual run time as a multiple of the declared one.
/// \param BusyCores the cores in use.
/// \param Waiting the work that waits.
double speedAfter(double Ratio, double BusyCores, std::int64_t Waiting) {
  PoolSpeedMeter Meter;
  FinishedWork Finished;
  TimePoint Now = TimePoint(std::chrono::hours(1));
  for (int Round = 0; Round < 25; ++Round) {
    Meter.observe(Now, Finished, 20, BusyCores, Waiting);
    Now += milliseconds(400);
    Finished.Occupied_ += static_cast<std::int64_t>(BusyCores * 400);
    Finished.Declared_ += static_cast<std::int64_t>(BusyCores * 400 / Ratio);
  }
  return Meter.speedOf(20);
}

// Guards against predictions by the declared cores alone.
TEST(PoolSpeedMeterTest, IsTheNumberOfCoresIfEstimatesAreRight) {
  EXPECT_NEAR(speedAfter(1, 20, 100000), 20, 0.1);
}

// Guards against predictions that trust declared run times, which may be off by
// half or more.
TEST(PoolSpeedMeterTest, LearnsThatTasksTakeLongerOrLessThanDeclared) {
  EXPECT_NEAR(speedAfter(2, 20, 100000), 10, 2);
  EXPECT_NEAR(speedAfter(0.5, 20, 100000), 40, 6);
}

// Guards against objectives that are judged by the declared run times.
TEST(PoolSpeedMeterTest, TellsRunTimesOfFinishedTasks) {
  PoolSpeedMeter Meter;
  TimePoint Now = TimePoint(std::chrono::hours(1));
  EXPECT_EQ(Meter.runTimeFactor(20), 1);
  FinishedWork Finished;
  for (int Round = 0; Round < 25; ++Round, Now += milliseconds(400)) {
    Finished.Occupied_ += 8000;
    Finished.Declared_ += 4000;
    Meter.observe(Now, Finished, 20, 20, 0);
  }
  EXPECT_NEAR(Meter.runTimeFactor(20), 2, 0.3);
}

// Guards against cores that count as capacity though another resource is short.
TEST(PoolSpeedMeterTest, LearnsThatCoresCannotBeUsed) {
  EXPECT_NEAR(speedAfter(1, 14, 100000), 14, 1);
}

// Guards against a pool that seems slow because it has little to do, or because
// only work for few workers waits.
TEST(PoolSpeedMeterTest, IdleCoresCountAsCapacity) {
  EXPECT_NEAR(speedAfter(1, 2, 0), 20, 0.1);
  EXPECT_NEAR(speedAfter(1, 2, 100000), 10, 0.5);
}

// Guards against a pool that seems to stand still while all its tasks are long.
TEST(PoolSpeedMeterTest, DoesNotFallWhileLongTasksRun) {
  PoolSpeedMeter Meter;
  TimePoint Now = TimePoint(std::chrono::hours(1));
  for (int Round = 0; Round < 50; ++Round, Now += milliseconds(400))
    Meter.observe(Now, {}, 20, 20, 100000);
  EXPECT_NEAR(Meter.speedOf(20), 20, 0.1);
}

} // namespace
} // namespace dragonflylock
