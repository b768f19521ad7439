#include "scheduling/controlrows.h"
#include "scheduling/demandtracker.h"
#include "scheduling/internal/machinelistcache.h"
#include "scheduling/internal/machinemovemanager.h"
#include "scheduling/internal/poolstate.h"
#include "scheduling/machineordertracker.h"
#include "scheduling/tests/mocks/fakefleet.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <iostream>

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds Round{100};
constexpr milliseconds Period{16000};
constexpr milliseconds PeakLength{4000};
constexpr std::uint32_t Home = 20;
constexpr std::uint32_t Spare = 40;
/// Machines that the peak's arrivals need, without the reserve for packing.
constexpr std::uint32_t PeakLoad = 36;
/// Time from the start of a worker until it accepts tasks.
constexpr milliseconds RegistrationTime{400};
/// Each job takes one machine for this time.
constexpr milliseconds JobTime{1000};

/// A wall clock that a test can let jump.
class JumpingClock : public IClock {
public:
  TimePoint now() const override { return Steady_.now(); }
  WallTime wallNow() const override { return Steady_.wallNow() + Jump_; }
  void advance(milliseconds Step) { Steady_.advance(Step); }

  milliseconds Jump_{0};

private:
  ManualClock Steady_;
};

/// Machines whose moves take 1.5 s. A moved machine is registered in its pool
/// 0.4 s later.
class MovingMachines : public IMachineControl {
public:
  struct State {
    std::string Pool_;
    TimePoint ArrivesAt_;
    /// Start of its worker's lifetime.
    milliseconds Born_{5};
  };

  explicit MovingMachines(const IClock &Clock) : Clock_(Clock) {}

  void list(ListDone Done) override {
    MachineList List;
    List.IsValid_ = true;
    for (const auto &[Name, Each] : Machines_) {
      Machine Listed;
      Listed.Name_ = Name;
      Listed.Pool_ = Each.Pool_;
      Listed.State_ = Clock_.now() < Each.ArrivesAt_ ? MachineState::Moving
                                                     : MachineState::Up;
      List.Machines_.push_back(Listed);
    }
    Done(List);
  }
  void maintain(const MachineOrder &, std::uint64_t, OrderDone) override {}
  void move(const MachineOrder &Order, const std::string &Pool,
            OrderDone Done) override {
    if (LosesOrders_) {
      Done(MachineOutcome::NotDone);
      return;
    }
    State &Moved = Machines_.at(Order.Machine_);
    Moved.Pool_ = Pool;
    Moved.ArrivesAt_ = Clock_.now() + milliseconds(1500);
    Moved.Born_ += milliseconds(1);
    ++Moves_;
    Done(MachineOutcome::Accepted);
  }
  void reportWave(std::uint64_t, bool, ReportDone) override {}

  std::map<std::string, State> Machines_;
  std::uint32_t Moves_ = 0;
  /// Whether orders do not reach the platform.
  bool LosesOrders_ = false;

private:
  const IClock &Clock_;
};

/// Plays arrivals to the owners of a pool and of the spare pool, and runs jobs
/// on the pool's machines.
struct PoolModel {
  explicit PoolModel(bool UsesForecast = true)
      : Pool_("pool", Settings_, Clock_, Store_, Workers_, Logger_),
        Spare_("spare", Settings_, Clock_, Store_, Workers_, Logger_) {
    Settings_.RefusesUnderPressure_ = UsesForecast;
    auto Configuration = std::make_shared<SchedulingConfiguration>();
    Configuration->Pools_ = {
        {"pool", true, false}, {"other", true, false}, {"spare", true, true}};
    for (PoolState *Each : {&Pool_, &Spare_}) {
      Each->Configuration_ = Configuration;
      Each->LeaseEnd_ = Clock_.now() + std::chrono::hours(10);
    }
    for (std::uint32_t Number = 0; Number < Home; ++Number)
      Machines_.Machines_["home-" + std::to_string(Number)].Pool_ = "pool";
    for (std::uint32_t Number = 0; Number < Spare; ++Number)
      Machines_.Machines_["spare-" + std::to_string(Number)].Pool_ = "spare";
    startOwners();
  }

