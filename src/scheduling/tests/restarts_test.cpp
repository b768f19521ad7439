#include "scheduling/tests/mocks/poolownertest.h"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;

/// A job with one long-running task, and two workers.
class RestartsTest : public PoolOwnerTest {
protected:
  static constexpr milliseconds Round{50};

  RestartsTest() {
    JobSpec Spec = servingJob();
    Spec.Steps_[0].TaskCount_ = 1;
    storeJob(Spec);
    takeOwnership(0, {worker("w1"), worker("w2")});
  }

  /// Lets time pass. Workers accept starts, and each run ends in the way of \p
  /// Kind once it has lasted for \p RunTime.
  void runFor(milliseconds Length, EndKind Kind, milliseconds RunTime) {
    for (milliseconds Passed{0}; Passed < Length; Passed += Round) {
      Clock_.advance(Round);
      for (auto &Each : std::exchange(Workers_.Starts_, {})) {
        recordStart();
        Running_[Each.Target_.Id_] = Each.Order_.Run_;
        Each.Done_({OrderOutcome::Accepted, WorkerClock(1000)});
      }
      for (auto &Each : std::exchange(Workers_.Holds_, {}))
        Each.Done_(listsOf(Each.Target_.Id_, Kind, RunTime));
      Owner_->tick();
    }
  }

  HoldAnswer listsOf(const std::string &Worker, EndKind Kind,
                     milliseconds RunTime) {
    auto Found = Running_.find(Worker);
    if (Found == Running_.end())
      return acceptedAnswer({});
    ListedRun Listed;
    Listed.Task_ = {JobId, 0, 0, 0};
    Listed.Run_ = Found->second;
    if (Clock_.now() < StartedAt_ + RunTime)
      return acceptedAnswer({Listed});
    ListedEnd End;
    End.Sequence_ = ++Ends_[Worker];
    End.Task_ = Listed.Task_;
    End.Run_ = Listed.Run_;
    End.Kind_ = Kind;
    Running_.erase(Found);
    EndedAt_ = Clock_.now();
    return acceptedAnswer({}, {End});
  }

  void recordStart() {
    StartedAt_ = Clock_.now();
    if (EndedAt_ != TimePoint())
      Waits_.push_back(
          std::chrono::duration_cast<milliseconds>(StartedAt_ - EndedAt_));
  }

  milliseconds longestWait() const {
    return Waits_.empty() ? milliseconds(0)
                          : *std::max_element(Waits_.begin(), Waits_.end());
  }

  /// Run on each worker.
  std::map<std::string, RunNumber> Running_;
  std::map<std::string, std::uint64_t> Ends_;
  TimePoint StartedAt_;
  TimePoint EndedAt_;
  /// Time from each end to the next start.
  std::vector<milliseconds> Waits_;
};

// Guards against thousands of starts a second of a task that fails at once,
// which use up the run numbers, the store's writes and the owner's processor.
TEST_F(RestartsTest, ATaskThatFailsAtOnceIsNotRestartedInALoop) {
  runFor(std::chrono::minutes(1), EndKind::Failed, milliseconds(0));
  EXPECT_LE(Waits_.size(), 60U);
  EXPECT_LT(longestWait(), milliseconds(3000));
}

TEST_F(RestartsTest, ATaskThatEndsAtOnceIsNotRestartedInALoop) {
  runFor(std::chrono::minutes(1), EndKind::Done, milliseconds(0));
  EXPECT_LE(Waits_.size(), 60U);
  EXPECT_LT(longestWait(), milliseconds(3000));
}

TEST_F(RestartsTest, ATaskIsRestartedAtOnceAfterALongRun) {
  runFor(std::chrono::minutes(1), EndKind::Failed, milliseconds(0));
  // The last delay may still elapse before the first long run.
  runFor(milliseconds(3000), EndKind::Failed, milliseconds(5000));
  Waits_.clear();
  runFor(std::chrono::minutes(1), EndKind::Failed, milliseconds(5000));
  EXPECT_GT(Waits_.size(), 8U);
  EXPECT_LE(longestWait(), 2 * Round);
}

TEST_F(RestartsTest, ATaskIsRestartedAtOnceAfterASingleShortRun) {
  runFor(4 * Round, EndKind::Failed, milliseconds(0));
  EXPECT_EQ(Waits_.size(), 1U);
}

} // namespace
} // namespace dragonflylock
