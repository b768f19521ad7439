#include "scheduling/controlrows.h"
#include "scheduling/tests/mocks/poolownertest.h"

#include <algorithm>
#include <deque>
#include <map>

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;

TEST_F(PoolOwnerTest, StartsTasksOnlyOnWorkersThatHaveSeenItsToken) {
  storeJob(jobOf(1));
  takeOwnership(0, {worker("w1")});
  EXPECT_TRUE(Workers_.Starts_.empty());
  answerHold(acceptedAnswer({}));
  ASSERT_EQ(Workers_.Starts_.size(), 1U);
  EXPECT_EQ(Workers_.Starts_[0].Order_.Token_, Token);
  EXPECT_EQ(Workers_.Starts_[0].Order_.Payload_, "payload");
}

TEST_F(PoolOwnerTest, AdoptsRunsOfItsPredecessor) {
  storeJob(jobOf(1));
  takeOwnership(3, {worker("w1")});
  ListedRun Run;
  Run.Task_ = {JobId, 0, 0, 0};
  Run.Run_ = 1;
  answerHold(acceptedAnswer({Run}));
  EXPECT_TRUE(Workers_.Starts_.empty());
  EXPECT_TRUE(Workers_.Stops_.empty());
}

TEST_F(PoolOwnerTest, UnansweredStartsAreBounded) {
  constexpr std::size_t Tasks = 1600;
  storeJob(jobOf(Tasks));
  takeOwnershipOfFleet(100);
  tickTwice();
  EXPECT_GT(Workers_.Starts_.size(), 0U);
  EXPECT_LE(Workers_.Starts_.size(), 256U);
  std::size_t Started = 0;
  for (int Round = 0; Round < 100 && Started < Tasks; ++Round) {
    for (; !Workers_.Starts_.empty(); ++Started)
      Workers_.takeStart().Done_({OrderOutcome::Accepted, WorkerClock(1000)});
    Owner_->tick();
  }
  EXPECT_EQ(Started, Tasks);
}

TEST_F(PoolOwnerTest, WaitsForRunsOnUnreachableWorker) {
  storeJob(jobOf(1));
  takeOwnership(1, {worker("w1"), worker("w2")});
  answerHold(acceptedAnswer({}));
  Workers_.takeHold().Done_(HoldAnswer());
  Clock_.advance(milliseconds(1000));
  Owner_->tick();
  EXPECT_TRUE(Workers_.Starts_.empty());
  // The registry entry of a partitioned worker expires, but its runs may
  // continue.
  Owner_->onWorkers({worker("w1")});
  Owner_->tick();
  EXPECT_TRUE(Workers_.Starts_.empty());
  Clock_.advance(Settings_.MaxWorkerLease_ + milliseconds(500));
  Owner_->tick();
  EXPECT_EQ(Workers_.Starts_.size(), 1U);
}

TEST_F(PoolOwnerTest, ContactsEveryWorkerWhenLoadingOutlastsAllLeases) {
  storeJob(jobOf(1));
  storeRoster({worker("w1"), worker("w2")});
  Store_.Outcome_ = StoreOutcome::Unknown;
  takeOwnership(1, {worker("w1"), worker("w2")});
  Clock_.advance(Settings_.MaxWorkerLease_ + std::chrono::seconds(3));
  Store_.Outcome_ = StoreOutcome::Done;
  for (int Round = 0; Round < 5; ++Round)
    Owner_->tick();
  ASSERT_EQ(Workers_.Holds_.size(), 2U);
  answerHold(acceptedAnswer({}));
  EXPECT_TRUE(Workers_.Starts_.empty());
  ListedEnd End;
  End.Sequence_ = 1;
  End.Task_ = {JobId, 0, 0, 0};
  End.Run_ = 1;
  End.Kind_ = EndKind::Done;
  answerHold(acceptedAnswer({}, {End}));
  EXPECT_TRUE(Workers_.Starts_.empty());
}

