#include "global/tests/mocks/manualclock.h"
#include "scheduling/internal/jobfollower.h"
#include "scheduling/istore.h"
#include "scheduling/jobrows.h"
#include "scheduling/tests/mocks/fakefleet.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <string>
#include <vector>

namespace dragonflylock {
namespace {

/// Records each call until the test completes it.
class RecordingStore : public IStore {
public:
  struct Read {
    std::string From_;
    RangeCallback Done_;
  };

  void transact(StoreTransaction, TransactionCallback) override {}
  void readRange(const std::string &, const std::string &,
                 const std::string &From, const std::string &, std::size_t,
                 RangeCallback Done) override {
    Reads_.push_back({From, std::move(Done)});
  }
  void awaitChanges(const std::string &, StoreVersion,
                    std::chrono::milliseconds, ChangesCallback Done) override {
    Polls_.push_back(std::move(Done));
  }

  Read takeRead() {
    Read First = std::move(Reads_.front());
    Reads_.pop_front();
    return First;
  }

  std::deque<Read> Reads_;
  std::deque<ChangesCallback> Polls_;
};

class JobFollowerChangesTest : public testing::Test {
protected:
  JobFollowerChangesTest() {
    Follower_->follow({"queue"});
    Follower_->tick();
  }

  static StoreRow rowOf(const std::string &Job, JobRowKind Kind,
                        StoreVersion Version) {
    return {jobrows::keyOf("queue", Job, Kind), "", Version, false};
  }

  void completeRead(const std::vector<StoreRow> &Rows, bool HasMore,
                    StoreVersion Version) {
    ASSERT_FALSE(Store_.Reads_.empty());
    StoreRange Page;
    Page.Outcome_ = StoreOutcome::Done;
    Page.Rows_ = Rows;
    Page.HasMore_ = HasMore;
    Page.Version_ = Version;
    Store_.takeRead().Done_(Page);
    Follower_->tick();
  }

  void completePoll(const StoreChanges &Changes) {
    ASSERT_FALSE(Store_.Polls_.empty());
    IStore::ChangesCallback Done = std::move(Store_.Polls_.front());
    Store_.Polls_.pop_front();
    Done(Changes);
    Follower_->tick();
  }

  ManualClock Clock_;
  SilentLogger Logger_;
  RecordingStore Store_;
  std::vector<StoreRow> Seen_;
  std::shared_ptr<JobFollower> Follower_ = std::make_shared<JobFollower>(
      Store_, Clock_, Logger_,
      [this](const StoreRow &Row) { Seen_.push_back(Row); });
};

TEST_F(JobFollowerChangesTest, RedeliversChangeReceivedBeforeThePageOfItsJob) {
  completeRead({rowOf("01", JobRowKind::Submission, 1)}, /*HasMore=*/true, 5);
  StoreChanges Changes;
  Changes.Outcome_ = StoreOutcome::Done;
  Changes.Rows_ = {rowOf("02", JobRowKind::Cancellation, 6)};
  Changes.Version_ = 6;
  completePoll(Changes);
  completeRead({rowOf("02", JobRowKind::Submission, 2)}, /*HasMore=*/false, 5);
  ASSERT_GE(Seen_.size(), 2U);
  EXPECT_EQ(jobrows::kindOf(Seen_.back().Name_), JobRowKind::Cancellation);
  Seen_.pop_back();
  EXPECT_EQ(jobrows::kindOf(Seen_.back().Name_), JobRowKind::Submission);
}

TEST_F(JobFollowerChangesTest, DeliversChangeAtOnceWhileQueueIsLoading) {
  completeRead({rowOf("01", JobRowKind::Submission, 1)}, /*HasMore=*/true, 5);
  StoreChanges Changes;
  Changes.Outcome_ = StoreOutcome::Done;
  Changes.Rows_ = {rowOf("01", JobRowKind::Cancellation, 6)};
  Changes.Version_ = 6;
  completePoll(Changes);
  EXPECT_EQ(jobrows::kindOf(Seen_.back().Name_), JobRowKind::Cancellation);
}

TEST_F(JobFollowerChangesTest, RestartsLoadWhenHistoryIsLostBetweenPages) {
  completeRead({rowOf("01", JobRowKind::Submission, 1)}, /*HasMore=*/true, 5);
  StoreChanges Lost;
  Lost.Outcome_ = StoreOutcome::HistoryLost;
  completePoll(Lost);
  completeRead({rowOf("03", JobRowKind::Submission, 2)}, /*HasMore=*/false, 9);
  EXPECT_FALSE(Follower_->isLoaded());
  ASSERT_FALSE(Store_.Reads_.empty());
  EXPECT_EQ(Store_.Reads_.front().From_, "");
}

} // namespace
} // namespace dragonflylock
