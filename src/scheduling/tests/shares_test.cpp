#include "scheduling/tests/mocks/sharedpooltest.h"

#include <random>

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;

/// Customers that compete for a pool of four workers with 16 cores in total.
class SharesTest : public SharedPoolTest {
protected:
  static constexpr std::int64_t PoolCores = 16;
  static constexpr std::uint32_t Backlog = 1000;

  SharesTest() {
    for (const char *Id : {"w1", "w2", "w3", "w4"})
      addWorker(Id, PoolCores / 4 * Core);
  }

  /// Submits \p Count jobs of one task with one core.
  void submitTasks(const std::string &Customer, std::uint32_t Count,
                   milliseconds Estimate) {
    for (std::uint32_t Job = 0; Job < Count; ++Job)
      submit(Customer, stepOf(1, Estimate));
  }

  /// Plays customers that each use three cores of the pool in the mean.
  /// \param Hot customer that sends \p Factor times that; empty for none.
  void playUsualLoad(const std::vector<std::string> &Customers,
                     const std::string &Hot, std::uint32_t Factor,
                     milliseconds Length) {
    int Round = 0;
    play(Length, [&] {
      if (Round++ % 10 != 0)
        return;
      for (const std::string &Customer : Customers)
        submitTasks(Customer, Customer == Hot ? Factor : 1, milliseconds(300));
    });
  }

  std::uint64_t countLines(const std::string &Part) const {
    return static_cast<std::uint64_t>(std::count_if(
        Logger_.Lines_.begin(), Logger_.Lines_.end(),
        [&](const std::string &Line) {
          return Line.find("share.exceeded") != std::string::npos &&
                 Line.find(Part) != std::string::npos;
        }));
  }
};

// Guards against a customer whose burst of jobs lengthens the waits of the
// others, for as long as it lasts: after 3 s, most of its jobs have waited for
// longer than any job of the others.
TEST_F(SharesTest, SevenTimesTheLoadOfOneDoesNotDelayTheOthers) {
  playUsualLoad({"a", "b", "c", "hot"}, "hot", 7, milliseconds(20000));
  for (const char *Customer : {"a", "b", "c"})
    EXPECT_LE(meanWait(Customer), milliseconds(40)) << Customer;
  EXPECT_GE(meanWait("hot"), milliseconds(2000));
  // The usual load of the others leaves the hot one seven cores.
  EXPECT_GE(Starts_["hot"], 400U);
}

// The load of the test above without customers. Guards against a load that does
// not fill the pool, with which that test would prove nothing.
TEST_F(SharesTest, TheSameLoadWithoutCustomersDelaysAll) {
  playUsualLoad({"", "", "", ""}, "", 1, milliseconds(5000));
  EXPECT_LE(meanWait(""), milliseconds(40));
  int Round = 0;
  play(milliseconds(15000), [&] {
    if (Round++ % 10 == 0)
      submitTasks("", 10, milliseconds(300));
  });
  EXPECT_GE(meanWait(""), milliseconds(1000));
}

// Guards against shares that do not follow the weights, or that depend on the
// order or the size of the backlogs.
TEST_F(SharesTest, SaturatedCustomersGetCapacityByWeight) {
  addCustomer("small", 1);
  addCustomer("large", 3);
  submitTasks("small", 2000, milliseconds(190));
  play(milliseconds(100));
  submitTasks("large", 3000, milliseconds(210));
  play(milliseconds(10000));
  Starts_.clear();
  play(milliseconds(10000));
  const double Small = 190.0 * static_cast<double>(Starts_["small"]);
  const double Large = 210.0 * static_cast<double>(Starts_["large"]);
  // The pool has 160,000 core-milliseconds in this time.
  EXPECT_GE(Small + Large, 150000);
  EXPECT_NEAR(Large / (Small + Large), 0.75, 0.03);
}