TEST_F(PoolOwnerTest, UsesRunNumbersAboveThoseOfItsPredecessors) {
  storeJob(jobOf(1));
  takeOwnership(2, {worker("w1")});
  answerHold(acceptedAnswer({}));
  ASSERT_EQ(Workers_.Starts_.size(), 1U);
  EXPECT_GT(Workers_.Starts_[0].Order_.Run_, 20000U);
}

TEST_F(PoolOwnerTest, DoesNotExtendLeaseOfSilentWorker) {
  storeJob(jobOf(1));
  takeOwnership(0, {worker("w1")});
  answerHold(acceptedAnswer({}));
  Workers_.takeStart().Done_({OrderOutcome::Accepted, WorkerClock(1000)});
  Owner_->tick();
  RecordingWorkers::Hold First = Workers_.takeHold();
  EXPECT_GT(First.Order_.LeaseEnd_.count(), 0);
  First.Done_(HoldAnswer());
  for (int Round = 0; Round < 80; ++Round) {
    Clock_.advance(milliseconds(100));
    Owner_->onWorkers({worker("w2")});
    Owner_->tick();
    while (!Workers_.Holds_.empty()) {
      RecordingWorkers::Hold Hold = Workers_.takeHold();
      if (Hold.Target_.Id_ == "w2") {
        Hold.Done_(acceptedAnswer({}));
        continue;
      }
      EXPECT_EQ(Hold.Order_.LeaseEnd_.count(), 0);
      Hold.Done_(HoldAnswer());
    }
  }
  ASSERT_FALSE(Workers_.Starts_.empty());
  EXPECT_EQ(Workers_.Starts_[0].Target_.Id_, "w2");
}

TEST_F(PoolOwnerTest, AcknowledgesOnlyToLifetimeThatJustAnswered) {
  storeJob(jobOf(1));
  takeOwnership(0, {worker("w1")});
  answerHold(acceptedAnswer({}));
  Workers_.takeStart().Done_({OrderOutcome::Accepted, WorkerClock(1000)});
  Owner_->tick();
  ListedEnd End;
  End.Sequence_ = 1;
  End.Task_ = {JobId, 0, 0, 0};
  End.Run_ = 1;
  End.Kind_ = EndKind::Done;
  RecordingWorkers::Hold Waiting = Workers_.takeHold();
  Waiting.Done_(acceptedAnswer({}, {End}));
  // The time since the last answer is longer than a worker takes to restart.
  Clock_.advance(milliseconds(2000));
  tickTwice();
  ASSERT_FALSE(Workers_.Holds_.empty());
  EXPECT_EQ(Workers_.Holds_.front().Order_.AcknowledgedEnd_, 0U);
  answerHold(acceptedAnswer({}, {End}));
  ASSERT_FALSE(Workers_.Holds_.empty());
  EXPECT_EQ(Workers_.Holds_.front().Order_.AcknowledgedEnd_, 1U);
}

TEST_F(PoolOwnerTest, StoresRunEndBeforeAcknowledgingIt) {
  storeJob(jobOf(2));
  takeOwnership(0, {worker("w1")});
  answerHold(acceptedAnswer({}));
  Workers_.takeStart().Done_({OrderOutcome::Accepted, WorkerClock(1000)});
  Workers_.takeStart().Done_({OrderOutcome::Accepted, WorkerClock(1000)});
  Owner_->tick();
  Store_.Outcome_ = StoreOutcome::NotDone;
  ListedEnd End;
  End.Sequence_ = 1;
  End.Task_ = {JobId, 0, 0, 0};
  End.Run_ = 1;
  End.Kind_ = EndKind::Done;
  answerHold(acceptedAnswer({}, {End}));
  Clock_.advance(milliseconds(400));
  Owner_->tick();
  ASSERT_FALSE(Workers_.Holds_.empty());
  EXPECT_EQ(Workers_.Holds_.front().Order_.AcknowledgedEnd_, 0U);
}

