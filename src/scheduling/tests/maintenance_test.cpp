#include "scheduling/controlrows.h"
#include "scheduling/tests/mocks/ownertest.h"

#include <algorithm>
#include <string>
#include <utility>

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;

/// A job with one task, and one worker whose machine is part of a maintenance
/// wave.
class MaintenanceTest : public OwnerTest {
protected:
  /// Calls that may be made in 3 s: ten a second.
  static constexpr std::size_t MaxCalls = 30;

  MaintenanceTest() {
    StepSpec Step;
    Step.TaskCount_ = 1;
    Step.PerTask_ = {1000, 1000, 0};
    Step.Estimate_ = milliseconds(500);
    JobSpec Spec;
    Spec.Steps_ = {Step};
    storeJob(Spec);
    Machine Only;
    Only.Name_ = "machine-of-w1";
    Only.Pool_ = "pool";
    Only.State_ = MachineState::Up;
    Machines_.List_.Machines_ = {Only};
    Machines_.List_.IsValid_ = true;
    Wave_.Number_ = 1;
    Wave_.Machines_ = {Only.Name_};
    Wave_.Duration_ = milliseconds(20000);
    Wave_.MaxUnavailable_ = 1;
  }

  static WorkerEntry workerBornAt(milliseconds Born) {
    WorkerEntry Entry = workerOf("w1", {16000, 32000, 0});
    Entry.Machine_ = "machine-of-w1";
    Entry.Born_ = Born;
    return Entry;
  }

  /// Runs the owner for \p Length. The worker answers hold orders as the
  /// lifetime that was born at \p Born.
  void runFor(milliseconds Length, milliseconds Born,
              milliseconds Round = milliseconds(50)) {
    for (milliseconds Passed{0}; Passed < Length; Passed += Round) {
      Clock_.advance(Round);
      Owner_->tick();
      for (RecordingWorkers::Hold &Each : std::exchange(Workers_.Holds_, {})) {
        HoldAnswer Answer = acceptedAnswer({});
        Answer.Born_ = Born;
        Each.Done_(Answer);
      }
    }
  }

  /// Adds a second machine to the platform's list and to the wave.
  void addMachine(const std::string &Pool) {
    Machine Added;
    Added.Name_ = "machine-of-w2";
    Added.Pool_ = Pool;
    Added.State_ = MachineState::Up;
    Machines_.List_.Machines_.push_back(Added);
    Wave_.Machines_.push_back(Added.Name_);
  }

  /// Lets the wave of the only machine be completed.
  void completeFirstWave() {
    takeOwnership(0, {workerBornAt(milliseconds(5))});
    Owner_->onWaves({Wave_});
    runFor(milliseconds(5000), milliseconds(5));
    ASSERT_TRUE(Machines_.CompletedWaves_.contains(Wave_.Number_));
    Machines_.Orders_.clear();
    ++Wave_.Number_;
    Wave_.Machines_.clear();
  }

  void storeWave(const WaveProgress &Progress) {
    StoreKey Row = controlrows::wave(Wave_.Number_);
    Store_.Rows_[Row] = {Row, controlrows::encode(Progress), ++Store_.Version_,
                         false};
  }

  MaintenanceWave Wave_;
};

TEST_F(MaintenanceTest, AMachineThatReturnsFromMaintenanceGetsTasks) {
  takeOwnership(0, {});
  Owner_->onWaves({Wave_});
  runFor(milliseconds(200), milliseconds(5));
  ASSERT_EQ(Machines_.Orders_.size(), 1U);
  Owner_->onWorkers({workerBornAt(milliseconds(9))});
  Store_.DelaysResponses_ = true;
  runFor(milliseconds(1000), milliseconds(9));
  Store_.release();
  runFor(milliseconds(1000), milliseconds(9));
  EXPECT_EQ(Workers_.Starts_.size(), 1U);
}

TEST_F(MaintenanceTest, AMachineThatLeftThePoolIsNotOrderedIntoMaintenance) {
  addMachine("other");
  // The other machine is down and uses up the wave's limit, so that this
  // pool's machine has to wait.
  WaveProgress Progress;
  Progress.Down_["machine-of-w2"] = "node-0";
  storeWave(Progress);
  takeOwnership(0, {});
  Owner_->onWaves({Wave_});
  runFor(milliseconds(1000), milliseconds(5));
  Machines_.List_.Machines_.front().Pool_ = "other";
  runFor(milliseconds(1000), milliseconds(5));
  Progress.Down_.clear();
  Progress.Done_ = {"machine-of-w2"};
  storeWave(Progress);
  runFor(milliseconds(2000), milliseconds(5));
  EXPECT_TRUE(Machines_.Orders_.empty());
}

