#include "scheduling/tests/mocks/poolownertest.h"

#include <algorithm>
#include <set>

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;

/// Fixture in which workers crash and are started again.
class DeadlyTasksTest : public PoolOwnerTest {
protected:
  /// Confirms the start orders that are waiting. Their runs are not listed yet.
  /// \returns the orders.
  std::vector<RecordingWorkers::Start> confirmStarts() {
    std::vector<RecordingWorkers::Start> Confirmed;
    while (!Workers_.Starts_.empty()) {
      Confirmed.push_back(Workers_.takeStart());
      Confirmed.back().Done_({OrderOutcome::Accepted, WorkerClock_});
    }
    tickTwice();
    return Confirmed;
  }

  /// Crashes the worker: its calls fail, and a later lifetime of the same
  /// machine registers.
  void crash(const std::string &Id) {
    auto Crashed =
        std::find_if(Fleet_.begin(), Fleet_.end(),
                     [&](const WorkerEntry &Each) { return Each.Id_ == Id; });
    ASSERT_NE(Crashed, Fleet_.end());
    answerHolds({Id});
    Crashed->Id_ = "again-" + Id;
    Crashed->Born_ += milliseconds(4000);
    Owner_->onWorkers(Fleet_);
    tickTwice();
    answerHolds({});
  }

  /// Crashes the workers at the same moment.
  void crashTogether(const std::set<std::string> &Ids) {
    for (WorkerEntry &Each : Fleet_) {
      if (!Ids.contains(Each.Id_))
        continue;
      Each.Id_ = "again-" + Each.Id_;
      Each.Born_ += milliseconds(4000);
    }
    answerHolds(Ids);
    Owner_->onWorkers(Fleet_);
    tickTwice();
    answerHolds({});
  }

  /// \returns the workers in the zone of the given worker.
  std::set<std::string> neighboursOf(const std::string &Id) const {
    auto Found =
        std::find_if(Fleet_.begin(), Fleet_.end(),
                     [&](const WorkerEntry &Each) { return Each.Id_ == Id; });
    std::set<std::string> Ids;
    for (const WorkerEntry &Each : Fleet_)
      if (Each.Zone_ == Found->Zone_)
        Ids.insert(Each.Id_);
    return Ids;
  }

  /// Takes ownership of two zones of four workers each.
  void takeOwnershipOfZones() {
    Fleet_ = takeOwnershipOfFleet(8);
    for (std::size_t Index = 0; Index < Fleet_.size(); ++Index)
      Fleet_[Index].Zone_ = Index < Fleet_.size() / 2 ? "zone-a" : "zone-b";
    Owner_->onWorkers(Fleet_);
  }

  /// Answers the hold orders that are waiting, except those to workers in \p
  /// Failing, which fail.
  void answerHolds(const std::set<std::string> &Failing,
                   const std::vector<ListedRun> &Running = {}) {
    std::deque<RecordingWorkers::Hold> Holds;
    Holds.swap(Workers_.Holds_);
    for (RecordingWorkers::Hold &Each : Holds) {
      HoldAnswer Answer = acceptedAnswer(Running);
      Answer.Clock_ = WorkerClock_;
      Answer.Born_ = milliseconds(0);
      Each.Done_(Failing.contains(Each.Target_.Id_) ? HoldAnswer() : Answer);
    }
    tickTwice();
  }

  /// Lets time pass for the owner and the workers.
  void advance(milliseconds Time) {
    Clock_.advance(Time);
    WorkerClock_ += Time;
    tickTwice();
  }

  /// Lets time pass until the owner sends a start order, for at most 8 s.
  void waitForStart() {
    for (int Wait = 0; Wait < 80 && Workers_.Starts_.empty(); ++Wait) {
      advance(milliseconds(100));
      answerHolds({});
    }
  }

  /// Crashes each worker that starts a task until the owner starts none for a
  /// while.
  /// \returns the number of crashes, at most \p Most.
  int crashEachWorker(int Most) {
    for (int Crashes = 0; Crashes < Most; ++Crashes) {
      waitForStart();
      auto Started = confirmStarts();
      if (Started.empty())
        return Crashes;
      crash(Started.front().Target_.Id_);
    }
    return Most;
  }

  std::string storedState() {
    return Store_.Rows_[jobrows::keyOf("queue", JobId, JobRowKind::Progress)]
        .Value_;
  }

  std::vector<WorkerEntry> Fleet_;
  WorkerClock WorkerClock_{1000};
};

TEST_F(DeadlyTasksTest, TaskThatCrashesItsWorkersIsGivenUp) {
  storeJob(jobOf(1));
  Fleet_ = takeOwnershipOfFleet(8);
  EXPECT_EQ(crashEachWorker(8), 3);
  EXPECT_NE(storedState().find("\"failed\""), std::string::npos);
}