/// Jobs whose progress must be stored at the same time.
class ProgressBatchTest : public PoolOwnerTest {
protected:
  /// Stores a cancelled job whose first task is done.
  void addCancelledJob(int Number, std::uint32_t Tasks) {
    char Id[17];
    std::snprintf(Id, sizeof(Id), "%016x", Number);
    storeJob(jobOf(Tasks), Id);
    std::string Done = "1" + std::string(Tasks - 1, '0');
    put(jobrows::keyOf("queue", Id, JobRowKind::Progress),
        R"({"state":"running","done":{"0.0":")" + Done + R"("}})");
    put(jobrows::keyOf("queue", Id, JobRowKind::Cancellation), "{}");
  }
  std::size_t storedCancellations() const {
    std::size_t Stored = 0;
    for (const auto &[Name, Row] : Store_.Rows_)
      if (jobrows::kindOf(Name) == JobRowKind::Progress &&
          Row.Value_.find("cancelled") != std::string::npos)
        ++Stored;
    return Stored;
  }
  void runFor(std::chrono::seconds Time) {
    const TimePoint End = Clock_.now() + Time;
    while (Clock_.now() < End) {
      Clock_.advance(milliseconds(100));
      Owner_->tick();
    }
  }

private:
  void put(const StoreKey &Name, const std::string &Value) {
    Store_.Rows_[Name] = {Name, Value, ++Store_.Version_, false};
  }
};

TEST_F(ProgressBatchTest, ShrinksAfterUnansweredTransaction) {
  constexpr std::size_t Jobs = 45;
  for (std::size_t Job = 0; Job < Jobs; ++Job)
    addCancelledJob(static_cast<int>(Job), 2);
  Store_.MostPuts_ = 5;
  takeOwnership(0, {});
  runFor(std::chrono::seconds(10));
  EXPECT_EQ(storedCancellations(), Jobs);
}

TEST_F(ProgressBatchTest, StaysWithinStoreSizeLimit) {
  constexpr std::size_t Jobs = 8;
  constexpr std::uint32_t Tasks = 40000;
  for (std::size_t Job = 0; Job < Jobs; ++Job)
    addCancelledJob(static_cast<int>(Job), Tasks);
  Store_.MostBytes_ = 250000;
  takeOwnership(0, {});
  runFor(std::chrono::seconds(3));
  EXPECT_EQ(storedCancellations(), Jobs);
}

TEST_F(PoolOwnerTest, OneFencedWorkerDoesNotStopThePool) {
  storeJob(jobOf(1));
  takeOwnership(0, {worker("w1"), worker("w2")});
  HoldAnswer Refused;
  Refused.Outcome_ = OrderOutcome::Fenced;
  Workers_.takeHold().Done_(Refused);
  answerHold(acceptedAnswer({}));
  EXPECT_EQ(Workers_.Starts_.size(), 1U);
}

TEST_F(PoolOwnerTest, UsesAWorkerAgainThatHasSeenAHigherToken) {
  storeJob(jobOf(1));
  takeOwnership(0, {worker("w1")});
  HoldAnswer Refused;
  Refused.Outcome_ = OrderOutcome::Fenced;
  constexpr FencingToken Renewal = Token + 20;
  Owner_->extendLease(Clock_.now() + std::chrono::hours(1), Renewal, 0);
  Workers_.takeHold().Done_(Refused);
  Clock_.advance(milliseconds(500));
  tickTwice();
  ASSERT_EQ(Workers_.Holds_.size(), 1U);
  EXPECT_EQ(Workers_.Holds_.front().Order_.Token_, Renewal);
  answerHold(acceptedAnswer({}));
  ASSERT_EQ(Workers_.Starts_.size(), 1U);
  EXPECT_EQ(Workers_.Starts_.front().Order_.Token_, Renewal);
  EXPECT_EQ(Owner_->token(), Token);
}

