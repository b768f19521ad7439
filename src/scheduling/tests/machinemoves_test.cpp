#include "scheduling/controlrows.h"
#include "scheduling/demandboard.h"
#include "scheduling/internal/machinelister.h"
#include "scheduling/internal/movekeeper.h"
#include "scheduling/internal/poolstate.h"
#include "scheduling/machineledger.h"
#include "scheduling/tests/mocks/fakefleet.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;

constexpr const char *JobId = "00000000000000aa";

class MachineMovesTest : public testing::Test {
protected:
  MachineMovesTest()
      : Pool_("pool", Settings_, Clock_, Store_, Workers_, Logger_),
        Spare_("spare", Settings_, Clock_, Store_, Workers_, Logger_),
        Ledger_("node-1", Clock_) {
    auto Configuration = std::make_shared<SchedulingConfiguration>();
    Configuration->Pools_ = {
        {"pool", true, false}, {"other", true, false}, {"spare", true, true}};
    for (PoolState *Each : {&Pool_, &Spare_}) {
      Each->Configuration_ = Configuration;
      Each->LeaseEnd_ = Clock_.now() + std::chrono::hours(1);
    }
    Keeper_ = std::make_shared<MoveKeeper>(Pool_, Machines_, *List_, Ledger_,
                                           Demands_);
    SpareKeeper_ = std::make_shared<MoveKeeper>(Spare_, Machines_, *List_,
                                                Ledger_, Demands_);
  }

  WorkerSession &addWorker(const std::string &Id) {
    WorkerEntry Entry;
    Entry.Id_ = Id;
    Entry.Pool_ = "pool";
    Entry.Machine_ = "machine-of-" + Id;
    Entry.Born_ = milliseconds(5);
    Entry.Capacity_ = {16000, 32000, 0};
    WorkerSession &Session = Pool_.meet(Entry);
    Session.IsFenced_ = true;
    Session.IsListed_ = true;
    return Session;
  }

  void addJob(std::uint32_t Tasks) {
    SubmittedJob Job;
    Job.Queue_ = "queue";
    Job.Pool_ = "pool";
    Job.AcceptedAt_ = Pool_.wallTime();
    StepSpec Step;
    Step.TaskCount_ = Tasks;
    Step.PerTask_ = {8000, 1000, 0};
    Step.Estimate_ = milliseconds(2000);
    Job.Spec_.Steps_ = {Step};
    Pool_.Jobs_.emplace(JobId,
                        std::make_unique<ActiveJob>(JobId, std::move(Job)));
  }

  /// Lets \p Length pass in the keepers' rounds.
  void pass(milliseconds Length) {
    constexpr milliseconds Round{100};
    for (milliseconds Passed{0}; Passed < Length; Passed += Round) {
      Clock_.advance(Round);
      Keeper_->tick();
      SpareKeeper_->tick();
    }
  }

  void otherAsksFor(std::uint32_t Machines) {
    DemandRow Row;
    Row.Missing_ = Machines;
    StoreKey Name = controlrows::demand("other");
    StoreTransaction Wanted;
    Wanted.Puts_ = {{Name, controlrows::encode(Row)}};
    Store_.transact(std::move(Wanted), [](const StoreTransactionResult &) {});
    Demands_.onRow("other", Store_.Rows_[Name]);
  }

  DemandRow stored(const std::string &Pool) {
    auto Found = Store_.Rows_.find(controlrows::demand(Pool));
    return Found == Store_.Rows_.end()
               ? DemandRow{}
               : controlrows::decodeDemand(Found->second.Value_)
                     .value_or(DemandRow{});
  }

  ManualClock Clock_;
  SilentLogger Logger_;
  InstantStore Store_;
  RecordingWorkers Workers_;
  AcceptingMachines Machines_;
  SchedulingSettings Settings_;
  PoolState Pool_;
  PoolState Spare_;
  std::shared_ptr<MachineLister> List_ =
      std::make_shared<MachineLister>(Machines_, Clock_, Logger_);
  MachineLedger Ledger_;
  DemandBoard Demands_;
  std::shared_ptr<MoveKeeper> Keeper_;
  std::shared_ptr<MoveKeeper> SpareKeeper_;
};

TEST_F(MachineMovesTest, AsksForTheMachinesThatItsJobsNeed) {
  addWorker("w1");
  addJob(16);
  pass(milliseconds(200));
  EXPECT_GT(stored("pool").Missing_, 3U);
}

TEST_F(MachineMovesTest, SpareMachinesAreGivenOnceToWhoAsks) {
  for (int Number = 0; Number < 3; ++Number) {
    Machine Off;
    Off.Name_ = "spare-" + std::to_string(Number);
    Off.Pool_ = "spare";
    Off.State_ = MachineState::Up;
    Machines_.List_.Machines_.push_back(Off);
  }
  Machines_.List_.IsValid_ = true;
  otherAsksFor(2);
  pass(milliseconds(1000));
  EXPECT_EQ(Machines_.Moves_.size(), 2U);
  EXPECT_EQ(stored("other").Missing_, 0U);
  EXPECT_EQ(stored("other").Coming_.size(), 2U);
}

TEST_F(MachineMovesTest, LendsAnIdleMachineThatIsNotItsOwn) {
  addWorker("w1");
  pass(milliseconds(1500));
  addWorker("w2");
  otherAsksFor(1);
  pass(milliseconds(500));
  ASSERT_EQ(Machines_.Moves_.size(), 1U);
  EXPECT_EQ(Machines_.Moves_[0].Pool_, "other");
  EXPECT_EQ(Machines_.Moves_[0].Order_.Holder_, Settings_.Node_);
  EXPECT_GT(Machines_.Moves_[0].Order_.Token_, 0U);
}