TEST_F(DeadlyTasksTest, CrashesUnderEarlierOwnersCount) {
  storeJob(jobOf(1));
  Fleet_ = takeOwnershipOfFleet(8);
  ASSERT_EQ(crashEachWorker(2), 2);
  advance(milliseconds(100));
  Owner_.reset();
  Workers_.Starts_.clear();
  Workers_.Holds_.clear();
  Clock_.advance(milliseconds(10000));
  takeOwnership(1, Fleet_);
  answerHolds({});
  EXPECT_EQ(crashEachWorker(8), 1);
}

TEST_F(DeadlyTasksTest, TaskWaitsUntilItsSecondCrashIsStored) {
  storeJob(jobOf(1));
  Fleet_ = takeOwnershipOfFleet(8);
  Store_.DelaysResponses_ = true;
  EXPECT_EQ(crashEachWorker(3), 2);
  Store_.release();
  waitForStart();
  EXPECT_EQ(Workers_.Starts_.size(), 1U);
}

TEST_F(DeadlyTasksTest, TaskThatRanBesideACrashIsNotBlamed) {
  storeJob(jobOf(1));
  Fleet_ = takeOwnershipOfFleet(8);
  for (int Crash = 0; Crash < 5; ++Crash) {
    waitForStart();
    auto Started = confirmStarts();
    ASSERT_EQ(Started.size(), 1U) << Crash;
    const StartOrder &Order = Started.front().Order_;
    advance(milliseconds(1000));
    answerHolds({}, {{Order.Task_, Order.Run_, "", 100, 0}});
    crash(Started.front().Target_.Id_);
  }
  waitForStart();
  EXPECT_EQ(Workers_.Starts_.size(), 1U);
}

TEST_F(DeadlyTasksTest, RunsOfPreviousOwnersAreNotBlamed) {
  storeJob(jobOf(1));
  Fleet_ = {worker("w0")};
  storeRoster(Fleet_);
  const TaskName Task{JobId, 0, 0, 0};
  for (std::uint64_t Predecessors = 1; Predecessors < 5; ++Predecessors) {
    takeOwnership(Predecessors, Fleet_);
    answerHolds({}, {{Task, Predecessors * 10000 - 1, "", 100, 0}});
    crash(Fleet_.front().Id_);
    EXPECT_EQ(storedState().find("crashed"), std::string::npos);
    Owner_.reset();
    Workers_.Starts_.clear();
    Workers_.Holds_.clear();
    Clock_.advance(milliseconds(10000));
  }
}

TEST_F(DeadlyTasksTest, LongRunningTaskIsNotGivenUpForCrashesOfItsZone) {
  storeJob(servingJob());
  takeOwnershipOfZones();
  for (int Crash = 0; Crash < 5; ++Crash) {
    waitForStart();
    auto Started = confirmStarts();
    ASSERT_FALSE(Started.empty()) << "given up after " << Crash << " crashes";
    crashTogether(neighboursOf(Started.front().Target_.Id_));
  }
  EXPECT_EQ(storedState().find("\"failed\""), std::string::npos);
}

TEST_F(DeadlyTasksTest, TasksThatCrashWorkersOfAZoneTogetherAreGivenUp) {
  storeJob(jobOf(4));
  takeOwnershipOfZones();
  std::size_t Crashes = 0;
  for (waitForStart(); !Workers_.Starts_.empty(); waitForStart()) {
    std::set<std::string> Started;
    for (const RecordingWorkers::Start &Each : confirmStarts())
      Started.insert(Each.Target_.Id_);
    Crashes += Started.size();
    ASSERT_LE(Crashes, 16U);
    crashTogether(Started);
  }
  EXPECT_NE(storedState().find("\"failed\""), std::string::npos);
}

TEST_F(DeadlyTasksTest, CrashLongAfterALapseIsNotBlamedOnTheLapsedRuns) {
  storeJob(jobOf(2));
  Fleet_ = takeOwnershipOfFleet(1);
  waitForStart();
  ASSERT_EQ(confirmStarts().size(), 2U);
  for (int Wait = 0; Wait < 80; ++Wait) {
    advance(milliseconds(100));
    answerHolds({Fleet_.front().Id_});
  }
  waitForStart();
  std::vector<ListedRun> Running;
  for (const RecordingWorkers::Start &Each : confirmStarts())
    Running.push_back({Each.Order_.Task_, Each.Order_.Run_, "", 100, 0});
  ASSERT_EQ(Running.size(), 2U);
  advance(milliseconds(1000));
  answerHolds({}, Running);
  crash(Fleet_.front().Id_);
  EXPECT_EQ(storedState().find("crashed"), std::string::npos);
}

} // namespace
} // namespace dragonflylock