TEST_F(PoolOwnerTest, PendingJobsAreUnknownUntilLoaded) {
  storeJob(jobOf(1));
  Store_.Outcome_ = StoreOutcome::NotDone;
  takeOwnership(0, {});
  EXPECT_FALSE(Owner_->pendingJobs().has_value());
  Store_.Outcome_ = StoreOutcome::Done;
  Clock_.advance(milliseconds(500));
  for (int Round = 0; Round < 5; ++Round)
    Owner_->tick();
  ASSERT_TRUE(Owner_->pendingJobs().has_value());
  EXPECT_EQ(Owner_->pendingJobs()->at("queue"), 1U);
}

// Guards against a job that counts as pending again with the next owner, since
// its only run has failed.
TEST_F(PoolOwnerTest, JobWhoseRunFailedIsNotPendingForTheNextOwner) {
  storeJob(jobOf(1));
  takeOwnership(0, {worker("w1")});
  answerHold(acceptedAnswer({}));
  const auto Start = Workers_.takeStart();
  Start.Done_({OrderOutcome::Accepted, WorkerClock(1000)});
  ListedEnd End;
  End.Sequence_ = 1;
  End.Task_ = {JobId, 0, 0, 0};
  End.Run_ = Start.Order_.Run_;
  Clock_.advance(milliseconds(100));
  Owner_->tick();
  answerHold(acceptedAnswer({}, {End}));
  Owner_->tick();
  ASSERT_EQ(Owner_->pendingJobs()->at("queue"), 0U);
  Owner_.reset();
  Workers_.Holds_.clear();
  Workers_.Starts_.clear();
  takeOwnership(1, {worker("w1")});
  ASSERT_TRUE(Owner_->pendingJobs().has_value());
  EXPECT_EQ(Owner_->pendingJobs()->at("queue"), 0U);
}

// Guards against a job that counts as pending again after its run was stopped.
TEST_F(PoolOwnerTest, JobWhoseRunWasStoppedIsNotPendingAgain) {
  storeJob(jobOf(1));
  takeOwnership(0, {worker("w1")});
  answerHold(acceptedAnswer({}));
  const auto Start = Workers_.takeStart();
  Start.Done_({OrderOutcome::Accepted, WorkerClock(1000)});
  ASSERT_EQ(Owner_->pendingJobs()->at("queue"), 0U);
  ListedEnd End;
  End.Sequence_ = 1;
  End.Task_ = {JobId, 0, 0, 0};
  End.Run_ = Start.Order_.Run_;
  End.Kind_ = EndKind::Stopped;
  Clock_.advance(milliseconds(100));
  Owner_->tick();
  answerHold(acceptedAnswer({}, {End}));
  EXPECT_EQ(Owner_->pendingJobs()->at("queue"), 0U);
}

TEST_F(PoolOwnerTest, UnansweredStartIsStoppedOnLaterLifetime) {
  storeJob(jobOf(1));
  takeOwnership(0, {worker("w1")});
  answerHold(acceptedAnswer({}));
  Workers_.takeStart().Done_({OrderOutcome::Unknown, WorkerClock(0)});
  WorkerEntry Restarted = worker("w1");
  Restarted.Born_ = milliseconds(900);
  Owner_->onWorkers({Restarted});
  tickTwice();
  EXPECT_TRUE(Workers_.Holds_.empty());
  // Only the token of a renewal is higher than that of the unanswered start.
  constexpr FencingToken Renewal = Token + 20;
  Owner_->extendLease(Clock_.now() + std::chrono::hours(1), Renewal, 0);
  tickTwice();
  ASSERT_FALSE(Workers_.Holds_.empty());
  EXPECT_EQ(Workers_.Holds_.front().Order_.Token_, Renewal);
  // The later lifetime may have received the start, so the task waits until
  // that lifetime has been ordered to stop it.
  EXPECT_TRUE(Workers_.Starts_.empty());
  HoldAnswer Empty = acceptedAnswer({});
  Empty.Born_ = milliseconds(900);
  for (int Round = 0; Round < 3; ++Round) {
    while (!Workers_.Holds_.empty())
      Workers_.takeHold().Done_(Empty);
    tickTwice();
  }
  ASSERT_FALSE(Workers_.Stops_.empty());
  EXPECT_TRUE(Workers_.Starts_.empty());
}

