#include "scheduling/controlrows.h"
#include "scheduling/tests/mocks/poolownertest.h"

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;

Machine machineOfW1() {
  Machine Only;
  Only.Name_ = "machine-of-w1";
  Only.Pool_ = "pool";
  Only.State_ = MachineState::Up;
  Only.Worker_ = "w1";
  return Only;
}

MaintenanceWave waveOfW1() {
  MaintenanceWave Wave;
  Wave.Number_ = 1;
  Wave.Machines_ = {"machine-of-w1"};
  Wave.Duration_ = milliseconds(20000);
  return Wave;
}

TEST_F(PoolOwnerTest, MaintenanceCountsAllTasksOfAWorkerAgainstTheBudget) {
  storeJob(servingJob());
  takeOwnership(0, {worker("w1")});
  std::vector<ListedRun> Running;
  for (std::uint32_t Index = 0; Index < 2; ++Index) {
    ListedRun Run;
    Run.Task_ = {JobId, 0, 0, Index};
    Run.Run_ = 1;
    Run.Percent_ = 100;
    Running.push_back(Run);
  }
  answerHold(acceptedAnswer(Running));
  Machines_.List_ = {true, {machineOfW1()}};
  Owner_->onWaves({waveOfW1()});
  for (int Round = 0; Round < 20; ++Round) {
    Clock_.advance(milliseconds(100));
    Owner_->tick();
    while (!Workers_.Holds_.empty())
      Workers_.takeHold().Done_(acceptedAnswer(Running));
  }
  EXPECT_TRUE(Machines_.Orders_.empty());
  // The worker is drained of one task first, so all stops are for the same
  // task.
  ASSERT_FALSE(Workers_.Stops_.empty());
  for (const RecordingWorkers::Stop &Stop : Workers_.Stops_)
    EXPECT_EQ(Stop.Task_, Workers_.Stops_[0].Task_);
}

TEST_F(PoolOwnerTest, MaintenanceSparesTasksThatASilentWorkerMayRun) {
  // The owner before has recorded that the worker runs both tasks, of which one
  // may be unavailable.
  storeJob(servingJob());
  RosterRow Roster;
  Roster.Workers_ = {worker("w1")};
  Roster.Silent_[worker("w1").lifetime()] = {std::string(JobId) + ".0.0.0",
                                             std::string(JobId) + ".0.0.1"};
  Roster.Queues_ = {"queue"};
  StoreKey Row = controlrows::roster("pool");
  Store_.Rows_[Row] = {Row, controlrows::encode(Roster), ++Store_.Version_,
                       false};
  Machines_.List_ = {true, {machineOfW1()}};
  takeOwnership(1, {worker("w1")});
  MaintenanceWave Wave = waveOfW1();
  Wave.Duration_ = milliseconds(4000);
  Owner_->onWaves({Wave});
  for (int Round = 0; Round < 40; ++Round) {
    Owner_->tick();
    while (!Workers_.Holds_.empty())
      Workers_.takeHold().Done_(HoldAnswer());
    Clock_.advance(milliseconds(100));
  }
  EXPECT_TRUE(Machines_.Orders_.empty());
}

TEST_F(PoolOwnerTest, MaintenanceSparesTasksOfAWorkerThatLeftTheRegistry) {
  storeJob(servingJob());
  takeOwnership(0, {worker("w1")});
  answerHold(acceptedAnswer(
      {{{JobId, 0, 0, 0}, 1, "", 100, 0}, {{JobId, 0, 0, 1}, 1, "", 100, 0}}));
  Owner_->onWorkers({});
  Machines_.List_ = {true, {machineOfW1()}};
  Owner_->onWaves({waveOfW1()});
  auto RunSilentlyFor = [&](milliseconds Length) {
    for (milliseconds Passed{0}; Passed < Length; Passed += milliseconds(100)) {
      Clock_.advance(milliseconds(100));
      Owner_->tick();
      while (!Workers_.Holds_.empty())
        Workers_.takeHold().Done_(HoldAnswer());
    }
  };
  RunSilentlyFor(milliseconds(4000));
  EXPECT_TRUE(Machines_.Orders_.empty());
  // Once the leases have expired, nothing runs there any more.
  RunSilentlyFor(milliseconds(6000));
  EXPECT_EQ(Machines_.Orders_.size(), 1U);
}

} // namespace
} // namespace dragonflylock