// Guards against a wave reported as completed (MIXED) because the list that was
// read for the wave before it does not contain a machine that joined since.
TEST_F(MaintenanceTest, AWaveOfAMachineThatJoinedSinceTheLastListIsNotOver) {
  completeFirstWave();
  addMachine("pool");
  Machines_.DelaysLists_ = true;
  Owner_->onWaves({Wave_});
  runFor(milliseconds(2000), milliseconds(5));
  EXPECT_FALSE(Machines_.CompletedWaves_.contains(Wave_.Number_));
  Machines_.releaseLists();
  runFor(milliseconds(5000), milliseconds(5));
  ASSERT_EQ(Machines_.Orders_.size(), 1U);
  EXPECT_EQ(Machines_.Orders_.front().Machine_, "machine-of-w2");
  EXPECT_TRUE(Machines_.CompletedWaves_.contains(Wave_.Number_));
}

// Guards against more machines down than the wave allows (LIMIT) because an old
// list does not contain the machine that another owner has taken down.
TEST_F(MaintenanceTest, AMachineThatJoinedSinceTheLastListStaysDown) {
  completeFirstWave();
  Wave_.Machines_ = {"machine-of-w1"};
  addMachine("other");
  Machines_.List_.Machines_.back().State_ = MachineState::Maintained;
  WaveProgress Progress;
  Progress.Down_["machine-of-w2"] = "node-0";
  storeWave(Progress);
  Machines_.DelaysLists_ = true;
  Owner_->onWaves({Wave_});
  runFor(milliseconds(5000), milliseconds(5));
  EXPECT_TRUE(Machines_.Orders_.empty());
  auto Stored = controlrows::decodeWave(
      Store_.Rows_[controlrows::wave(Wave_.Number_)].Value_);
  ASSERT_TRUE(Stored);
  EXPECT_TRUE(Stored->Down_.contains("machine-of-w2"));
}

// Guards against a machine that is never maintained because the operators added
// it to a wave that had been reported as completed.
TEST_F(MaintenanceTest, ACompletedWaveWithAnAddedMachineIsTakenUpAgain) {
  takeOwnership(0, {workerBornAt(milliseconds(5))});
  Owner_->onWaves({Wave_});
  runFor(milliseconds(5000), milliseconds(5));
  ASSERT_TRUE(Machines_.CompletedWaves_.contains(Wave_.Number_));
  Machines_.Orders_.clear();
  Machines_.CompletedWaves_.clear();
  addMachine("pool");
  Machines_.DelaysLists_ = true;
  Owner_->onWaves({Wave_});
  runFor(milliseconds(2000), milliseconds(5));
  EXPECT_TRUE(Machines_.CompletedWaves_.empty());
  Machines_.releaseLists();
  runFor(milliseconds(5000), milliseconds(5));
  EXPECT_EQ(Machines_.Orders_.size(), 1U);
  EXPECT_TRUE(Machines_.CompletedWaves_.contains(Wave_.Number_));
}

// Guards against a read of the wave's row with each round of the owner while
// the store is away.
TEST_F(MaintenanceTest, ReadsOfAWaveAreSpacedWhileTheStoreIsAway) {
  takeOwnership(0, {workerBornAt(milliseconds(5))});
  Store_.Outcome_ = StoreOutcome::NotDone;
  Owner_->onWaves({Wave_});
  runFor(milliseconds(3000), milliseconds(5), milliseconds(10));
  EXPECT_LE(Store_.Calls_[controlrows::wave(Wave_.Number_)], MaxCalls);
}

// Guards against a report with each round of the owner while the store refuses
// them.
TEST_F(MaintenanceTest, ReportsOfAWaveAreSpacedWhileTheyAreRefused) {
  Machines_.AreReportsStored_ = false;
  takeOwnership(0, {workerBornAt(milliseconds(5))});
  Owner_->onWaves({Wave_});
  runFor(milliseconds(3000), milliseconds(5), milliseconds(10));
  EXPECT_LE(Machines_.Reports_, MaxCalls);
}