  /// Replaces the owners of both pools by new ones, which know the stored rows
  /// only.
  void startOwners() {
    Demands_ = std::make_unique<DemandTracker>();
    OrderTracker_ = std::make_unique<MachineOrderTracker>("node-1", Clock_);
    for (const auto &[Name, Row] : Store_.Rows_) {
      const std::string Demand = controlrows::DemandPrefix;
      const std::string Machine = controlrows::MachinePrefix;
      if (Name.Key_.starts_with(Demand))
        Demands_->onRow(Name.Key_.substr(Demand.size()), Row);
      if (Name.Key_.starts_with(Machine))
        OrderTracker_->onRow(Name.Key_.substr(Machine.size()), Row);
    }
    MoveManager_ = std::make_shared<MachineMoveManager>(
        Pool_, Machines_, *MachineList_, *OrderTracker_, *Demands_);
    MoveManager_->setMaintenanceCheck([this](const std::string &Machine) {
      return DueForMaintenance_.contains(Machine);
    });
    SpareMoveManager_ = std::make_shared<MachineMoveManager>(
        Spare_, Machines_, *MachineList_, *OrderTracker_, *Demands_);
  }

  /// Registers the workers of the machines that are in the pool.
  void updateWorkers() {
    std::set<std::string> Listed;
    for (const auto &[Name, Each] : Machines_.Machines_) {
      if (Each.Pool_ != "pool" ||
          Clock_.now() < Each.ArrivesAt_ + RegistrationTime)
        continue;
      WorkerEntry Entry;
      Entry.Id_ = "worker-of-" + Name;
      Entry.Pool_ = "pool";
      Entry.Machine_ = Name;
      Entry.Zone_ = "zone";
      Entry.Born_ = Each.Born_;
      Entry.Capacity_ = {16000, 32000, 0};
      if (Name == MachineWithAccelerator_)
        Entry.Capacity_.Gpus_ = 1;
      if (Name == MachineWithLabel_)
        Entry.Labels_ = {"label"};
      Listed.insert(Entry.lifetime());
      WorkerSession &Session = Pool_.findOrCreateSession(Entry);
      Session.IsFenced_ = true;
      Session.IsListed_ = true;
    }
    std::erase_if(Pool_.Sessions_, [&](const auto &Each) {
      return !Listed.contains(Each.first);
    });
  }

  void addJob() {
    SubmittedJob Job;
    Job.Queue_ = "queue";
    Job.Pool_ = "pool";
    Job.AcceptedAt_ = Pool_.wallTime();
    StepSpec Step;
    Step.PerTask_ = {16000, 1000, 0};
    Step.Estimate_ = JobTime;
    Job.Spec_.Steps_ = {Step};
    const std::string Id = "job-" + std::to_string(NextJob_++);
    Pool_.addJob(std::make_unique<ActiveJob>(Id, std::move(Job)));
    Waiting_.push_back(Id);
  }

  /// Ends the jobs that are done, and starts waiting ones on free machines.
  void runJobs() {
    std::erase_if(Running_, [this](const auto &Each) {
      if (Clock_.now() < Each.second.EndsAt_)
        return false;
      if (WorkerSession *Session = Pool_.session(Each.second.Worker_))
        Session->changeRuns().clear();
      Pool_.removeJob(*Pool_.job(Each.first));
      return true;
    });
    for (auto &[Lifetime, Session] : Pool_.Sessions_) {
      if (Waiting_.empty())
        return;
      if (!Session->runs().empty() || Session->isBeingDrained())
        continue;
      const TaskName Task{Waiting_.front(), 0, 0, 0};
      Session->changeRuns()[Task] = {};
      TaskRun &Run = Pool_.job(Task.Job_)->mutableRun(Task);
      Run.Worker_ = Lifetime;
      Run.Phase_ = TaskPhase::Running;
      Running_[Task.Job_] = {Lifetime, Clock_.now() + JobTime};
      Waiting_.pop_front();
    }
  }

  std::uint32_t machinesIn(const std::string &Pool) const {
    return static_cast<std::uint32_t>(std::count_if(
        Machines_.Machines_.begin(), Machines_.Machines_.end(),
        [&](const auto &Each) { return Each.second.Pool_ == Pool; }));
  }