TEST_F(PoolOwnerTest, LongRunningJobIsShownAsRunningOnceATaskRuns) {
  storeJob(servingJob());
  takeOwnershipOfFleet(1);
  tickTwice();
  EXPECT_EQ(Owner_->stateOf(JobId), JobPhase::Queued);
  ASSERT_FALSE(Workers_.Starts_.empty());
  Workers_.takeStart().Done_({OrderOutcome::Accepted, WorkerClock(1000)});
  tickTwice();
  EXPECT_EQ(Owner_->stateOf(JobId), JobPhase::Running);
  // Nodes that do not own the pool read the state from the store.
  StoreKey Row = jobrows::keyOf("queue", JobId, JobRowKind::Progress);
  EXPECT_NE(Store_.Rows_[Row].Value_.find("running"), std::string::npos);
}

TEST_F(PoolOwnerTest, MaintainedWorkerTakesTasksAgainWithSlowStore) {
  storeJob(jobOf(1));
  WorkerEntry Before = worker("w1");
  Before.Capacity_.CpuMillis_ = 500; // Too small for the task.
  takeOwnership(0, {Before});
  answerHold(acceptedAnswer({}));
  Machine Listed;
  Listed.Name_ = Before.Machine_;
  Listed.Pool_ = "pool";
  Listed.State_ = MachineState::Up;
  Machines_.List_ = {true, {Listed}};
  MaintenanceWave Wave;
  Wave.Number_ = 1;
  Wave.Machines_ = {Before.Machine_};
  Wave.Duration_ = milliseconds(20000);
  Wave.MaxUnavailable_ = 1;
  Owner_->onWaves({Wave});
  for (int Round = 0; Round < 20 && Machines_.Orders_.empty(); ++Round) {
    Clock_.advance(milliseconds(100));
    Owner_->tick();
  }
  ASSERT_EQ(Machines_.Orders_.size(), 1U);
  WorkerEntry After = worker("w1");
  After.Born_ = milliseconds(6);
  Owner_->onWorkers({After});
  Owner_->extendLease(Clock_.now() + std::chrono::hours(1), Token + 20, 0);
  Store_.DelaysResponses_ = true;
  for (int Round = 0; Round < 30; ++Round) {
    Clock_.advance(milliseconds(100));
    Owner_->tick();
    while (!Workers_.Holds_.empty()) {
      HoldAnswer Answer = acceptedAnswer({});
      Answer.Born_ = After.Born_;
      Workers_.takeHold().Done_(Answer);
    }
    if (Round % 5 == 4) { // Responses arrive some rounds late.
      Store_.release();
      Store_.DelaysResponses_ = true;
    }
  }
  EXPECT_EQ(Workers_.Starts_.size(), 1U);
}

TEST_F(PoolOwnerTest, RecordsSilentWorkerAndItsPossibleTasks) {
  storeJob(jobOf(1));
  takeOwnership(0, {worker("w1")});
  answerHold(acceptedAnswer({}));
  ASSERT_EQ(Workers_.Starts_.size(), 1U);
  for (int Round = 0; Round < 10; ++Round) {
    while (!Workers_.Holds_.empty())
      Workers_.takeHold().Done_({});
    Clock_.advance(milliseconds(150));
    Owner_->tick();
  }
  auto Roster = controlrows::decodeRoster(
      Store_.Rows_[controlrows::roster("pool")].Value_);
  ASSERT_TRUE(Roster);
  std::string Lifetime = worker("w1").lifetime();
  ASSERT_TRUE(Roster->Silent_.contains(Lifetime));
  EXPECT_EQ(Roster->Silent_[Lifetime],
            std::set<std::string>{std::string(JobId) + ".0.0.0"});
}

