#include "scheduling/tests/mocks/ownertest.h"

#include <algorithm>
#include <map>
#include <utility>

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;

class AcknowledgementTest : public OwnerTest {
protected:
  /// Starts a job with one step of two tasks, one on each of two workers.
  void startTwoTasks(bool IsGang) {
    StepSpec Step;
    Step.TaskCount_ = 2;
    Step.PerTask_ = {8000, 1000, 0};
    Step.Estimate_ = milliseconds(500);
    Step.IsGang_ = IsGang;
    Step.HasCheckpoints_ = true;
    JobSpec Spec;
    Spec.Steps_ = {Step};
    Queue_.MaxFailedRuns_ = 3;
    storeJob(Spec);
    takeOwnership(0, {workerOf("w1", {10000, 32000, 0}),
                      workerOf("w2", {10000, 32000, 0})});
    answerHolds({});
    ASSERT_EQ(Workers_.Starts_.size(), 2U);
    while (!Workers_.Starts_.empty()) {
      RecordingWorkers::Start Next = Workers_.takeStart();
      Orders_[Next.Target_.Id_] = Next.Order_;
      Next.Done_({OrderOutcome::Accepted, WorkerClock(1000)});
    }
    tickTwice();
  }

  ListedEnd endOn(const std::string &Worker, EndKind Kind,
                  const std::string &Checkpoint = "") const {
    const StartOrder &Order = Orders_.at(Worker);
    return {1, Order.Task_, Order.Run_, Kind, Checkpoint};
  }

  /// Answers all hold orders. \p Ended has the run ends to list, by worker id.
  void answerHolds(const std::map<std::string, ListedEnd> &Ended) {
    std::deque<RecordingWorkers::Hold> Holds;
    Holds.swap(Workers_.Holds_);
    for (RecordingWorkers::Hold &Each : Holds) {
      std::uint64_t &Acknowledged = Acknowledged_[Each.Target_.Id_];
      Acknowledged = std::max(Acknowledged, Each.Order_.AcknowledgedEnd_);
      auto Found = Ended.find(Each.Target_.Id_);
      const std::vector<ListedRun> &Running = Running_[Each.Target_.Id_];
      Each.Done_(Found == Ended.end()
                     ? acceptedAnswer(Running)
                     : acceptedAnswer(Running, {Found->second}));
    }
    tickTwice();
  }

  /// Confirms the start orders that wait. The workers list their runs.
  void confirmStarts() {
    while (!Workers_.Starts_.empty()) {
      RecordingWorkers::Start Next = Workers_.takeStart();
      Running_[Next.Target_.Id_].push_back(
          {Next.Order_.Task_, Next.Order_.Run_, "", 100, 0});
      Next.Done_({OrderOutcome::Accepted, WorkerClock(1000)});
    }
  }

  /// Answers the hold orders that are due within the next second.
  void holdAgain(const std::map<std::string, ListedEnd> &Ended) {
    for (int Round = 0; Round < 10; ++Round) {
      Clock_.advance(milliseconds(100));
      tickTwice();
      confirmStarts();
      answerHolds(Ended);
    }
  }

  std::map<std::string, StartOrder> Orders_;
  /// Runs that were started by holdAgain(), by worker id.
  std::map<std::string, std::vector<ListedRun>> Running_;
  /// Highest sequence number that hold orders acknowledged, by worker id.
  std::map<std::string, std::uint64_t> Acknowledged_;
};

TEST_F(AcknowledgementTest, EndsOfAGangWaitUntilTheirEffectIsStored) {
  startTwoTasks(/*IsGang=*/true);
  const std::map<std::string, ListedEnd> Ended = {
      {"w1", endOn("w1", EndKind::Done)}, {"w2", endOn("w2", EndKind::Done)}};
  Store_.DelaysResponses_ = true;
  holdAgain(Ended);
  EXPECT_EQ(Acknowledged_["w1"], 0U);
  EXPECT_EQ(Acknowledged_["w2"], 0U);
  Store_.release();
  holdAgain({});
  EXPECT_EQ(Acknowledged_["w1"], 1U);
  EXPECT_EQ(Acknowledged_["w2"], 1U);
}

TEST_F(AcknowledgementTest, EndWaitsUntilItsCheckpointIsStored) {
  startTwoTasks(/*IsGang=*/false);
  Store_.DelaysResponses_ = true;
  holdAgain({{"w1", endOn("w1", EndKind::LeaseExpired, "checkpoint-1")}});
  EXPECT_EQ(Acknowledged_["w1"], 0U);
  Store_.release();
  holdAgain({});
  EXPECT_EQ(Acknowledged_["w1"], 1U);
  StoreKey Row = jobrows::keyOf("queue", JobId, JobRowKind::Progress);
  EXPECT_NE(Store_.Rows_[Row].Value_.find("checkpoint-1"), std::string::npos);
}

} // namespace
} // namespace dragonflylock