  /// Plays a load of \p Rate, in machines, for \p Duration.
  void play(milliseconds Duration,
            const std::function<double(milliseconds)> &Rate) {
    for (milliseconds Passed{0}; Passed < Duration; Passed += Round) {
      Clock_.advance(Round);
      Elapsed_ += Round;
      Arriving_ += Rate(Elapsed_ - Round) * static_cast<double>(Round.count()) /
                   static_cast<double>(JobTime.count());
      for (; Arriving_ >= 1; Arriving_ -= 1)
        addJob();
      updateWorkers();
      runJobs();
      MoveManager_->tick();
      SpareMoveManager_->tick();
      const auto Ready = static_cast<std::uint32_t>(Pool_.Sessions_.size());
      LeastReady_ = std::min(LeastReady_, Ready);
      LeastInPool_ = std::min(LeastInPool_, machinesIn("pool"));
      MachineSeconds_ += machinesIn("pool") * 0.1;
      WaitingSeconds_ += static_cast<double>(Waiting_.size()) * 0.1;
    }
  }

  static double peaks(milliseconds Time) {
    return Time % Period >= Period - PeakLength ? PeakLoad : 0.5;
  }
  /// Plays the load up to the begin of the given peak, counted from 0.
  void playToPeak(int Number) {
    play(Period * Number + Period - PeakLength - Elapsed_, peaks);
  }
  void playValley(milliseconds Duration) {
    play(Duration, [](milliseconds) { return 0.5; });
  }

  std::uint32_t readyMachines() const {
    return static_cast<std::uint32_t>(Pool_.Sessions_.size());
  }
  DemandRow storedDemand() {
    return controlrows::decodeDemand(
               Store_.Rows_[controlrows::demand("pool")].Value_)
        .value_or(DemandRow{});
  }
  std::size_t countEvents(const std::string &Name) const {
    return static_cast<std::size_t>(
        std::count(Logger_.Events_.begin(), Logger_.Events_.end(), Name));
  }

  /// \returns the price of the machine-seconds and moves.
  double price() const {
    return MachineSeconds_ * 0.022 + Machines_.Moves_ * 0.025;
  }

  struct RunningJob {
    std::string Worker_;
    TimePoint EndsAt_;
  };

  JumpingClock Clock_;
  EventRecorder Logger_;
  InstantStore Store_;
  RecordingWorkers Workers_;
  MovingMachines Machines_{Clock_};
  SchedulingSettings Settings_;
  PoolState Pool_;
  PoolState Spare_;
  std::shared_ptr<MachineListCache> MachineList_ =
      std::make_shared<MachineListCache>(Machines_, Clock_, Logger_);
  std::unique_ptr<MachineOrderTracker> OrderTracker_;
  std::unique_ptr<DemandTracker> Demands_;
  std::shared_ptr<MachineMoveManager> MoveManager_;
  std::shared_ptr<MachineMoveManager> SpareMoveManager_;
  std::set<std::string> DueForMaintenance_;
  std::string MachineWithAccelerator_;
  std::string MachineWithLabel_;
  std::deque<std::string> Waiting_;
  std::map<std::string, RunningJob> Running_;
  milliseconds Elapsed_{0};
  double Arriving_ = 0;
  int NextJob_ = 0;
  std::uint32_t LeastReady_ = 1000;
  std::uint32_t LeastInPool_ = 1000;
  double MachineSeconds_ = 0;
  double WaitingSeconds_ = 0;
};

class DemandForecastTest : public testing::Test, protected PoolModel {};

// Guards against machines that arrive when a predicted peak is half over.
TEST_F(DemandForecastTest, MachinesAreReadyWhenAPredictedPeakBegins) {
  for (int Peak = 0; Peak < 2; ++Peak) {
    playToPeak(Peak);
    EXPECT_EQ(readyMachines(), Home) << Peak;
  }
  for (int Peak = 2; Peak < 8; ++Peak) {
    playToPeak(Peak);
    EXPECT_GE(readyMachines(), PeakLoad) << Peak;
  }
  EXPECT_EQ(countEvents("forecast.found"), 1U);
  EXPECT_EQ(countEvents("forecast.dropped"), 0U);
  EXPECT_EQ(countEvents("machines.requested-ahead"), 6U);
}

