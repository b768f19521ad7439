#include "scheduling/controlrows.h"
#include "scheduling/tests/mocks/poolownertest.h"

#include <algorithm>

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;

TEST_F(PoolOwnerTest, StartsWhatASilentWorkerCanNotRun) {
  storeJob(jobOf(2));
  RosterRow Roster;
  Roster.Workers_ = {worker("w1"), worker("w2")};
  Roster.Silent_[worker("w1").lifetime()] = {std::string(JobId) + ".0.0.0"};
  Roster.Queues_ = {"queue"};
  StoreKey Row = controlrows::roster("pool");
  Store_.Rows_[Row] = {Row, controlrows::encode(Roster), ++Store_.Version_,
                       false};
  own(1, {worker("w1"), worker("w2")});
  for (int Round = 0; Round < 3; ++Round) {
    std::deque<RecordingWorkers::Hold> Holds;
    Holds.swap(Workers_.Holds_);
    for (RecordingWorkers::Hold &Each : Holds)
      Each.Done_(Each.Target_.Id_ == "w2" ? listing({}) : HoldAnswer());
    Clock_.advance(milliseconds(200));
    Owner_->tick();
  }
  ASSERT_EQ(Workers_.Starts_.size(), 1U);
  EXPECT_EQ(Workers_.Starts_[0].Order_.Task_.Index_, 1U);
  // Until its lease must have lapsed, the other one may still run.
  Clock_.advance(Settings_.LongestHold_ * 2);
  tickTwice();
  EXPECT_TRUE(std::any_of(Workers_.Starts_.begin(), Workers_.Starts_.end(),
                          [](const RecordingWorkers::Start &Each) {
                            return Each.Order_.Task_.Index_ == 0;
                          }));
}

TEST_F(PoolOwnerTest, DoesNotAskALifetimeThatIsOver) {
  WorkerEntry Moved = worker("w1");
  Moved.Pool_ = "other";
  Moved.Born_ = milliseconds(50);
  RosterRow Roster;
  Roster.Workers_ = {worker("w1")};
  Roster.Queues_ = {"queue"};
  StoreKey Row = controlrows::roster("pool");
  Store_.Rows_[Row] = {Row, controlrows::encode(Roster), ++Store_.Version_,
                       false};
  storeJob(jobOf(1));
  own(1, {Moved, worker("w2")});
  ASSERT_FALSE(Workers_.Holds_.empty());
  for (const RecordingWorkers::Hold &Each : Workers_.Holds_)
    EXPECT_NE(Each.Target_.Id_, "w1");
}

/// Takes a pool over whose roster names the workers w1 and w2; w2 answers.
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

  /// A worker that was born later than those of the roster.
  static WorkerEntry laterWorker(const std::string &Id,
                                 const std::string &Machine) {
    WorkerEntry Entry = worker(Id);
    Entry.Machine_ = Machine;
    Entry.Born_ = milliseconds(50);
    return Entry;
  }

  /// Answers the holds that wait, by worker's id; others get no answer.
  void answer(const std::map<std::string, HoldAnswer> &Answers) {
    std::deque<RecordingWorkers::Hold> Holds;
    Holds.swap(Workers_.Holds_);
    for (RecordingWorkers::Hold &Each : Holds) {
      auto Found = Answers.find(Each.Target_.Id_);
      Each.Done_(Found == Answers.end() ? HoldAnswer() : Found->second);
    }
    tickTwice();
  }
};

TEST_F(TakeoverTest, DoesNotWaitForALifetimeWhoseMachineHasALaterWorker) {
  WorkerEntry Later = laterWorker("w9", worker("w1").Machine_);
  Later.Pool_ = "other";
  own(1, {Later, worker("w2")});
  answer({{"w2", listing({})}});
  EXPECT_EQ(Workers_.Starts_.size(), 1U);
}

TEST_F(TakeoverTest, WaitsForASilentLifetimeThatMayStillBeThere) {
  WorkerEntry Earlier = laterWorker("w9", worker("w1").Machine_);
  Earlier.Born_ = milliseconds(2);
  own(1, {Earlier, worker("w2")});
  HoldAnswer Listed = listing({});
  Listed.Born_ = Earlier.Born_;
  answer({{"w2", listing({})}, {"w9", Listed}});
  EXPECT_TRUE(Workers_.Starts_.empty());
}

