#include "scheduling/jobprogress.h"
#include "scheduling/tests/mocks/poolownertest.h"

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;

/// Fixture with one worker whose capacity changes.
class CapacityChangeTest : public PoolOwnerTest {
protected:
  /// Reports the capacity as that of the worker.
  void setCapacity(std::int64_t CpuMillis) {
    Fleet_.front().Capacity_.CpuMillis_ = CpuMillis;
    Owner_->onWorkers(Fleet_);
    Clock_.advance(milliseconds(200));
    tickTwice();
  }

  /// Stores a job with tasks of one core each, and lets the owner start what
  /// fits.
  void startJob(std::uint32_t Tasks) {
    storeJob(jobOf(Tasks));
    Fleet_ = takeOwnershipOfFleet(1);
    renewLease();
    tickTwice();
  }

  /// Confirms all start orders.
  /// \returns the runs, as the worker lists them.
  std::vector<ListedRun> confirmStarts() {
    std::vector<ListedRun> Running;
    while (!Workers_.Starts_.empty()) {
      auto Start = Workers_.takeStart();
      Running.push_back({Start.Order_.Task_, Start.Order_.Run_, "", 100, 0});
      Start.Done_({OrderOutcome::Accepted, WorkerClock(1000)});
    }
    tickTwice();
    return Running;
  }

  std::vector<WorkerEntry> Fleet_;
};

TEST_F(CapacityChangeTest, WorkerGetsNoStartBeyondItsShrunkenCapacity) {
  startJob(20);
  ASSERT_EQ(Workers_.Starts_.size(), 16U);
  std::vector<ListedRun> Running = confirmStarts();
  setCapacity(8000);
  // Eight tasks end; the eight that go on take the whole capacity.
  std::vector<ListedEnd> Ended;
  for (std::uint64_t Number = 1; Number <= 8; ++Number) {
    Ended.push_back(
        {Number, Running.back().Task_, Running.back().Run_, EndKind::Done, ""});
    Running.pop_back();
  }
  answerHold(acceptedAnswer(Running, Ended));
  tickTwice();
  EXPECT_TRUE(Workers_.Starts_.empty());
  setCapacity(10000);
  EXPECT_EQ(Workers_.Starts_.size(), 2U);
}

TEST_F(CapacityChangeTest, UnknownRunLeavesNoCapacityUntilItHasEnded) {
  storeJob(jobOf(20));
  Fleet_ = {worker("w0")};
  takeOwnership(0, Fleet_);
  renewLease();
  const TaskName Unknown{"00000000000000bb", 0, 0, 0};
  answerHold(acceptedAnswer({{Unknown, 3, "", 100, 0}}));
  tickTwice();
  EXPECT_TRUE(Workers_.Starts_.empty());
  EXPECT_FALSE(Workers_.Stops_.empty());
  Clock_.advance(milliseconds(500));
  tickTwice();
  answerHold(acceptedAnswer({}, {{1, Unknown, 3, EndKind::Stopped, ""}}));
  tickTwice();
  EXPECT_EQ(Workers_.Starts_.size(), 16U);
}

TEST_F(CapacityChangeTest, RunOfEndedJobCountsUntilItHasEnded) {
  const std::string Ended = "00000000000000bb";
  storeJob(jobOf(20));
  storeJob(jobOf(4), Ended);
  JobProgress Failed((jobOf(4)));
  Failed.setState(JobPhase::Failed);
  StoreKey Row = jobrows::keyOf("queue", Ended, JobRowKind::Progress);
  Store_.Rows_[Row] = {Row, Failed.encode(), ++Store_.Version_, false};
  Fleet_ = {worker("w0")};
  takeOwnership(1, Fleet_);
  answerHold(acceptedAnswer({{{Ended, 0, 0, 0}, 3, "", 100, 0}}));
  tickTwice();
  EXPECT_LE(Workers_.Starts_.size(), 15U);
}

} // namespace
} // namespace dragonflylock
