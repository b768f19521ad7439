#include "scheduling/workersession.h"

#include <gtest/gtest.h>

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;

class WorkerSessionTest : public testing::Test {
protected:
  /// \returns the time of this process's clock, \p Passed after a fixed start.
  static TimePoint at(milliseconds Passed) {
    return TimePoint(std::chrono::hours(1)) + Passed;
  }

  WorkerSession Session_{WorkerEntry()};
};

TEST_F(WorkerSessionTest, AResponseReadLateDoesNotShortenLeases) {
  Session_.updateClock(WorkerClock(1000), at(milliseconds(0)));
  // Sent 500 ms after the first response, and read 2 s later.
  Session_.updateClock(WorkerClock(1500), at(milliseconds(2500)));
  EXPECT_GE(Session_.workerTimeAt(at(milliseconds(2500))), WorkerClock(3400));
}

TEST_F(WorkerSessionTest, ASlowWorkerClockIsNotOverestimated) {
  for (int Second = 0; Second <= 100; ++Second)
    Session_.updateClock(WorkerClock(1000 + Second * 980),
                         at(milliseconds(Second * 1000)));
  EXPECT_LE(Session_.workerTimeAt(at(milliseconds(100000))),
            WorkerClock(99000));
}

TEST_F(WorkerSessionTest, LeasesFollowAResponseReadSooner) {
  Session_.updateClock(WorkerClock(1000), at(milliseconds(900)));
  Session_.updateClock(WorkerClock(2000), at(milliseconds(1000)));
  EXPECT_EQ(Session_.workerTimeAt(at(milliseconds(1000))), WorkerClock(2000));
}

} // namespace
} // namespace dragonflylock