// Guards against two customers that both use more than their weight's share,
// because a third leaves its own, and then get capacity by age only.
TEST_F(SharesTest, WhatOneLeavesGoesToTheOthersByWeight) {
  addCustomer("light", 4);
  addCustomer("large", 3);
  addCustomer("small", 1);
  submitTasks("small", 3000, milliseconds(190));
  submitTasks("large", 3000, milliseconds(230));
  int Round = 0;
  auto Arrivals = [&] {
    if (Round++ % 10 == 0)
      submitTasks("light", 1, milliseconds(200));
  };
  play(milliseconds(5000), Arrivals);
  Starts_.clear();
  play(milliseconds(10000), Arrivals);
  EXPECT_LE(meanWait("light"), milliseconds(40));
  const double Small = 190.0 * static_cast<double>(Starts_["small"]);
  const double Large = 230.0 * static_cast<double>(Starts_["large"]);
  EXPECT_NEAR(Large / (Small + Large), 0.75, 0.03);
}

// Guards against a job with many tasks that takes all that is free at once,
// though another customer waits as well.
TEST_F(SharesTest, AJobOfManyTasksLeavesTheOthersTheirShare) {
  addCustomer("large", 3);
  addCustomer("small", 1);
  submit("small", stepOf(100, milliseconds(10000)));
  submit("large", stepOf(100, milliseconds(10000)));
  tick();
  EXPECT_EQ(runningCpu("large"), 12 * Core);
  EXPECT_EQ(runningCpu("small"), 4 * Core);
}

// Guards against capacity that is kept free for customers without work.
TEST_F(SharesTest, UnusedCapacityIsAvailableAtOnce) {
  addCustomer("busy", 1);
  addCustomer("idle", 100);
  submitTasks("idle", 100, milliseconds(100));
  submitTasks("busy", 100, milliseconds(1000));
  play(milliseconds(800));
  EXPECT_EQ(runningCpu("idle"), 0);
  EXPECT_EQ(runningCpu("busy"), PoolCores * Core);
}

// Guards against a job of a public queue that goes after those of customers.
TEST_F(SharesTest, JobsOfPublicQueuesCountAsWithinTheirShare) {
  submitTasks("a", 200, milliseconds(200));
  play(milliseconds(500));
  const std::string Public = submit("", stepOf(1, milliseconds(200)));
  submitTasks("b", 200, milliseconds(200));
  play(milliseconds(1500));
  EXPECT_TRUE(hasStarted(Public));
}

// Guards against shares that put a job of a higher class behind one of a lower
// class.
TEST_F(SharesTest, PriorityClassPrecedesShares) {
  addQueue("urgent", 0);
  submitTasks("hot", PoolCores, milliseconds(60000));
  play(milliseconds(100));
  // Both customers are full; one core becomes free after a second.
  const std::string Other = submit("other", stepOf(1, milliseconds(60000)));
  const std::string Urgent =
      submit("hot", stepOf(1, milliseconds(60000)), "urgent");
  play(milliseconds(1000));
  addWorker("w5", Core);
  tick();
  EXPECT_TRUE(hasStarted(Urgent));
  EXPECT_FALSE(hasStarted(Other));
}

// Guards against small jobs of others that keep a gang from starting as long as
// its customer is above its share.
TEST_F(SharesTest, AGangOfACustomerAboveItsShareStartsInBoundedTime) {
  submit("gang", stepOf(10, milliseconds(60000)));
  submitTasks("a", 20, milliseconds(250));
  submitTasks("b", 20, milliseconds(240));
  play(milliseconds(100));
  const std::string Gang = submit("gang", gangOf(4, milliseconds(500)));
  const TimePoint Submitted = Clock_.now();
  int Round = 0;
  play(milliseconds(8000), [&] {
    if (Round++ % 5 != 0)
      return;
    submitTasks("a", 1, milliseconds(250));
    submitTasks("b", 1, milliseconds(250));
  });
  ASSERT_TRUE(hasStarted(Gang));
  EXPECT_GE(StartedJobs_[Gang] - Submitted, milliseconds(3000));
  EXPECT_LE(StartedJobs_[Gang] - Submitted, milliseconds(5000));
}

