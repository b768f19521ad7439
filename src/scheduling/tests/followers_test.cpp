#include "scheduling/internal/jobfollower.h"
#include "scheduling/jobrows.h"
#include "scheduling/tablefollower.h"
#include "scheduling/tests/mocks/limitedbandwidthstore.h"

#include <gtest/gtest.h>

#include <set>

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;

/// Answers the requests of \p Reader for a backlog of changes that takes \p
/// Duration to arrive.
/// \returns whether the backlog arrived within six attempts.
template <typename Test>
bool receiveBacklog(Test &Reader, milliseconds Duration,
                    bool HasPartialResponse) {
  constexpr int Attempts = 6;
  constexpr milliseconds CallTimeout{1000};
  for (int Attempt = 0; Attempt < Attempts; ++Attempt) {
    Reader.Clock_.advance(milliseconds(200));
    Reader.Follower_->tick();
    if (Reader.Store_.Waits_.size() != 1)
      return false;
    LimitedBandwidthStore::Wait Wait = std::move(Reader.Store_.Waits_[0]);
    Reader.Store_.Waits_.clear();
    Reader.Timeout_ = Wait.Timeout_;
    StoreChanges Changes;
    Changes.HasPartialResponse_ = HasPartialResponse;
    if (Wait.Timeout_ + CallTimeout >= Duration)
      Changes.Outcome_ = StoreOutcome::Done;
    Reader.Clock_.advance(std::min(Duration, Wait.Timeout_ + CallTimeout));
    Wait.Done_(Changes);
    if (Changes.Outcome_ == StoreOutcome::Done)
      return true;
  }
  return false;
}

/// Follows the queues of a pool over a link of limited bandwidth.
class JobFollowerTest : public testing::Test {
public:
  JobFollowerTest()
      : Store_(Clock_),
        Follower_(std::make_shared<JobFollower>(
            Store_, Clock_, Logger_,
            [this](const StoreRow &Row) { Seen_.insert(Row.Name_); })) {}

  static StoreKey rowOf(const std::string &Queue, int Job) {
    char Id[17];
    std::snprintf(Id, sizeof(Id), "%016x", Job);
    return jobrows::keyOf(Queue, Id, JobRowKind::Submission);
  }
  void addJobs(const std::string &Queue, int Jobs) {
    Queues_.insert(Queue);
    for (int Job = 0; Job < Jobs; ++Job)
      Store_.add(rowOf(Queue, Job));
  }
  /// \returns the time that the queues took to load; one hour if they were not
  /// loaded within two minutes.
  milliseconds load() {
    const TimePoint Start = Clock_.now();
    Follower_->follow(Queues_);
    while (!Follower_->isLoaded() &&
           Clock_.now() < Start + std::chrono::minutes(2)) {
      Follower_->tick();
      Store_.completeReads();
      Clock_.advance(milliseconds(10));
    }
    if (!Follower_->isLoaded())
      return std::chrono::hours(1);
    return std::chrono::duration_cast<milliseconds>(Clock_.now() - Start);
  }

  ManualClock Clock_;
  milliseconds Timeout_{0};
  SilentLogger Logger_;
  LimitedBandwidthStore Store_;
  std::set<std::string> Queues_;
  std::set<StoreKey> Seen_;
  std::shared_ptr<JobFollower> Follower_;
};

TEST_F(JobFollowerTest, LoadsQueueWhenFullPageTimesOut) {
  Store_.RowsPerCall_ = 60;
  addJobs("queue", 500);
  EXPECT_LT(load(), std::chrono::seconds(15));
  EXPECT_EQ(Seen_.size(), 500U);
}

TEST_F(JobFollowerTest, LoadsQueuesOverSharedSlowLink) {
  Store_.RowsPerCall_ = 20;
  for (int Queue = 0; Queue < 40; ++Queue)
    addJobs("queue-" + std::to_string(Queue), 10);
  EXPECT_LT(load(), std::chrono::seconds(30));
  EXPECT_EQ(Seen_.size(), 400U);
}

TEST_F(JobFollowerTest, RequestsNoPageThatTimesOut) {
  Store_.RowsPerCall_ = 300;
  addJobs("queue", 3000);
  EXPECT_LT(load(), std::chrono::seconds(12));
  EXPECT_EQ(Store_.TimedOutReads_, 0U);
}

TEST_F(JobFollowerTest, LoadsInFewPagesOverFastLink) {
  addJobs("queue", 5000);
  load();
  EXPECT_EQ(Seen_.size(), 5000U);
  EXPECT_LT(Store_.Calls_, 16U);
}

TEST_F(JobFollowerTest, GrowsPagesAgainAfterUnresponsiveStore) {
  addJobs("queue", 5000);
  Store_.RowsPerCall_ = 0;
  Follower_->follow(Queues_);
  for (int Round = 0; Round < 20; ++Round) {
    Follower_->tick();
    Store_.completeReads();
    Clock_.advance(milliseconds(200));
  }
  Store_.RowsPerCall_ = 1000000;
  EXPECT_LT(load(), std::chrono::seconds(6));
}

