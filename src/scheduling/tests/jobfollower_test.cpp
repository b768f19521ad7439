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

/// Keeps each call until the test answers it.
class RecordingStore : public IStore {
public:
  struct Read {
    std::string From_;
    RangeDone Done_;
  };

  void transact(StoreTransaction, TransactionDone) override {}
  void readRange(const std::string &, const std::string &,
                 const std::string &From, const std::string &, std::size_t,
                 RangeDone Done) override {
    Reads_.push_back({From, std::move(Done)});
  }
  void awaitChanges(const std::string &, StoreVersion,
                    std::chrono::milliseconds, ChangesDone Done) override {
    Awaited_.push_back(std::move(Done));
  }

  Read takeRead() {
    Read First = std::move(Reads_.front());
    Reads_.pop_front();
    return First;
  }

  std::deque<Read> Reads_;
  std::deque<ChangesDone> Awaited_;
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

  void answerRead(const std::vector<StoreRow> &Rows, bool HasMore,
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

  void answerAwait(const StoreChanges &Changes) {
    ASSERT_FALSE(Store_.Awaited_.empty());
    IStore::ChangesDone Done = std::move(Store_.Awaited_.front());
    Store_.Awaited_.pop_front();
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

TEST_F(JobFollowerChangesTest, AChangeIsNotLostThatOvertakesThePageOfItsJob) {
  answerRead({rowOf("01", JobRowKind::Submission, 1)}, /*HasMore=*/true, 5);
  StoreChanges Changes;
  Changes.Outcome_ = StoreOutcome::Done;
  Changes.Rows_ = {rowOf("02", JobRowKind::Cancellation, 6)};
  Changes.Version_ = 6;
  answerAwait(Changes);
  answerRead({rowOf("02", JobRowKind::Submission, 2)}, /*HasMore=*/false, 5);
  ASSERT_GE(Seen_.size(), 2U);
  EXPECT_EQ(jobrows::kindOf(Seen_.back().Name_), JobRowKind::Cancellation);
  Seen_.pop_back();
  EXPECT_EQ(jobrows::kindOf(Seen_.back().Name_), JobRowKind::Submission);
}

TEST_F(JobFollowerChangesTest, AChangeIsGivenAtOnceWhileAQueueIsRead) {
  answerRead({rowOf("01", JobRowKind::Submission, 1)}, /*HasMore=*/true, 5);
  StoreChanges Changes;
  Changes.Outcome_ = StoreOutcome::Done;
  Changes.Rows_ = {rowOf("01", JobRowKind::Cancellation, 6)};
  Changes.Version_ = 6;
  answerAwait(Changes);
  EXPECT_EQ(jobrows::kindOf(Seen_.back().Name_), JobRowKind::Cancellation);
}

TEST_F(JobFollowerChangesTest,
       ReadsFromTheBeginningWhenHistoryIsLostBetweenPages) {
  answerRead({rowOf("01", JobRowKind::Submission, 1)}, /*HasMore=*/true, 5);
  StoreChanges Lost;
  Lost.Outcome_ = StoreOutcome::HistoryLost;
  answerAwait(Lost);
  answerRead({rowOf("03", JobRowKind::Submission, 2)}, /*HasMore=*/false, 9);
  EXPECT_FALSE(Follower_->isLoaded());
  ASSERT_FALSE(Store_.Reads_.empty());
  EXPECT_EQ(Store_.Reads_.front().From_, "");
}

} // namespace
} // namespace dragonflylock
