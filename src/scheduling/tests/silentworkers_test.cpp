#include "scheduling/controlrows.h"
#include "scheduling/tests/mocks/poolownertest.h"

#include <algorithm>

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;

TEST_F(PoolOwnerTest, StartsTasksThatSilentWorkerCannotBeRunning) {
  storeJob(jobOf(2));
  RosterRow Roster;
  Roster.Workers_ = {worker("w1"), worker("w2")};
  Roster.Silent_[worker("w1").lifetime()] = {std::string(JobId) + ".0.0.0"};
  Roster.Queues_ = {"queue"};
  StoreKey Row = controlrows::roster("pool");
  Store_.Rows_[Row] = {Row, controlrows::encode(Roster), ++Store_.Version_,
                       false};
  takeOwnership(1, {worker("w1"), worker("w2")});
  for (int Round = 0; Round < 3; ++Round) {
    std::deque<RecordingWorkers::Hold> Holds;
    Holds.swap(Workers_.Holds_);
    for (RecordingWorkers::Hold &Each : Holds)
      Each.Done_(Each.Target_.Id_ == "w2" ? acceptedAnswer({}) : HoldAnswer());
    Clock_.advance(milliseconds(200));
    Owner_->tick();
  }
  ASSERT_EQ(Workers_.Starts_.size(), 1U);
  EXPECT_EQ(Workers_.Starts_[0].Order_.Task_.Index_, 1U);
  // The other task may still run until the worker's lease has certainly
  // expired.
  Clock_.advance(Settings_.MaxWorkerLease_ * 2);
  tickTwice();
  EXPECT_TRUE(std::any_of(Workers_.Starts_.begin(), Workers_.Starts_.end(),
                          [](const RecordingWorkers::Start &Each) {
                            return Each.Order_.Task_.Index_ == 0;
                          }));
}

TEST_F(PoolOwnerTest, RosterOfLargeSilentPoolFitsIntoOneRow) {
  constexpr std::size_t Workers = 180;
  constexpr std::uint32_t TasksPerWorker = 10;
  constexpr std::size_t RowLimit = 65536;
  storeJob(jobOf(Workers * TasksPerWorker));
  auto Fleet = takeOwnershipOfFleet(Workers);
  auto Large = std::make_shared<SchedulingConfiguration>();
  Large->Queues_ = {Queue_};
  for (int Number = 0; Number < 1400; ++Number) {
    QueueSetting Queue = Queue_;
    Queue.Name_ = "added-queue-" + std::to_string(Number);
    Large->Queues_.push_back(Queue);
  }
  Owner_->onConfiguration(Large);
  for (int Round = 0; Round < 100; ++Round) {
    Owner_->tick();
    while (!Workers_.Starts_.empty())
      Workers_.takeStart().Done_({OrderOutcome::Accepted, WorkerClock(1000)});
    Clock_.advance(milliseconds(10));
  }
  Store_.MostBytes_ = RowLimit;
  for (int Round = 0; Round < 3; ++Round) {
    std::deque<RecordingWorkers::Hold> Holds;
    Holds.swap(Workers_.Holds_);
    for (RecordingWorkers::Hold &Each : Holds)
      Each.Done_(HoldAnswer());
    Clock_.advance(milliseconds(500));
    Owner_->tick();
  }
  // A worker gets no order before it is in the stored roster.
  Fleet.push_back(worker("new"));
  Owner_->onWorkers(Fleet);
  Clock_.advance(milliseconds(200));
  tickTwice();
  EXPECT_TRUE(std::any_of(Workers_.Holds_.begin(), Workers_.Holds_.end(),
                          [](const RecordingWorkers::Hold &Each) {
                            return Each.Target_.Id_ == "new";
                          }));
  auto Stored = controlrows::decodeRoster(
      Store_.Rows_[controlrows::roster("pool")].Value_);
  ASSERT_TRUE(Stored);
  EXPECT_EQ(Stored->Workers_.size(), Workers + 1);
  EXPECT_GE(Stored->Silent_.size(), 40U);
}

TEST_F(PoolOwnerTest, DoesNotContactEndedLifetime) {
  WorkerEntry Moved = worker("w1");
  Moved.Pool_ = "other";
  Moved.Born_ = milliseconds(50);
  storeRoster({worker("w1")});
  storeJob(jobOf(1));
  takeOwnership(1, {Moved, worker("w2")});
  ASSERT_FALSE(Workers_.Holds_.empty());
  for (const RecordingWorkers::Hold &Each : Workers_.Holds_)
    EXPECT_NE(Each.Target_.Id_, "w1");
}