// Guards against a claim with each round of the owner while the store refuses
// them.
TEST_F(MaintenanceTest, ClaimsOfAMachineAreSpacedWhileTheyAreRefused) {
  takeOwnership(0, {});
  Owner_->onWaves({Wave_});
  Store_.MostPuts_ = 0;
  runFor(milliseconds(3000), milliseconds(5), milliseconds(10));
  EXPECT_LE(Store_.Calls_[controlrows::machine("machine-of-w1")], MaxCalls);
}

TEST_F(MaintenanceTest, AnUnreadableWaveRowIsNotOverwritten) {
  StoreKey Row = controlrows::wave(Wave_.Number_);
  Store_.Rows_[Row] = {Row, "{\"format\":2}", ++Store_.Version_, false};
  takeOwnership(0, {workerBornAt(milliseconds(5))});
  Owner_->onWaves({Wave_});
  runFor(milliseconds(4000), milliseconds(5));
  EXPECT_EQ(Store_.Rows_[Row].Value_, "{\"format\":2}");
  EXPECT_TRUE(Machines_.Orders_.empty());
  EXPECT_FALSE(Workers_.Starts_.empty());
}

/// Eight workers that are each full with a task which outlasts the wave.
class BusyPoolMaintenanceTest : public OwnerTest {
protected:
  static constexpr std::size_t Workers = 8;
  static constexpr Resources Capacity{16000, 32000, 0};

  BusyPoolMaintenanceTest() {
    StepSpec Step;
    Step.TaskCount_ = Workers;
    Step.PerTask_ = Capacity;
    Step.Estimate_ = milliseconds(60000);
    JobSpec Spec;
    Spec.Steps_ = {Step};
    storeJob(Spec);
    Wave_.Number_ = 1;
    Wave_.MaxUnavailable_ = Workers;
    std::vector<WorkerEntry> Fleet;
    for (std::size_t Number = 0; Number < Workers; ++Number) {
      WorkerEntry Entry = workerOf("w" + std::to_string(Number), Capacity);
      Entry.Machine_ = "machine-of-" + Entry.Id_;
      Fleet.push_back(Entry);
      Machine Listed;
      Listed.Name_ = Entry.Machine_;
      Listed.Pool_ = "pool";
      Listed.State_ = MachineState::Up;
      Listed.Worker_ = Entry.Id_;
      Machines_.List_.Machines_.push_back(Listed);
      Wave_.Machines_.push_back(Entry.Machine_);
    }
    Machines_.List_.IsValid_ = true;
    takeOwnership(0, Fleet);
    runFor(milliseconds(1000));
  }

  void runFor(milliseconds Length) {
    constexpr milliseconds Round{50};
    for (milliseconds Passed{0}; Passed < Length; Passed += Round) {
      Clock_.advance(Round);
      Owner_->tick();
      for (RecordingWorkers::Start &Each :
           std::exchange(Workers_.Starts_, {})) {
        Running_[Each.Target_.Id_] = {
            {Each.Order_.Task_, Each.Order_.Run_, "", 100, 0}};
        Each.Done_({OrderOutcome::Accepted, WorkerClock(1000)});
      }
      for (RecordingWorkers::Hold &Each : std::exchange(Workers_.Holds_, {}))
        Each.Done_(acceptedAnswer(Running_[Each.Target_.Id_]));
    }
  }

  MaintenanceWave Wave_;
  std::map<std::string, std::vector<ListedRun>> Running_;
};

TEST_F(BusyPoolMaintenanceTest, SeveralMachinesAreDrainedAtTheSameTime) {
  ASSERT_EQ(Running_.size(), Workers);
  Wave_.Duration_ = milliseconds(12000);
  Owner_->onWaves({Wave_});
  runFor(milliseconds(9000));
  EXPECT_EQ(Machines_.Orders_.size(), Workers);
}

TEST_F(BusyPoolMaintenanceTest, FewMachinesAreDrainedIfThereIsTime) {
  Wave_.Duration_ = milliseconds(600000);
  Owner_->onWaves({Wave_});
  runFor(milliseconds(9000));
  EXPECT_LE(Machines_.Orders_.size(), 3U);
}

} // namespace
} // namespace dragonflylock