// Guards against a gang that has its turn but for which no resources are
// reserved, because it has waited for longer than a reservation usually lasts.
TEST_F(SharesTest, ResourcesAreReservedForAGangInItsTurn) {
  submit("gang", stepOf(10, milliseconds(60000)));
  for (milliseconds Estimate{7000}; Estimate < milliseconds(7600);
       Estimate += milliseconds(100))
    submitTasks("a", 1, Estimate);
  play(milliseconds(100));
  const std::string Gang = submit("gang", gangOf(4, milliseconds(500)));
  play(milliseconds(6200));
  play(milliseconds(1800), [this] { submitTasks("b", 1, milliseconds(2000)); });
  EXPECT_TRUE(hasStarted(Gang));
}

// Guards against a customer above its share that starts nothing for as long as
// the others have work.
TEST_F(SharesTest, ACustomerAboveItsShareHasATurnFromTimeToTime) {
  submit("greedy", stepOf(10, milliseconds(60000)));
  play(milliseconds(100));
  submitTasks("greedy", 20, milliseconds(250));
  const std::uint64_t Before = Starts_["greedy"];
  submitTasks("a", 2000, milliseconds(250));
  submitTasks("b", 2000, milliseconds(250));
  play(milliseconds(20000));
  EXPECT_GE(Starts_["greedy"] - Before, 4U);
  EXPECT_LE(Starts_["greedy"] - Before, 8U);
}

// Guards against a turn that is lost to a job which can't start, so that its
// customer's other jobs have none.
TEST_F(SharesTest, AJobThatFitsNowhereDoesNotKeepTheTurnOfItsCustomer) {
  submit("greedy", stepOf(10, milliseconds(60000)));
  play(milliseconds(100));
  submit("greedy", stepOf(1, milliseconds(250), 100 * Core));
  play(milliseconds(100));
  const std::string Small = submit("greedy", stepOf(1, milliseconds(250)));
  submitTasks("a", 2000, milliseconds(250));
  submitTasks("b", 2000, milliseconds(250));
  play(milliseconds(15000));
  EXPECT_TRUE(hasStarted(Small));
}

// Guards against rounds whose cost grows with the backlog of a customer that is
// above its share, when the order of the customers changes as well.
TEST_F(SharesTest, ABacklogAboveTheShareCostsARunEndFewVisits) {
  submitTasks("hot", Backlog, milliseconds(1000));
  submitTasks("other", 40, milliseconds(990));
  play(milliseconds(100));
  const std::uint64_t Visits = Pool_.Index_.visitCount();
  const std::uint64_t Starts = Starts_["hot"] + Starts_["other"];
  play(milliseconds(5000));
  const std::uint64_t NewStarts = Starts_["hot"] + Starts_["other"] - Starts;
  EXPECT_GE(NewStarts, 70U);
  EXPECT_GE(Starts_["other"], 20U);
  // Beside the starts: the turn of each customer in each round.
  EXPECT_LE(Pool_.Index_.visitCount() - Visits, NewStarts + 260U);
}

// Guards against log lines for each task that a customer starts, and against a
// customer whose excess is not logged.
TEST_F(SharesTest, ExceededSharesAreLoggedOnceASecondAtMost) {
  playUsualLoad({"a", "b", "c", "hot"}, "hot", 7, milliseconds(10000));
  EXPECT_GE(countLines("customer=hot state=over"), 1U);
  EXPECT_LE(countLines("customer=hot"), 11U);
  EXPECT_EQ(countLines("customer=a state=over"), 0U);
  play(milliseconds(60000));
  EXPECT_EQ(countLines("customer=hot state=over"),
            countLines("customer=hot state=within"));
  const std::uint64_t Lines = countLines("");
  submitTasks("alone", 1000, milliseconds(100));
  play(milliseconds(3000));
  EXPECT_EQ(countLines(""), Lines);
}

/// The order by objectives, where jobs are refused under pressure.
class LatenessTest : public SharesTest {
protected:
  LatenessTest() {
    Settings_.RefusesUnderPressure_ = true;
    addQueue("patient", 1, milliseconds(60000));
    addQueue("hasty", 1, milliseconds(500));
  }
};

