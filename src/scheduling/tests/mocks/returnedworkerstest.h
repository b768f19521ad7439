#ifndef DRAGONFLYLOCK_SCHEDULING_TESTS_MOCKS_RETURNEDWORKERSTEST_H
#define DRAGONFLYLOCK_SCHEDULING_TESTS_MOCKS_RETURNEDWORKERSTEST_H

#include "scheduling/tests/mocks/leasedworker.h"
#include "scheduling/tests/mocks/poolownertest.h"

#include <deque>
#include <functional>
#include <optional>

namespace dragonflylock {

/// The worker w1 crashes and returns under its old id while orders for its
/// former lifetime are on their way, and is cut off later. A task that it
/// runs must not start on w2 meanwhile.
class ReturnedWorkersTest : public PoolOwnerTest {
protected:
  static constexpr std::chrono::milliseconds Step{10};
  static constexpr std::chrono::milliseconds LaterBorn{900};
  /// Clocks of the two lifetimes of w1; the later one is far behind.
  static constexpr WorkerClock FormerClock{8'000'000};
  static constexpr WorkerClock LaterClock{2'000'000};

  static WorkerEntry returnedWorker() {
    WorkerEntry Entry = worker("w1");
    Entry.Born_ = LaterBorn;
    return Entry;
  }

  static const TaskName &task() {
    static const TaskName Name{JobId, 0, 0, 0};
    return Name;
  }

  /// Takes ownership of a job of one task with w1 alone, and sends its start to
  /// w1 when no other order is on its way and no lease is left.
  void startOnFormerLifetime() {
    JobSpec Spec = jobOf(1);
    Spec.Steps_.front().AllowsDuplicates_ = AllowsDuplicates_;
    storeJob(Spec);
    WorkerEntry Busy = worker("w1");
    Busy.State_ = WorkerState::Draining;
    takeOwnership(0, {Busy});
    Former_.emplace(Clock_, std::chrono::milliseconds(5), FormerClock);
    serve(*Former_);
    Clock_.advance(std::chrono::milliseconds(8000));
    renewLease();
    Owner_->onWorkers({worker("w1")});
    tickTwice();
    ASSERT_EQ(Workers_.Starts_.size(), 1U);
  }

  /// The crash of the former lifetime and the start of the later one.
  void restart() {
    Former_.reset();
    Later_.emplace(Clock_, LaterBorn, LaterClock);
  }

  /// Renews the owner's lease, as it does several times a second.
  void renewLease() {
    Owner_->extendLease(Clock_.now() + std::chrono::hours(1), ++Renewal_, 0);
  }

  /// Answers the holds that wait, and none that follow.
  void answerHolds(
      const std::function<HoldAnswer(const RecordingWorkers::Hold &)> &Answer) {
    std::deque<RecordingWorkers::Hold> Holds;
    Holds.swap(Workers_.Holds_);
    for (RecordingWorkers::Hold &Each : Holds)
      Each.Done_(Answer(Each));
  }

  void serve(LeasedWorker &Worker) {
    answerHolds([&Worker](const RecordingWorkers::Hold &Each) {
      return Worker.carryOut(Each.Order_);
    });
    Owner_->tick();
  }

  /// Lets the holds that wait fail.
  void failHolds() {
    answerHolds([](const RecordingWorkers::Hold &) { return HoldAnswer(); });
  }

  /// Cuts w1 off and lists w2, and expects that the task starts on w2, and not
  /// while it runs on w1.
  void expectNoStartWhileItRuns(const std::vector<WorkerEntry> &Listed) {
    constexpr std::chrono::milliseconds Longest{20000};
    std::vector<WorkerEntry> All = Listed;
    All.push_back(worker("w2"));
    Owner_->onWorkers(All);
    for (std::chrono::milliseconds Passed{0}; Passed < Longest;
         Passed += Step) {
      Clock_.advance(Step);
      Owner_->tick();
      answerHolds([](const RecordingWorkers::Hold &Each) {
        return Each.Target_.Id_ == "w2" ? acceptedAnswer({}) : HoldAnswer();
      });
      if (Workers_.Starts_.empty())
        continue;
      EXPECT_EQ(Workers_.Starts_.front().Target_.Id_, "w2");
      EXPECT_FALSE(Later_->isRunning(task())) << Passed.count() << " ms";
      return;
    }
    ADD_FAILURE() << "the task has not started again";
  }

  std::optional<LeasedWorker> Former_;
  std::optional<LeasedWorker> Later_;
  FencingToken Renewal_ = Token + 20;
  bool AllowsDuplicates_ = false;
};

} // namespace dragonflylock

#endif
