#include "scheduling/tests/mocks/leasedworker.h"
#include "scheduling/tests/mocks/poolownertest.h"

#include <deque>
#include <optional>

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;

/// The worker w1 crashes and returns under its old id while a hold order that
/// acknowledges an end of its former lifetime is on its way. The later lifetime
/// must not forget ends of its own that the owner has not seen.
class LateAcknowledgementTest : public PoolOwnerTest,
                                public testing::WithParamInterface<bool> {
protected:
  static constexpr milliseconds LaterBorn{900};
  static constexpr WorkerClock FormerClock{8'000'000};
  static constexpr WorkerClock LaterClock{2'000'000};

  static TaskName task(std::uint32_t Step) { return {JobId, 0, Step, 0}; }

  /// A job of two steps of one task each, one after the other.
  static JobSpec twoSteps() {
    JobSpec Spec = jobOf(1);
    Spec.Steps_.push_back(Spec.Steps_.front());
    Spec.Steps_.back().After_ = {0};
    return Spec;
  }

  /// Runs the task of the first step on w1 until it is done.
  void finishFirstStep() {
    storeJob(twoSteps());
    buildOwner(0);
    // Only a renewal provides tokens above the first one.
    if (GetParam())
      Owner_->extendLease(Clock_.now() + std::chrono::hours(1), Token + 20, 0);
    Owner_->onWorkers({worker("w1")});
    for (int Round = 0; Round < 5; ++Round)
      Owner_->tick();
    Former_.emplace(Clock_, milliseconds(5), FormerClock);
    serve();
    ASSERT_EQ(Workers_.Starts_.size(), 1U);
    startNextOn(*Former_);
    serve();
    Former_->finish(task(0));
  }

  void serve() {
    std::deque<RecordingWorkers::Hold> Holds;
    Holds.swap(Workers_.Holds_);
    for (RecordingWorkers::Hold &Each : Holds)
      Each.Done_(Former_->carryOut(Each.Order_));
    tickTwice();
  }

  void startNextOn(LeasedWorker &Worker) {
    RecordingWorkers::Start Start = Workers_.takeStart();
    Start.Done_(Worker.carryOut(Start.Order_));
    Owner_->tick();
  }

  void setState(WorkerState State) {
    WorkerEntry Entry = worker("w1");
    Entry.State_ = State;
    Owner_->onWorkers({Entry});
  }

  /// Serves holds that acknowledge nothing.
  /// \returns the first one that does, which is left unanswered.
  std::optional<HoldOrder> awaitAcknowledgement() {
    for (int Round = 0; Round < 100; ++Round) {
      tickTwice();
      if (!Workers_.Holds_.empty() &&
          Workers_.Holds_.front().Order_.AcknowledgedEnd_ > 0)
        return Workers_.takeHold().Order_;
      serve();
      Clock_.advance(milliseconds(10));
    }
    return std::nullopt;
  }

  void restart() { Later_.emplace(Clock_, LaterBorn, LaterClock); }

  std::optional<LeasedWorker> Former_;
  std::optional<LeasedWorker> Later_;
};

// Guards against a task that runs twice, since the end of its run was forgotten
// by an acknowledgement that was sent before its start.
TEST_P(LateAcknowledgementTest, ForgetsNoEndOfARunThatWasOrderedAfterIt) {
  finishFirstStep();
  setState(WorkerState::Draining);
  auto Late = awaitAcknowledgement();
  ASSERT_TRUE(Late);
  restart();
  setState(WorkerState::Ready);
  tickTwice();
  if (Workers_.Starts_.empty())
    return;
  startNextOn(*Later_);
  Later_->finish(task(1));
  Later_->carryOut(*Late);
  EXPECT_EQ(Later_->ends().size(), 1U);
}

// Guards against the same by an acknowledgement that was sent after the start,
// when a later lifetime has confirmed it.
TEST_P(LateAcknowledgementTest, ForgetsNoEndOfARunThatWasOrderedBeforeIt) {
  finishFirstStep();
  serve();
  ASSERT_EQ(Workers_.Starts_.size(), 1U);
  // The owner has the lists of the former lifetime.
  restart();
  startNextOn(*Later_);
  tickTwice();
  Later_->finish(task(1));
  for (const RecordingWorkers::Hold &Each : Workers_.Holds_)
    Later_->carryOut(Each.Order_);
  EXPECT_EQ(Later_->ends().size(), 1U);
}

// Guards against a worker that gets no further starts after an acknowledgement
// without a response.
TEST_P(LateAcknowledgementTest, WorkerIsUsedAgainUnderAHigherToken) {
  finishFirstStep();
  setState(WorkerState::Draining);
  auto Late = awaitAcknowledgement();
  ASSERT_TRUE(Late);
  setState(WorkerState::Ready);
  Owner_->extendLease(Clock_.now() + std::chrono::hours(1), Token + 40, 0);
  tickTwice();
  ASSERT_EQ(Workers_.Starts_.size(), 1U);
  EXPECT_GT(Workers_.Starts_.front().Order_.Token_, Late->Token_);
}

// Guards against ends that stay unacknowledged because starts follow each
// other without a pause.
TEST_P(LateAcknowledgementTest, EndsAreAcknowledgedAmongStarts) {
  finishFirstStep();
  serve();
  ASSERT_EQ(Workers_.Starts_.size(), 1U);
  startNextOn(*Former_);
  auto Order = awaitAcknowledgement();
  ASSERT_TRUE(Order);
  EXPECT_EQ(Order->AcknowledgedEnd_, 1U);
}

INSTANTIATE_TEST_SUITE_P(Renewals, LateAcknowledgementTest, testing::Bool(),
                         testing::PrintToStringParamName());

} // namespace
} // namespace dragonflylock