TEST_F(TakeoverTest, WaitsUntilALaterLifetimeOfTheSameIdHasSeenItsToken) {
  // An order of the last owner that is carried out late reaches that one.
  WorkerEntry Later = laterWorker("w1", worker("w1").Machine_);
  own(1, {Later, worker("w2")});
  answer({{"w2", listing({})}});
  EXPECT_TRUE(Workers_.Starts_.empty());
  HoldAnswer Listed = listing({});
  Listed.Born_ = Later.Born_;
  for (int Round = 0; Round < 3; ++Round) {
    Clock_.advance(milliseconds(200));
    tickTwice();
    answer({{"w1", Listed}, {"w2", listing({})}});
  }
  EXPECT_EQ(Workers_.Starts_.size(), 1U);
}

TEST_F(TakeoverTest, DoesNotWaitForALifetimeWhoseAddressAnswersForAnother) {
  own(1, {worker("w2")});
  HoldAnswer Misdirected;
  Misdirected.Outcome_ = OrderOutcome::OtherLifetime;
  answer({{"w1", Misdirected}, {"w2", listing({})}});
  EXPECT_EQ(Workers_.Starts_.size(), 1U);
}

TEST_F(TakeoverTest, DoesNotWaitForAWorkerThatNoOwnerCouldOrder) {
  own(1, {worker("w1"), worker("w2"), worker("w3")});
  answer({{"w1", listing({})}, {"w2", listing({})}});
  EXPECT_EQ(Workers_.Starts_.size(), 1U);
}

TEST_F(TakeoverTest, WaitsForAllWorkersWhereTheRosterCanNotBeRead) {
  storeRoster("torn");
  own(1, {worker("w1"), worker("w2")});
  answer({{"w2", listing({})}});
  EXPECT_TRUE(Workers_.Starts_.empty());
}

TEST_F(PoolOwnerTest, RunsALastingTaskElsewhereOnceItsMachineHasALaterWorker) {
  JobSpec Spec = jobOf(1);
  Spec.Steps_[0].IsLongRunning_ = true;
  storeJob(Spec);
  own(0, {worker("w1")});
  answerHold(listing({}));
  Workers_.takeStart().Done_({OrderOutcome::Accepted, WorkerClock(1000)});
  Owner_->tick();
  Workers_.takeHold().Done_(HoldAnswer());
  WorkerEntry Later = worker("w2");
  Later.Machine_ = worker("w1").Machine_;
  Later.Born_ = milliseconds(50);
  Owner_->onWorkers({Later});
  tickTwice();
  HoldAnswer Listed = listing({});
  Listed.Born_ = Later.Born_;
  while (!Workers_.Holds_.empty()) {
    RecordingWorkers::Hold Each = Workers_.takeHold();
    Each.Done_(Each.Target_.Id_ == "w2" ? Listed : HoldAnswer());
  }
  tickTwice();
  ASSERT_EQ(Workers_.Starts_.size(), 1U);
  EXPECT_EQ(Workers_.Starts_[0].Target_.Id_, "w2");
}

/// A lasting task runs on w1, which falls silent; w2 has room.
class SilentMachineTest : public PoolOwnerTest {
protected:
  SilentMachineTest() {
    JobSpec Spec = jobOf(1);
    Spec.Steps_[0].IsLongRunning_ = true;
    storeJob(Spec);
    Listed_.Name_ = "machine-of-w1";
    Listed_.Pool_ = "pool";
    own(0, {worker("w1")});
    answerHold(listing({}));
    Workers_.takeStart().Done_({OrderOutcome::Accepted, WorkerClock(1000)});
    Owner_->onWorkers({worker("w1"), worker("w2")});
  }

  void playTwoSeconds() {
    Machines_.List_ = {true, {Listed_}};
    for (int Round = 0; Round < 20; ++Round) {
      Clock_.advance(milliseconds(100));
      Owner_->tick();
      std::deque<RecordingWorkers::Hold> Holds;
      Holds.swap(Workers_.Holds_);
      for (RecordingWorkers::Hold &Each : Holds)
        Each.Done_(Each.Target_.Id_ == "w2" ? listing({}) : HoldAnswer());
    }
  }

  Machine Listed_;
};

TEST_F(SilentMachineTest, RunsALastingTaskElsewhereOnceTheMachineIsDown) {
  Listed_.State_ = MachineState::Down;
  playTwoSeconds();
  ASSERT_EQ(Workers_.Starts_.size(), 1U);
  EXPECT_EQ(Workers_.Starts_[0].Target_.Id_, "w2");
}

TEST_F(SilentMachineTest, KeepsATaskOnAWorkerThatIsOnlyCutOff) {
  Listed_.State_ = MachineState::Up;
  Listed_.Worker_ = "w1";
  playTwoSeconds();
  EXPECT_TRUE(Workers_.Starts_.empty());
}

} // namespace
} // namespace dragonflylock