TEST_F(PoolOwnerTest, WorkerTakesTasksAgainAfterUnstoredSilenceRecord) {
  storeJob(jobOf(2));
  WorkerEntry Small = worker("w1");
  Small.Capacity_.CpuMillis_ = 1000; // Fits one task.
  takeOwnership(0, {Small});
  answerHold(acceptedAnswer({}));
  ASSERT_EQ(Workers_.Starts_.size(), 1U);
  TaskName First = Workers_.Starts_[0].Order_.Task_;
  Workers_.takeStart().Done_({OrderOutcome::Accepted, WorkerClock(1000)});
  Store_.Outcome_ = StoreOutcome::Unknown;
  for (int Round = 0; Round < 30; ++Round) {
    while (!Workers_.Holds_.empty()) {
      bool IsSilent = Round < 5;
      Workers_.takeHold().Done_(
          IsSilent ? HoldAnswer()
                   : acceptedAnswer({}, {{1, First, 1, EndKind::Done, ""}}));
      if (!IsSilent)
        Store_.Outcome_ = StoreOutcome::Done;
    }
    Clock_.advance(milliseconds(150));
    Owner_->tick();
  }
  ASSERT_FALSE(Workers_.Starts_.empty());
  EXPECT_NE(Workers_.Starts_[0].Order_.Task_, First);
}

TEST_F(PoolOwnerTest, UnansweredStopsAreNotRepeated) {
  constexpr std::size_t Tasks = 40;
  JobSpec Spec = jobOf(Tasks);
  Spec.Steps_[0].IsLongRunning_ = true;
  storeJob(Spec);
  std::vector<WorkerEntry> Fleet = takeOwnershipOfFleet(4);
  tickTwice();
  ASSERT_EQ(Workers_.Starts_.size(), Tasks);
  while (!Workers_.Starts_.empty())
    Workers_.takeStart().Done_({OrderOutcome::Accepted, WorkerClock(1000)});
  for (WorkerEntry &Each : Fleet)
    Each.State_ = WorkerState::Draining;
  Owner_->onWorkers(Fleet);
  for (int Round = 0; Round < 30; ++Round) {
    Clock_.advance(milliseconds(100));
    Owner_->tick();
  }
  EXPECT_EQ(Workers_.Stops_.size(), Tasks);
}

TEST_F(PoolOwnerTest, UnansweredStopsAreBounded) {
  constexpr std::size_t Tasks = 800;
  JobSpec Spec = jobOf(Tasks);
  Spec.Steps_[0].IsLongRunning_ = true;
  storeJob(Spec);
  std::vector<WorkerEntry> Fleet = takeOwnershipOfFleet(50);
  std::size_t Started = 0;
  for (int Round = 0; Round < 100 && Started < Tasks; ++Round) {
    Owner_->tick();
    for (; !Workers_.Starts_.empty(); ++Started)
      Workers_.takeStart().Done_({OrderOutcome::Accepted, WorkerClock(1000)});
  }
  ASSERT_EQ(Started, Tasks);
  for (WorkerEntry &Each : Fleet)
    Each.State_ = WorkerState::Draining;
  Owner_->onWorkers(Fleet);
  Owner_->tick();
  EXPECT_GT(Workers_.Stops_.size(), 0U);
  EXPECT_LE(Workers_.Stops_.size(), 512U);
  std::size_t Stopped = 0;
  for (int Round = 0; Round < 100 && Stopped < Tasks; ++Round) {
    for (; !Workers_.Stops_.empty(); ++Stopped) {
      Workers_.Stops_.front().Done_(
          {OrderOutcome::Accepted, WorkerClock(1000)});
      Workers_.Stops_.pop_front();
    }
    Owner_->tick();
  }
  EXPECT_GE(Stopped, Tasks);
}