TEST_F(JobFollowerTest, DeliversChangeWhenHistoryIsLostDuringPageRead) {
  addJobs("queue", 500);
  Follower_->follow(Queues_);
  Follower_->tick();
  Store_.completeReads();
  ASSERT_EQ(Store_.Pages_.size(), 1U);
  ASSERT_FALSE(Store_.Waits_.empty());
  StoreKey Change =
      jobrows::keyOf("queue", "0000000000000001", JobRowKind::Cancellation);
  Store_.add(Change);
  StoreChanges Lost;
  Lost.Outcome_ = StoreOutcome::HistoryLost;
  Store_.Waits_[0].Done_(Lost);
  load();
  EXPECT_TRUE(Seen_.contains(Change));
}

TEST_F(JobFollowerTest, ExtendsTimeoutForPartiallyReceivedBacklog) {
  addJobs("queue", 1);
  load();
  EXPECT_TRUE(
      receiveBacklog(*this, milliseconds(8000), /*HasPartialResponse=*/true));
}

TEST_F(JobFollowerTest, KeepsTimeoutOnSilentConnection) {
  addJobs("queue", 1);
  load();
  EXPECT_FALSE(
      receiveBacklog(*this, milliseconds(8000), /*HasPartialResponse=*/false));
  EXPECT_EQ(Timeout_, milliseconds(1500));
}

/// Follows one part of a table over a link of limited bandwidth.
class TableFollowerTest : public testing::Test {
public:
  TableFollowerTest()
      : Store_(Clock_),
        Follower_(std::make_shared<TableFollower>(
            Store_, Clock_, Logger_, "table", "", milliseconds(50),
            [this](const std::vector<StoreRow> &Rows, bool IsSnapshot) {
              if (IsSnapshot)
                SnapshotRows_ = Rows.size();
            })) {}

  void addRows(int Rows) {
    for (int Row = 0; Row < Rows; ++Row)
      Store_.add({"table", "", std::to_string(1000000 + Row)});
  }
  void run(std::chrono::seconds Time) {
    const TimePoint Start = Clock_.now();
    while (!Follower_->isLoaded() && Clock_.now() < Start + Time) {
      Follower_->tick();
      Store_.completeReads();
      Clock_.advance(milliseconds(10));
    }
  }

  ManualClock Clock_;
  milliseconds Timeout_{0};
  SilentLogger Logger_;
  LimitedBandwidthStore Store_;
  std::size_t SnapshotRows_ = 0;
  std::shared_ptr<TableFollower> Follower_;
};

TEST_F(TableFollowerTest, LoadsTableWhenFullPageTimesOut) {
  Store_.RowsPerCall_ = 60;
  addRows(800);
  run(std::chrono::seconds(30));
  EXPECT_EQ(SnapshotRows_, 800U);
}

TEST_F(TableFollowerTest, LoadsInFewPagesOverFastLink) {
  addRows(5000);
  run(std::chrono::seconds(30));
  EXPECT_EQ(SnapshotRows_, 5000U);
  EXPECT_LT(Store_.Calls_, 16U);
}

TEST_F(TableFollowerTest, ExtendsTimeoutForPartiallyReceivedBacklog) {
  addRows(1);
  run(std::chrono::seconds(1));
  EXPECT_TRUE(
      receiveBacklog(*this, milliseconds(8000), /*HasPartialResponse=*/true));
}

TEST_F(TableFollowerTest, KeepsTimeoutOnSilentConnection) {
  addRows(1);
  run(std::chrono::seconds(1));
  EXPECT_FALSE(
      receiveBacklog(*this, milliseconds(8000), /*HasPartialResponse=*/false));
  EXPECT_EQ(Timeout_, milliseconds(1500));
}

TEST_F(TableFollowerTest, ResponseReadAfterASuspensionIsNotCurrent) {
  addRows(1);
  run(std::chrono::seconds(1));
  Clock_.advance(milliseconds(200));
  Follower_->tick();
  ASSERT_EQ(Store_.Waits_.size(), 1U);
  const TimePoint LatestResponse = Clock_.now() + Store_.Waits_[0].Timeout_;
  Clock_.advance(std::chrono::seconds(10));
  StoreChanges Changes;
  Changes.Outcome_ = StoreOutcome::Done;
  Store_.Waits_[0].Done_(Changes);
  EXPECT_LE(Follower_->currentAsOf(), LatestResponse);
}

// Guards against a proof that covers changes which the store acknowledged while
// its response was under way.
TEST_F(TableFollowerTest, ProofDatesFromWhenTheCallWasSent) {
  addRows(1);
  run(std::chrono::seconds(1));
  Follower_->tick();
  ASSERT_EQ(Store_.Waits_.size(), 1U);
  const TimePoint LatestSend = Clock_.now();
  const TimePoint Before = Follower_->provenAsOf();
  Clock_.advance(milliseconds(100));
  StoreChanges Changes;
  Changes.Outcome_ = StoreOutcome::Done;
  Store_.Waits_[0].Done_(Changes);
  EXPECT_GT(Follower_->provenAsOf(), Before);
  EXPECT_LE(Follower_->provenAsOf(), LatestSend);
}

} // namespace
} // namespace dragonflylock
