#include "scheduling/controlrows.h"
#include "scheduling/demandtracker.h"
#include "scheduling/internal/machinelistcache.h"
#include "scheduling/internal/machinemovemanager.h"
#include "scheduling/internal/poolstate.h"
#include "scheduling/machineordertracker.h"
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
        OrderTracker_("node-1", Clock_) {
    auto Configuration = std::make_shared<SchedulingConfiguration>();
    Configuration->Pools_ = {
        {"pool", true, false}, {"other", true, false}, {"spare", true, true}};
    for (PoolState *Each : {&Pool_, &Spare_}) {
      Each->Configuration_ = Configuration;
      Each->LeaseEnd_ = Clock_.now() + std::chrono::hours(1);
    }
    MoveManager_ = std::make_shared<MachineMoveManager>(
        Pool_, Machines_, *MachineList_, OrderTracker_, Demands_);
    SpareMoveManager_ = std::make_shared<MachineMoveManager>(
        Spare_, Machines_, *MachineList_, OrderTracker_, Demands_);
  }

  WorkerSession &addWorker(const std::string &Id) {
    WorkerEntry Entry;
    Entry.Id_ = Id;
    Entry.Pool_ = "pool";
    Entry.Machine_ = "machine-of-" + Id;
    Entry.Born_ = milliseconds(5);
    Entry.Capacity_ = {16000, 32000, 0};
    WorkerSession &Session = Pool_.findOrCreateSession(Entry);
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

  /// Advances the clock by \p Length and lets both managers run every 100 ms.
  void advanceTime(milliseconds Length) {
    constexpr milliseconds Round{100};
    for (milliseconds Passed{0}; Passed < Length; Passed += Round) {
      Clock_.advance(Round);
      MoveManager_->tick();
      SpareMoveManager_->tick();
    }
  }

  void setOtherPoolDemand(std::uint32_t Machines) {
    DemandRow Row;
    Row.Missing_ = Machines;
    StoreKey Name = controlrows::demand("other");
    StoreTransaction Wanted;
    Wanted.Puts_ = {{Name, controlrows::encode(Row)}};
    Store_.transact(std::move(Wanted), [](const StoreTransactionResult &) {});
    Demands_.onRow("other", Store_.Rows_[Name]);
  }

  /// Sets the platform's list to \p Count machines of the spare pool.
  void setSpareMachines(int Count) {
    Machines_.List_ = {true, {}};
    for (int Number = 0; Number < Count; ++Number) {
      Machine Each;
      Each.Name_ = "spare-" + std::to_string(Number);
      Each.Pool_ = "spare";
      Each.State_ = MachineState::Up;
      Machines_.List_.Machines_.push_back(Each);
    }
  }

  DemandRow storedDemand(const std::string &Pool) {
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
  std::shared_ptr<MachineListCache> MachineList_ =
      std::make_shared<MachineListCache>(Machines_, Clock_, Logger_);
  MachineOrderTracker OrderTracker_;
  DemandTracker Demands_;
  std::shared_ptr<MachineMoveManager> MoveManager_;
  std::shared_ptr<MachineMoveManager> SpareMoveManager_;
};

TEST_F(MachineMovesTest, RequestsTheMachinesThatItsJobsNeed) {
  addWorker("w1");
  addJob(16);
  advanceTime(milliseconds(200));
  EXPECT_GT(storedDemand("pool").Missing_, 3U);
}

TEST_F(MachineMovesTest, SpareMachinesAreGrantedOnceToTheRequestingPool) {
  setSpareMachines(3);
  setOtherPoolDemand(2);
  advanceTime(milliseconds(1000));
  EXPECT_EQ(Machines_.Moves_.size(), 2U);
  EXPECT_EQ(storedDemand("other").Missing_, 0U);
  EXPECT_EQ(storedDemand("other").Coming_.size(), 2U);
}

// Guards against a pool that is granted machines which have left since the last
// demand, and that waits for their arrival instead of getting others.
TEST_F(MachineMovesTest, SpareMachinesAreNotGrantedFromAnOldList) {
  setSpareMachines(2);
  setOtherPoolDemand(1);
  advanceTime(milliseconds(1000));
  ASSERT_EQ(Machines_.Moves_.size(), 1U);
  // Both machines leave, and a new one joins.
  setSpareMachines(3);
  Machines_.List_.Machines_.erase(Machines_.List_.Machines_.begin(),
                                  Machines_.List_.Machines_.begin() + 2);
  Machines_.Moves_.clear();
  advanceTime(std::chrono::minutes(10));
  Machines_.DelaysLists_ = true;
  setOtherPoolDemand(1);
  advanceTime(milliseconds(500));
  EXPECT_EQ(storedDemand("other").Missing_, 1U);
  Machines_.releaseLists();
  advanceTime(milliseconds(500));
  ASSERT_EQ(Machines_.Moves_.size(), 1U);
  EXPECT_EQ(Machines_.Moves_[0].Order_.Machine_, "spare-2");
}

TEST_F(MachineMovesTest, GrantsAnIdleSurplusMachine) {
  addWorker("w1");
  advanceTime(milliseconds(1500));
  addWorker("w2");
  setOtherPoolDemand(1);
  advanceTime(milliseconds(500));
  ASSERT_EQ(Machines_.Moves_.size(), 1U);
  EXPECT_EQ(Machines_.Moves_[0].Pool_, "other");
  EXPECT_EQ(Machines_.Moves_[0].Order_.Holder_, Settings_.Node_);
  EXPECT_GT(Machines_.Moves_[0].Order_.Token_, 0U);
}

TEST_F(MachineMovesTest, KeepsAMachineWithRunningTasks) {
  WorkerSession &Busy = addWorker("w1");
  Busy.changeRuns()[{JobId, 0, 0, 0}] = {};
  advanceTime(milliseconds(1500));
  WorkerSession &Late = addWorker("w2");
  Late.changeRuns()[{JobId, 0, 0, 1}] = {};
  setOtherPoolDemand(3);
  advanceTime(milliseconds(1000));
  EXPECT_TRUE(Machines_.Moves_.empty());
}

TEST_F(MachineMovesTest, KeepsAMachineThatIsReserved) {
  addWorker("w1").IsReservedForMaintenance_ = true;
  addWorker("w2");
  advanceTime(milliseconds(1500));
  addWorker("w3");
  addWorker("w4");
  setOtherPoolDemand(3);
  advanceTime(milliseconds(1000));
  EXPECT_EQ(Machines_.Moves_.size(), 2U);
  for (const AcceptingMachines::Move &Each : Machines_.Moves_)
    EXPECT_NE(Each.Order_.Machine_, "machine-of-w1");
}

TEST_F(MachineMovesTest, WaitsForTheLeaseAfterAnotherNodesOrder) {
  addWorker("w1");
  advanceTime(milliseconds(1500));
  addWorker("w2");
  for (const char *Name : {"machine-of-w1", "machine-of-w2"}) {
    StoreRow OtherOrder;
    OtherOrder.Name_ = controlrows::machine(Name);
    OtherOrder.Value_ = "node-2";
    OtherOrder.Version_ = ++Store_.Version_;
    Store_.Rows_[OtherOrder.Name_] = OtherOrder;
    OrderTracker_.onRow(Name, OtherOrder);
  }
  setOtherPoolDemand(1);
  advanceTime(Settings_.OwnerLease_ + MachineOrderTracker::OrderWindow -
              milliseconds(200));
  EXPECT_TRUE(Machines_.Moves_.empty());
  advanceTime(milliseconds(600));
  EXPECT_EQ(Machines_.Moves_.size(), 1U);
}

TEST_F(MachineMovesTest, ReturnsIdleSurplusMachinesToTheSparePool) {
  addWorker("w1");
  advanceTime(milliseconds(1500));
  EXPECT_EQ(storedDemand("pool").Home_, 1U);
  addWorker("w2");
  advanceTime(milliseconds(2500));
  EXPECT_TRUE(Machines_.Moves_.empty());
  advanceTime(milliseconds(1000));
  ASSERT_EQ(Machines_.Moves_.size(), 1U);
  EXPECT_EQ(Machines_.Moves_[0].Pool_, "spare");
}

TEST_F(MachineMovesTest, SendsNoOrderWhenItsAnnouncementIsStoredLate) {
  addWorker("w1");
  advanceTime(milliseconds(1500));
  addWorker("w2");
  Store_.DelaysResponses_ = true;
  setOtherPoolDemand(1);
  advanceTime(MachineOrderTracker::OrderWindow + milliseconds(500));
  Store_.release();
  advanceTime(milliseconds(100));
  EXPECT_TRUE(Machines_.Moves_.empty());
}

TEST_F(MachineMovesTest, RetriesAnUnansweredOrderWithTheSameToken) {
  addWorker("w1");
  advanceTime(milliseconds(1500));
  addWorker("w2");
  Machines_.MoveOutcome_ = MachineOutcome::Unknown;
  setOtherPoolDemand(1);
  advanceTime(milliseconds(500));
  Machines_.MoveOutcome_ = MachineOutcome::Accepted;
  std::size_t Before = Machines_.Moves_.size();
  ASSERT_GE(Before, 1U);
  advanceTime(milliseconds(500));
  EXPECT_EQ(Machines_.Moves_.size(), Before + 1);
  EXPECT_EQ(Machines_.Moves_.back().Order_.Token_,
            Machines_.Moves_.front().Order_.Token_);
}

TEST_F(MachineMovesTest, AWorkerUnlistedDuringAGrantIsReleased) {
  addWorker("w1");
  advanceTime(milliseconds(1500));
  addWorker("w2");
  Machines_.MoveOutcome_ = MachineOutcome::Refused;
  Store_.DelaysResponses_ = true;
  setOtherPoolDemand(1);
  advanceTime(milliseconds(600));
  auto IsEmptied = [](const auto &Each) {
    return Each.second->isBeingDrained();
  };
  auto &Sessions = Pool_.Sessions_;
  auto Updated = std::find_if(Sessions.begin(), Sessions.end(), IsEmptied);
  ASSERT_NE(Updated, Sessions.end());
  Updated->second->IsListed_ = false;
  Store_.release();
  Updated->second->IsListed_ = true;
  EXPECT_TRUE(std::none_of(Sessions.begin(), Sessions.end(), IsEmptied));
}

TEST_F(MachineMovesTest, RequestsAReplacementForAMachineThatDoesNotArrive) {
  addWorker("w1");
  addJob(16);
  advanceTime(milliseconds(1200));
  DemandRow Updated = storedDemand("pool");
  Updated.Coming_ = {"lost"};
  std::uint32_t Asked = Updated.Missing_;
  Updated.Missing_ -= 1;
  StoreTransaction Wanted;
  StoreKey Name = controlrows::demand("pool");
  Wanted.Puts_ = {{Name, controlrows::encode(Updated)}};
  Store_.transact(std::move(Wanted), [](const StoreTransactionResult &) {});
  Demands_.onRow("pool", Store_.Rows_[Name]);
  advanceTime(milliseconds(500));
  EXPECT_EQ(storedDemand("pool").Missing_, Asked - 1);
  advanceTime(milliseconds(4000));
  EXPECT_EQ(storedDemand("pool").Missing_, Asked);
}

} // namespace
} // namespace dragonflylock