// Guards against a job that is worth nothing any more and goes before one that
// is, because it is older.
TEST_F(LatenessTest, WorthlessJobsGoLast) {
  submitTasks("", PoolCores, milliseconds(9000));
  tick();
  const std::string Worthless =
      submit("", stepOf(1, milliseconds(100)), "hasty");
  play(milliseconds(1200));
  const std::string Late = submit("", stepOf(1, milliseconds(100)), "hasty");
  play(milliseconds(1200));
  const std::string InTime =
      submit("", stepOf(1, milliseconds(100)), "patient");
  addWorker("w5", Core);
  play(milliseconds(500));
  EXPECT_LT(StartedJobs_[InTime], StartedJobs_[Late]);
  EXPECT_LT(StartedJobs_[Late], StartedJobs_[Worthless]);
}

// Guards against a job in the last group that never ends because there is
// always other work.
TEST_F(LatenessTest, AWorthlessJobEnds) {
  submitTasks("", PoolCores, milliseconds(2000));
  tick();
  const std::string Worthless =
      submit("", stepOf(1, milliseconds(100)), "hasty");
  play(milliseconds(12000),
       [this] { submit("", stepOf(1, milliseconds(200)), "patient"); });
  EXPECT_TRUE(EndedJobs_.contains(Worthless));
}

// Guards against an order of three groups where the setting is not in force.
TEST_F(SharesTest, WithoutPressureAllLateJobsAreOfOneGroup) {
  addQueue("hasty", 1, milliseconds(500));
  submitTasks("", PoolCores, milliseconds(10000));
  tick();
  const std::string Older = submit("", stepOf(1, milliseconds(100)), "hasty");
  play(milliseconds(3000));
  const std::string Newer = submit("", stepOf(1, milliseconds(100)), "hasty");
  play(milliseconds(800));
  addWorker("w5", Core);
  tick();
  EXPECT_TRUE(hasStarted(Older));
  EXPECT_FALSE(hasStarted(Newer));
}

/// Starts jobs of several customers at random during a scan, so that their
/// order changes.
class SharedScanTest : public SharesTest,
                       public testing::WithParamInterface<std::uint32_t> {};

// Guards against a job that a scan returns twice, or not at all, because the
// order of the customers changes while it goes on.
TEST_P(SharedScanTest, ReturnsEachJobOnce) {
  std::mt19937 Random(GetParam());
  auto Below = [&](std::uint32_t Limit) {
    return std::uniform_int_distribution<std::uint32_t>(0, Limit - 1)(Random);
  };
  Settings_.RefusesUnderPressure_ = Below(2) == 0;
  addQueue("urgent", 0);
  const std::vector<std::string> Customers = {"", "a", "b", "c"};
  for (int Round = 0; Round < 50; ++Round) {
    for (std::uint32_t Count = Below(20); Count > 0; --Count) {
      StepSpec Step =
          stepOf(1 + Below(3), milliseconds(100), Core * (1 + Below(3)));
      Step.IsGang_ = Below(6) == 0;
      submit(Customers[Below(4)], Step, Below(4) == 0 ? "urgent" : "queue");
    }
    Clock_.advance(milliseconds(Below(500)));
    std::set<std::string> Expected;
    for (const auto &[Id, Job] : Pool_.Jobs_)
      if (Job->countStartableTasks(Clock_.now(), Pool_.wallTime()) > 0)
        Expected.insert(Id);
    std::multiset<std::string> Returned;
    Pool_.Index_.beginScan([](const WorkerRequirements &) { return true; });
    while (ActiveJob *Job = Pool_.Index_.next()) {
      Returned.insert(Job->id());
      if (Below(3) != 0)
        continue;
      const TaskName Task =
          Job->startableTasks(Clock_.now(), Pool_.wallTime()).front();
      Job->mutableRun(Task).Phase_ = TaskPhase::Starting;
      Job->mutableRun(Task).Worker_ = "w1/0";
      Pool_.Index_.onStarted(*Job, Job->step(Task));
    }
    ASSERT_EQ(Returned,
              std::multiset<std::string>(Expected.begin(), Expected.end()))
        << "round " << Round;
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, SharedScanTest, testing::Range(1U, 11U));

} // namespace
} // namespace dragonflylock
