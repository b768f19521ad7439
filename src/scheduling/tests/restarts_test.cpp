#include "scheduling/tests/mocks/poolownertest.h"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;

/// A job with long-running tasks, and two workers.
class RestartsTest : public PoolOwnerTest {
protected:
  static constexpr milliseconds Round{2};
  /// Restarts that a pool may make in a second: 400 immediate ones, and one of
  /// each task that was delayed.
  static constexpr std::size_t MaxRestarts = 400;

  void takeOwnershipOfJob(std::uint32_t Tasks) {
    JobSpec Spec = servingJob();
    Spec.Steps_[0].TaskCount_ = Tasks;
    storeJob(Spec);
    takeOwnership(0, {worker("w1"), worker("w2")});
  }

  /// Lets time pass. Workers accept starts, and each run ends in the way of \p
  /// Kind once it has lasted for \p RunTime.
  void runFor(milliseconds Length, EndKind Kind, milliseconds RunTime) {
    for (milliseconds Passed{0}; Passed < Length; Passed += Round) {
      Clock_.advance(Round);
      for (auto &Each : std::exchange(Workers_.Starts_, {})) {
        recordStart(Each.Order_.Task_);
        Running_[Each.Target_.Id_][Each.Order_.Task_] = Each.Order_.Run_;
        Each.Done_({OrderOutcome::Accepted, WorkerClock(1000)});
      }
      for (auto &Each : std::exchange(Workers_.Holds_, {}))
        Each.Done_(listsOf(Each.Target_.Id_, Kind, RunTime));
      Owner_->tick();
    }
  }

  HoldAnswer listsOf(const std::string &Worker, EndKind Kind,
                     milliseconds RunTime) {
    HoldAnswer Lists = acceptedAnswer({});
    for (const auto &[Task, Run] : Running_[Worker]) {
      if (Clock_.now() < StartedAt_[Task] + RunTime) {
        Lists.Running_.push_back({Task, Run});
        continue;
      }
      EndedAt_[Task] = Clock_.now();
      Lists.Ended_.push_back({++Ends_[Worker], Task, Run, Kind, ""});
    }
    for (const ListedEnd &Each : Lists.Ended_)
      Running_[Worker].erase(Each.Task_);
    return Lists;
  }

  void recordStart(const TaskName &Task) {
    StartedAt_[Task] = Clock_.now();
    if (EndedAt_.contains(Task))
      Waits_.push_back(std::chrono::duration_cast<milliseconds>(
          Clock_.now() - EndedAt_[Task]));
  }

  milliseconds longestWait() const {
    return Waits_.empty() ? milliseconds(0)
                          : *std::max_element(Waits_.begin(), Waits_.end());
  }

  /// By worker: the numbers of its runs.
  std::map<std::string, std::map<TaskName, RunNumber>> Running_;
  std::map<std::string, std::uint64_t> Ends_;
  std::map<TaskName, TimePoint> StartedAt_;
  std::map<TaskName, TimePoint> EndedAt_;
  /// Time from each end to the next start of the task.
  std::vector<milliseconds> Waits_;
};

// Guards against thousands of starts a second of tasks that fail at once, which
// take the processor of their pool's owner from all other jobs.
TEST_F(RestartsTest, TasksThatFailAtOnceAreNotRestartedWithoutLimit) {
  constexpr std::uint32_t Tasks = 20;
  takeOwnershipOfJob(Tasks);
  runFor(milliseconds(10000), EndKind::Failed, milliseconds(0));
  EXPECT_LE(Waits_.size(), 10 * (MaxRestarts + Tasks));
  // No task may wait for 3 s beside free workers.
  EXPECT_LT(longestWait(), milliseconds(3000));
}

TEST_F(RestartsTest, TasksThatEndAtOnceAreNotRestartedWithoutLimit) {
  constexpr std::uint32_t Tasks = 20;
  takeOwnershipOfJob(Tasks);
  runFor(milliseconds(10000), EndKind::Done, milliseconds(0));
  EXPECT_LE(Waits_.size(), 10 * (MaxRestarts + Tasks));
  EXPECT_LT(longestWait(), milliseconds(3000));
}

TEST_F(RestartsTest, ATaskIsRestartedAtOnceAfterALongRun) {
  takeOwnershipOfJob(1);
  runFor(milliseconds(3000), EndKind::Done, milliseconds(0));
  // The last delay may still elapse before the first long run.
  runFor(milliseconds(3000), EndKind::Done, milliseconds(2500));
  Waits_.clear();
  runFor(milliseconds(20000), EndKind::Done, milliseconds(2500));
  EXPECT_GT(Waits_.size(), 6U);
  EXPECT_LE(longestWait(), 2 * Round);
}

TEST_F(RestartsTest, ATaskIsRestartedAtOnceAfterASingleShortRun) {
  takeOwnershipOfJob(1);
  runFor(4 * Round, EndKind::Failed, milliseconds(0));
  EXPECT_EQ(Waits_.size(), 1U);
}

} // namespace
} // namespace dragonflylock