// Guards against a forecast that costs more machine-seconds than it saves, or
// that lets jobs wait for longer.
TEST_F(DemandForecastTest, CostsFewerMachineSecondsAndLessWaiting) {
  constexpr int Peaks = 12;
  playToPeak(Peaks);
  PoolModel Plain(/*UsesForecast=*/false);
  Plain.playToPeak(Peaks);
  EXPECT_LT(MachineSeconds_, Plain.MachineSeconds_ * 0.9);
  EXPECT_LT(WaitingSeconds_, Plain.WaitingSeconds_ * 0.5);
  EXPECT_LT(price(), Plain.price());
  EXPECT_EQ(storedDemand().Home_, Home);
  auto Compare = [](double With, double Without) {
    return std::to_string(With) + ", without forecast " +
           std::to_string(Without);
  };
  std::cout << "machine-seconds "
            << Compare(MachineSeconds_, Plain.MachineSeconds_)
            << "\nwaiting job-seconds "
            << Compare(WaitingSeconds_, Plain.WaitingSeconds_) << "\nmoves "
            << Compare(Machines_.Moves_, Plain.Machines_.Moves_) << "\nprice "
            << Compare(price(), Plain.price()) << "\n";
}

// Guards against a first peak that is met more slowly than without the setting:
// nothing predicts it.
TEST_F(DemandForecastTest, MeetsTheFirstPeakSooner) {
  auto TimeToMeet = [](PoolModel &Model) {
    Model.playToPeak(0);
    milliseconds Time{0};
    for (; Model.readyMachines() < PeakLoad && Time < PeakLength; Time += Round)
      Model.play(Round, peaks);
    return Time;
  };
  PoolModel Plain(/*UsesForecast=*/false);
  const milliseconds With = TimeToMeet(*this);
  const milliseconds Without = TimeToMeet(Plain);
  std::cout << "first peak met after " << With.count() << " ms, without "
            << Without.count() << " ms\n";
  EXPECT_LT(With, Without);
}

// Guards against home machines that are given away without a forecast, and
// against a reserve that is given away with one.
TEST_F(DemandForecastTest, KeepsTheReserveOfHomeMachines) {
  // The pattern is confirmed when the third peak has come as predicted.
  playToPeak(2);
  EXPECT_GE(LeastInPool_, Home);
  playToPeak(10);
  EXPECT_LT(LeastInPool_, Home);
  EXPECT_GE(LeastInPool_, Home / 4);
  EXPECT_EQ(storedDemand().Home_, Home);
}

// Guards against home machines that stay away when the peaks have ended.
TEST_F(DemandForecastTest, HomeMachinesComeBackWhenThePatternBreaks) {
  playToPeak(6);
  play(PeakLength, peaks);
  playValley(milliseconds(8000));
  EXPECT_FALSE(storedDemand().Returned_.empty());
  playValley(2 * Period);
  EXPECT_EQ(countEvents("forecast.dropped"), 1U);
  EXPECT_EQ(readyMachines(), Home);
  EXPECT_TRUE(storedDemand().Returned_.empty());
  EXPECT_EQ(storedDemand().Forecast_, "");
}

// Guards against returned machines that are not available when an unforeseen
// burst begins.
TEST_F(DemandForecastTest, ReturnedMachinesComeBackForAnUnforeseenBurst) {
  playToPeak(6);
  play(PeakLength, peaks);
  playValley(milliseconds(7000));
  ASSERT_LT(readyMachines(), Home);
  const std::set<std::string> Returned = storedDemand().Returned_;
  ASSERT_EQ(machinesIn("pool") + Returned.size(), Home);
  // Another pool requests more machines than the spare pool has.
  DemandRow Other;
  Other.Missing_ = 100;
  Store_.transact(
      {{}, {{controlrows::demand("other"), controlrows::encode(Other)}}},
      [](const StoreTransactionResult &) {});
  Demands_->onRow("other", Store_.Rows_[controlrows::demand("other")]);
  playValley(milliseconds(1000));
  EXPECT_EQ(machinesIn("spare"), Returned.size());
  // A peak shows after up to 0.6 s; move and registration take 1.9 s.
  play(milliseconds(2800), [](milliseconds) { return PeakLoad; });
  EXPECT_EQ(readyMachines(), Home);
}

// Guards against an owner that meets the next peak as if it were the first, and
// one that dies with machines on their way.
TEST_F(DemandForecastTest, NextOwnerUsesThePattern) {
  playToPeak(6);
  play(PeakLength + milliseconds(3000), peaks);
  startOwners();
  play(milliseconds(3000), peaks);
  startOwners();
  playToPeak(7);
  EXPECT_GE(readyMachines(), PeakLoad);
  playToPeak(10);
  EXPECT_GE(readyMachines(), PeakLoad);
  EXPECT_EQ(countEvents("forecast.dropped"), 0U);
  EXPECT_EQ(machinesIn("pool") + machinesIn("spare"), Home + Spare);
}