TEST_F(PoolOwnerTest, ContactsNoWorkerBeforeTheRegistryIsKnown) {
  // A later lifetime of the worker, in another pool, would take this owner's
  // token for its own owner's and refuse that one's orders from then on.
  storeRoster({worker("w1")});
  storeJob(jobOf(1));
  buildOwner(1);
  for (int Round = 0; Round < 5; ++Round)
    Owner_->tick();
  EXPECT_TRUE(Workers_.Holds_.empty());
  Owner_->onWorkers({worker("w1")});
  tickTwice();
  EXPECT_EQ(Workers_.Holds_.size(), 1U);
}

TEST_F(PoolOwnerTest, UsesWorkersWhoseLeasesEndBeforeTheRegistryIsKnown) {
  RosterRow Roster;
  Roster.Workers_ = {worker("w1")};
  Roster.Queues_ = {"queue"};
  StoreKey Row = controlrows::roster("pool");
  Store_.Rows_[Row] = {Row, controlrows::encode(Roster), ++Store_.Version_,
                       false};
  storeJob(jobOf(1));
  buildOwner(1);
  for (int Round = 0; Round < 5; ++Round)
    Owner_->tick();
  Clock_.advance(milliseconds(10000));
  Owner_->tick();
  Owner_->onWorkers({worker("w1")});
  tickTwice();
  EXPECT_TRUE(Workers_.Starts_.empty());
  ASSERT_EQ(Workers_.Holds_.size(), 1U);
  answerHold(acceptedAnswer({}));
  tickTwice();
  EXPECT_EQ(Workers_.Starts_.size(), 1U);
}

/// Takeover of a pool whose roster names the workers w1 and w2, of which w2
/// answers.
class TakeoverTest : public PoolOwnerTest {
protected:
  TakeoverTest() {
    storeJob(jobOf(1));
    RosterRow Roster;
    Roster.Workers_ = {worker("w1"), worker("w2")};
    Roster.Queues_ = {"queue"};
    storeRoster(controlrows::encode(Roster));
  }

  void storeRoster(const std::string &Value) {
    StoreKey Row = controlrows::roster("pool");
    Store_.Rows_[Row] = {Row, Value, ++Store_.Version_, false};
  }

  /// \returns a worker that was started later than those in the roster.
  static WorkerEntry laterWorker(const std::string &Id,
                                 const std::string &Machine) {
    WorkerEntry Entry = worker(Id);
    Entry.Machine_ = Machine;
    Entry.Born_ = milliseconds(50);
    return Entry;
  }

  /// Completes the pending holds with the answer in \p Answers for the worker's
  /// id, or as unanswered where there is none.
  void answerHolds(const std::map<std::string, HoldAnswer> &Answers) {
    std::deque<RecordingWorkers::Hold> Holds;
    Holds.swap(Workers_.Holds_);
    for (RecordingWorkers::Hold &Each : Holds) {
      auto Found = Answers.find(Each.Target_.Id_);
      Each.Done_(Found == Answers.end() ? HoldAnswer() : Found->second);
    }
    tickTwice();
  }
};

TEST_F(TakeoverTest, DoesNotWaitForReplacedLifetime) {
  WorkerEntry Later = laterWorker("w9", worker("w1").Machine_);
  Later.Pool_ = "other";
  takeOwnership(1, {Later, worker("w2")});
  answerHolds({{"w2", acceptedAnswer({})}});
  EXPECT_EQ(Workers_.Starts_.size(), 1U);
}

TEST_F(TakeoverTest, WaitsForSilentLifetimeThatMayStillRun) {
  WorkerEntry Earlier = laterWorker("w9", worker("w1").Machine_);
  Earlier.Born_ = milliseconds(2);
  takeOwnership(1, {Earlier, worker("w2")});
  HoldAnswer Listed = acceptedAnswer({});
  Listed.Born_ = Earlier.Born_;
  answerHolds({{"w2", acceptedAnswer({})}, {"w9", Listed}});
  EXPECT_TRUE(Workers_.Starts_.empty());
}

TEST_F(TakeoverTest, WaitsUntilLaterLifetimeOfSameIdHasSeenItsToken) {
  // A delayed order of the previous owner may reach the later lifetime.
  WorkerEntry Later = laterWorker("w1", worker("w1").Machine_);
  takeOwnership(1, {Later, worker("w2")});
  answerHolds({{"w2", acceptedAnswer({})}});
  EXPECT_TRUE(Workers_.Starts_.empty());
  HoldAnswer Listed = acceptedAnswer({});
  Listed.Born_ = Later.Born_;
  for (int Round = 0; Round < 3; ++Round) {
    Clock_.advance(milliseconds(200));
    tickTwice();
    answerHolds({{"w1", Listed}, {"w2", acceptedAnswer({})}});
  }
  EXPECT_EQ(Workers_.Starts_.size(), 1U);
}