TEST_F(MachineMovesTest, KeepsAMachineOnWhichSomethingRuns) {
  WorkerSession &Busy = addWorker("w1");
  Busy.changeRuns()[{JobId, 0, 0, 0}] = {};
  pass(milliseconds(1500));
  WorkerSession &Late = addWorker("w2");
  Late.changeRuns()[{JobId, 0, 0, 1}] = {};
  otherAsksFor(3);
  pass(milliseconds(1000));
  EXPECT_TRUE(Machines_.Moves_.empty());
}

TEST_F(MachineMovesTest, KeepsAMachineThatIsReserved) {
  addWorker("w1").IsReserved_ = true;
  addWorker("w2");
  pass(milliseconds(1500));
  addWorker("w3");
  addWorker("w4");
  otherAsksFor(3);
  pass(milliseconds(1000));
  EXPECT_EQ(Machines_.Moves_.size(), 2U);
  for (const AcceptingMachines::Move &Each : Machines_.Moves_)
    EXPECT_NE(Each.Order_.Machine_, "machine-of-w1");
}

TEST_F(MachineMovesTest, WaitsAfterAnotherNodesOrder) {
  addWorker("w1");
  pass(milliseconds(1500));
  addWorker("w2");
  for (const char *Name : {"machine-of-w1", "machine-of-w2"}) {
    StoreRow Other;
    Other.Name_ = controlrows::machine(Name);
    Other.Value_ = "node-2";
    Other.Version_ = ++Store_.Version_;
    Store_.Rows_[Other.Name_] = Other;
    Ledger_.onRow(Name, Other);
  }
  otherAsksFor(1);
  pass(Settings_.OwnerLease_ + MachineLedger::OrderWindow - milliseconds(200));
  EXPECT_TRUE(Machines_.Moves_.empty());
  pass(milliseconds(600));
  EXPECT_EQ(Machines_.Moves_.size(), 1U);
}

TEST_F(MachineMovesTest, ReturnsIdleMachinesThatAreNotItsOwn) {
  addWorker("w1");
  pass(milliseconds(1500));
  EXPECT_EQ(stored("pool").Home_, 1U);
  addWorker("w2");
  pass(milliseconds(2500));
  EXPECT_TRUE(Machines_.Moves_.empty());
  pass(milliseconds(1000));
  ASSERT_EQ(Machines_.Moves_.size(), 1U);
  EXPECT_EQ(Machines_.Moves_[0].Pool_, "spare");
}

TEST_F(MachineMovesTest, OrdersNothingWhenItsAnnouncementWasStoredLate) {
  addWorker("w1");
  pass(milliseconds(1500));
  addWorker("w2");
  Store_.IsHolding_ = true;
  otherAsksFor(1);
  pass(MachineLedger::OrderWindow + milliseconds(500));
  Store_.release();
  pass(milliseconds(100));
  EXPECT_TRUE(Machines_.Moves_.empty());
}

TEST_F(MachineMovesTest, RepeatsAnOrderWithoutAnAnswer) {
  addWorker("w1");
  pass(milliseconds(1500));
  addWorker("w2");
  Machines_.MoveOutcome_ = MachineOutcome::Unknown;
  otherAsksFor(1);
  pass(milliseconds(500));
  Machines_.MoveOutcome_ = MachineOutcome::Accepted;
  std::size_t Before = Machines_.Moves_.size();
  ASSERT_GE(Before, 1U);
  pass(milliseconds(500));
  EXPECT_EQ(Machines_.Moves_.size(), Before + 1);
  EXPECT_EQ(Machines_.Moves_.back().Order_.Token_,
            Machines_.Moves_.front().Order_.Token_);
}

TEST_F(MachineMovesTest, AWorkerThatWasUnlistedDuringAGrantTakesTasksAgain) {
  addWorker("w1");
  pass(milliseconds(1500));
  addWorker("w2");
  Machines_.MoveOutcome_ = MachineOutcome::Refused;
  Store_.IsHolding_ = true;
  otherAsksFor(1);
  pass(milliseconds(600));
  auto IsEmptied = [](const auto &Each) {
    return Each.second->isBeingEmptied();
  };
  auto &Sessions = Pool_.Sessions_;
  auto Granted = std::find_if(Sessions.begin(), Sessions.end(), IsEmptied);
  ASSERT_NE(Granted, Sessions.end());
  Granted->second->IsListed_ = false;
  Store_.release();
  Granted->second->IsListed_ = true;
  EXPECT_TRUE(std::none_of(Sessions.begin(), Sessions.end(), IsEmptied));
}

TEST_F(MachineMovesTest, AsksAgainForAMachineThatDoesNotArrive) {
  addWorker("w1");
  addJob(16);
  pass(milliseconds(1200));
  DemandRow Granted = stored("pool");
  Granted.Coming_ = {"lost"};
  std::uint32_t Asked = Granted.Missing_;
  Granted.Missing_ -= 1;
  StoreTransaction Wanted;
  StoreKey Name = controlrows::demand("pool");
  Wanted.Puts_ = {{Name, controlrows::encode(Granted)}};
  Store_.transact(std::move(Wanted), [](const StoreTransactionResult &) {});
  Demands_.onRow("pool", Store_.Rows_[Name]);
  pass(milliseconds(500));
  EXPECT_EQ(stored("pool").Missing_, Asked - 1);
  pass(milliseconds(4000));
  EXPECT_EQ(stored("pool").Missing_, Asked);
}

} // namespace
} // namespace dragonflylock