// Guards against machines that count as returned although the owner died before
// it sent the orders: the spare pool would keep machines that it does not have.
TEST_F(DemandForecastTest, OwnerDiesBetweenReturnAndOrder) {
  playToPeak(6);
  play(PeakLength, peaks);
  Machines_.LosesOrders_ = true;
  for (int Step = 0; Step < 40 && storedDemand().Returned_.empty(); ++Step)
    playValley(Round);
  ASSERT_FALSE(storedDemand().Returned_.empty());
  for (auto &[Lifetime, Session] : Pool_.Sessions_)
    Session->IsMovingToOtherPool_ = false; // The next owner's sessions are new.
  startOwners();
  Machines_.LosesOrders_ = false;
  playValley(milliseconds(300));
  EXPECT_TRUE(storedDemand().Returned_.empty());
  EXPECT_GE(readyMachines(), Home);
}

// Guards against requests and returns at wrong times after a jump of the wall
// clock.
TEST_F(DemandForecastTest, ClockJumpDropsThePattern) {
  playToPeak(6);
  play(PeakLength + milliseconds(3000), peaks);
  ASSERT_FALSE(storedDemand().Returned_.empty());
  Clock_.Jump_ = milliseconds(5000);
  play(milliseconds(5000), peaks);
  EXPECT_EQ(countEvents("forecast.dropped"), 1U);
  EXPECT_EQ(readyMachines(), Home);
  const std::size_t Ahead = countEvents("machines.requested-ahead");
  playToPeak(8);
  EXPECT_EQ(countEvents("machines.requested-ahead"), Ahead);
}

// Guards against returned machines whose maintenance is due: they would have to
// be found in another pool.
TEST_F(DemandForecastTest, MachinesDueForMaintenanceStay) {
  DueForMaintenance_ = {"home-0", "home-1"};
  playToPeak(6);
  play(PeakLength + milliseconds(4000), peaks);
  ASSERT_FALSE(storedDemand().Returned_.empty());
  for (const std::string &Name : DueForMaintenance_)
    EXPECT_EQ(Machines_.Machines_[Name].Pool_, "pool");
}

// Guards against steps that find no machine for their requirements in an idle
// phase, since the returned machines were the only ones that meet them.
TEST_F(DemandForecastTest, AcceleratorsAndTheLastMachineOfALabelStay) {
  MachineWithAccelerator_ = "home-0";
  MachineWithLabel_ = "home-1";
  playToPeak(6);
  play(PeakLength + milliseconds(4000), peaks);
  ASSERT_FALSE(storedDemand().Returned_.empty());
  EXPECT_EQ(Machines_.Machines_["home-0"].Pool_, "pool");
  EXPECT_EQ(Machines_.Machines_["home-1"].Pool_, "pool");
}

// Guards against any effect in deployments that do not name the component.
TEST_F(DemandForecastTest, NothingIsForecastWithoutTheSetting) {
  PoolModel Plain(/*UsesForecast=*/false);
  Plain.playToPeak(8);
  EXPECT_GE(Plain.LeastInPool_, Home);
  EXPECT_EQ(Plain.countEvents("forecast.found"), 0U);
  EXPECT_EQ(Plain.countEvents("machines.requested-ahead"), 0U);
  const std::string Row =
      Plain.Store_.Rows_[controlrows::demand("pool")].Value_;
  EXPECT_EQ(Row.find("forecast"), std::string::npos);
  EXPECT_EQ(Row.find("returned"), std::string::npos);
}

// Guards against rows of earlier versions that cannot be read.
TEST_F(DemandForecastTest, DecodesRowsWithoutAForecast) {
  auto Row =
      controlrows::decodeDemand(R"({"missing":2,"coming":["m"],"home":7})");
  ASSERT_TRUE(Row);
  EXPECT_EQ(Row->Home_, 7U);
  EXPECT_EQ(Row->Forecast_, "");
  Row->Forecast_ = "pattern";
  Row->Returned_ = {"n"};
  EXPECT_EQ(controlrows::decodeDemand(controlrows::encode(*Row)), Row);
}

} // namespace
} // namespace dragonflylock