TEST_F(PoolOwnerTest, SendsFewerStartsWhenAllTimeOut) {
  storeJob(jobOf(1600));
  takeOwnershipOfFleet(100);
  std::size_t First = 0;
  std::size_t Last = 0;
  for (int Round = 0; Round < 20; ++Round) {
    while (!Workers_.Holds_.empty())
      Workers_.takeHold().Done_(acceptedAnswer({}));
    tickTwice();
    Last = Workers_.Starts_.size();
    First = First == 0 ? Last : First;
    Clock_.advance(milliseconds(900));
    while (!Workers_.Starts_.empty())
      Workers_.takeStart().Done_({OrderOutcome::Unknown, WorkerClock(0)});
    Clock_.advance(milliseconds(1100));
    Owner_->tick();
  }
  ASSERT_GT(First, 0U);
  EXPECT_LT(Last, First);
}

/// Two workers that each run one task of a serving step.
class ServingPairTest : public PoolOwnerTest {
protected:
  ServingPairTest() {
    storeJob(servingJob());
    for (const char *Id : {"w1", "w2"}) {
      Machine Each;
      Each.Name_ = std::string("machine-of-") + Id;
      Each.Pool_ = "pool";
      Each.State_ = MachineState::Up;
      Each.Worker_ = Id;
      Machines_.List_.Machines_.push_back(Each);
    }
    Machines_.List_.IsValid_ = true;
  }

  static MaintenanceWave waveOf(std::uint64_t Number,
                                const std::vector<std::string> &Machines) {
    MaintenanceWave Wave;
    Wave.Number_ = Number;
    Wave.Machines_ = Machines;
    Wave.Duration_ = milliseconds(20000);
    Wave.MaxUnavailable_ = 2;
    return Wave;
  }

  HoldAnswer listingOf(const std::string &Id) const {
    ListedRun Run;
    Run.Task_ = {JobId, 0, 0, Id == "w1" ? 0U : 1U};
    Run.Run_ = 1;
    Run.Percent_ = 100;
    return acceptedAnswer({Run});
  }

  /// Simulates three seconds. Worker w1 stops answering once a machine order
  /// has been made, whatever the order did.
  void simulateThreeSeconds() {
    for (int Round = 0; Round < 30; ++Round) {
      Clock_.advance(milliseconds(100));
      Owner_->tick();
      std::deque<RecordingWorkers::Hold> Holds;
      Holds.swap(Workers_.Holds_);
      for (RecordingWorkers::Hold &Each : Holds)
        if (Each.Target_.Id_ == "w2" || Machines_.Orders_.empty())
          Each.Done_(listingOf(Each.Target_.Id_));
    }
  }
};

TEST_F(ServingPairTest, RepeatedMaintenanceOrderIsAssumedToEndTasks) {
  WaveProgress Claimed;
  Claimed.Down_["machine-of-w1"] = "node-0";
  StoreKey Row = controlrows::wave(1);
  Store_.Rows_[Row] = {Row, controlrows::encode(Claimed), ++Store_.Version_,
                       false};
  takeOwnership(0, {worker("w1"), worker("w2")});
  Owner_->onWaves({waveOf(1, {"machine-of-w1", "machine-of-w2"})});
  simulateThreeSeconds();
  ASSERT_EQ(Machines_.Orders_.size(), 1U);
  EXPECT_EQ(Machines_.Orders_[0].Machine_, "machine-of-w1");
}

TEST_F(ServingPairTest, OrdersNoMaintenanceBeforeWorkersAreKnown) {
  storeRoster({worker("w1"), worker("w2")});
  buildOwner(1);
  Owner_->onWaves({waveOf(1, {"machine-of-w1"})});
  simulateThreeSeconds();
  EXPECT_TRUE(Machines_.Orders_.empty());
}

TEST_F(ServingPairTest, TwoWavesShareOneDisruptionBudget) {
  takeOwnership(0, {worker("w1"), worker("w2")});
  Machines_.IsSilent_ = true;
  Owner_->onWaves({waveOf(1, {"machine-of-w1"}), waveOf(2, {"machine-of-w2"})});
  simulateThreeSeconds();
  EXPECT_EQ(Machines_.Orders_.size(), 1U);
}

} // namespace
} // namespace dragonflylock