TEST_F(TakeoverTest, DoesNotWaitForLifetimeWhoseAddressWasReused) {
  takeOwnership(1, {worker("w2")});
  HoldAnswer Misdirected;
  Misdirected.Outcome_ = OrderOutcome::OtherLifetime;
  answerHolds({{"w1", Misdirected}, {"w2", acceptedAnswer({})}});
  EXPECT_EQ(Workers_.Starts_.size(), 1U);
}

TEST_F(TakeoverTest, DoesNotWaitForWorkerOutsideTheRoster) {
  takeOwnership(1, {worker("w1"), worker("w2"), worker("w3")});
  answerHolds({{"w1", acceptedAnswer({})}, {"w2", acceptedAnswer({})}});
  EXPECT_EQ(Workers_.Starts_.size(), 1U);
}

TEST_F(TakeoverTest, WaitsForAllWorkersIfRosterIsUnreadable) {
  storeRoster("torn");
  takeOwnership(1, {worker("w1"), worker("w2")});
  answerHolds({{"w2", acceptedAnswer({})}});
  EXPECT_TRUE(Workers_.Starts_.empty());
}

TEST_F(PoolOwnerTest, RestartsLongRunningTaskOnceItsMachineHasNewWorker) {
  JobSpec Spec = jobOf(1);
  Spec.Steps_[0].IsLongRunning_ = true;
  storeJob(Spec);
  takeOwnership(0, {worker("w1")});
  answerHold(acceptedAnswer({}));
  Workers_.takeStart().Done_({OrderOutcome::Accepted, WorkerClock(1000)});
  Owner_->tick();
  Workers_.takeHold().Done_(HoldAnswer());
  WorkerEntry Later = worker("w2");
  Later.Machine_ = worker("w1").Machine_;
  Later.Born_ = milliseconds(50);
  Owner_->onWorkers({Later});
  tickTwice();
  HoldAnswer Listed = acceptedAnswer({});
  Listed.Born_ = Later.Born_;
  while (!Workers_.Holds_.empty()) {
    RecordingWorkers::Hold Each = Workers_.takeHold();
    Each.Done_(Each.Target_.Id_ == "w2" ? Listed : HoldAnswer());
  }
  tickTwice();
  ASSERT_EQ(Workers_.Starts_.size(), 1U);
  EXPECT_EQ(Workers_.Starts_[0].Target_.Id_, "w2");
}

/// A long-running task runs on w1, which stops answering; w2 has free
/// resources.
class SilentMachineTest : public PoolOwnerTest {
protected:
  SilentMachineTest() {
    JobSpec Spec = jobOf(1);
    Spec.Steps_[0].IsLongRunning_ = true;
    storeJob(Spec);
    Listed_.Name_ = "machine-of-w1";
    Listed_.Pool_ = "pool";
    takeOwnership(0, {worker("w1")});
    answerHold(acceptedAnswer({}));
    Workers_.takeStart().Done_({OrderOutcome::Accepted, WorkerClock(1000)});
    Owner_->onWorkers({worker("w1"), worker("w2")});
  }

  void simulateTwoSeconds() {
    Machines_.List_ = {true, {Listed_}};
    for (int Round = 0; Round < 20; ++Round) {
      Clock_.advance(milliseconds(100));
      Owner_->tick();
      std::deque<RecordingWorkers::Hold> Holds;
      Holds.swap(Workers_.Holds_);
      for (RecordingWorkers::Hold &Each : Holds)
        Each.Done_(Each.Target_.Id_ == "w2" ? acceptedAnswer({})
                                            : HoldAnswer());
    }
  }

  Machine Listed_;
};

TEST_F(SilentMachineTest, RestartsLongRunningTaskOnceMachineIsDown) {
  Listed_.State_ = MachineState::Down;
  simulateTwoSeconds();
  ASSERT_EQ(Workers_.Starts_.size(), 1U);
  EXPECT_EQ(Workers_.Starts_[0].Target_.Id_, "w2");
}

TEST_F(SilentMachineTest, KeepsTaskOnPartitionedWorker) {
  Listed_.State_ = MachineState::Up;
  Listed_.Worker_ = "w1";
  simulateTwoSeconds();
  EXPECT_TRUE(Workers_.Starts_.empty());
}

} // namespace
} // namespace dragonflylock
