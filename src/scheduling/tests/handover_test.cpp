#include "scheduling/controlrows.h"
#include "scheduling/jobrows.h"
#include "scheduling/schedulernode.h"
#include "scheduling/tests/mocks/poolownertest.h"

#include <algorithm>
#include <set>

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;

/// A pool with two workers whose owner stops in order, and the node that takes
/// the pool over. A job of 60 tasks needs more than the room of both workers.
class HandoverTest : public PoolOwnerTest {
protected:
  static constexpr std::uint32_t Tasks = 60;

  HandoverTest() { storeJob(jobOf(Tasks)); }

  std::unique_ptr<SchedulerNode> startNode(const std::string &Name) {
    return joinNode(Name, Name + "/" + std::to_string(++Processes_),
                    {worker("w1"), worker("w2")});
  }

  /// Makes w1 silent and frees w2, then starts the next owner.
  std::unique_ptr<SchedulerNode> takeOverWithoutW1(const std::string &Name) {
    Silent_.insert("w1");
    endRunsOn("w2");
    Started_.clear();
    return startNode(Name);
  }

  /// Checks that tasks were started, and none of \p Excluded.
  void expectStartsWithout(const std::set<TaskName> &Excluded) {
    EXPECT_FALSE(Started_.empty());
    for (const TaskName &Task : Started_)
      EXPECT_FALSE(Excluded.contains(Task)) << Task.text();
  }

  /// Runs the node for \p Length while the workers answer, apart from those in
  /// Silent_.
  void runFor(SchedulerNode &Node, milliseconds Length) {
    constexpr milliseconds Step{20};
    for (milliseconds Passed{0}; Passed < Length; Passed += Step) {
      Clock_.advance(Step);
      Node.tick();
      std::deque<RecordingWorkers::Start> Starts;
      Starts.swap(Workers_.Starts_);
      for (RecordingWorkers::Start &Each : Starts)
        answerStart(Each);
      std::deque<RecordingWorkers::Hold> Holds;
      Holds.swap(Workers_.Holds_);
      for (RecordingWorkers::Hold &Each : Holds)
        answerHold(Each);
    }
  }

  void answerStart(RecordingWorkers::Start &Order) {
    Started_.push_back(Order.Order_.Task_);
    if (Silent_.contains(Order.Target_.Id_)) {
      Order.Done_({OrderOutcome::Unknown, WorkerClock(0)});
      return;
    }
    Running_[Order.Target_.Id_].push_back(
        {Order.Order_.Task_, Order.Order_.Run_, "", 100, 0});
    Order.Done_({OrderOutcome::Accepted, WorkerClock(1000)});
  }

  void answerHold(RecordingWorkers::Hold &Order) {
    if (Silent_.contains(Order.Target_.Id_))
      Order.Done_(HoldAnswer());
    else
      Order.Done_(acceptedAnswer(Running_[Order.Target_.Id_],
                                 Ended_[Order.Target_.Id_]));
  }

  std::set<TaskName> runningOn(const std::string &Worker) {
    std::set<TaskName> Names;
    for (const ListedRun &Run : Running_[Worker])
      Names.insert(Run.Task_);
    return Names;
  }

  /// Ends everything that runs on the worker as done.
  void endRunsOn(const std::string &Worker) {
    for (const ListedRun &Run : Running_[Worker])
      Ended_[Worker].push_back(
          {Ended_[Worker].size() + 1, Run.Task_, Run.Run_, EndKind::Done, ""});
    Running_[Worker].clear();
  }

  int Processes_ = 0;
  std::set<std::string> Silent_;
  std::map<std::string, std::vector<ListedRun>> Running_;
  std::map<std::string, std::vector<ListedEnd>> Ended_;
  std::vector<TaskName> Started_;
};

TEST_F(HandoverTest, NextOwnerStartsWhatCannotRunOnASilentWorker) {
  auto First = startNode("node-1");
  runFor(*First, milliseconds(3000));
  const std::set<TaskName> OnSilent = runningOn("w1");
  ASSERT_FALSE(OnSilent.empty());
  ASSERT_FALSE(Running_["w2"].empty());
  First->release();
  First.reset();

  auto Second = takeOverWithoutW1("node-2");
  runFor(*Second, milliseconds(2500));
  expectStartsWithout(OnSilent);
  // The tasks of the silent worker start elsewhere once its leases have ended.
  endRunsOn("w2");
  runFor(*Second, Settings_.MaxWorkerLease_ * 2);
  EXPECT_TRUE(
      std::any_of(Started_.begin(), Started_.end(), [&](const TaskName &Task) {
        return OnSilent.contains(Task);
      }));
}

TEST_F(HandoverTest, SilentWorkerMayStillRunTasksAfterASecondHandover) {
  auto First = startNode("node-1");
  runFor(*First, milliseconds(3000));
  const std::set<TaskName> OnSilent = runningOn("w1");
  First->release();
  First.reset();
  Silent_.insert("w1");
  auto Second = startNode("node-2");
  runFor(*Second, milliseconds(1200));
  Second->release();
  Second.reset();
  endRunsOn("w2");
  Started_.clear();
  auto Third = startNode("node-3");
  runFor(*Third, milliseconds(1500));
  expectStartsWithout(OnSilent);
}

TEST_F(HandoverTest, TaskWhoseEndIsNotStoredIsNotStartedAgain) {
  auto First = startNode("node-1");
  runFor(*First, milliseconds(3000));
  const std::set<TaskName> OnSilent = runningOn("w1");
  // The first owner learns of the ends but can't store them.
  Store_.DelaysResponses_ = true;
  const auto Rows = Store_.Rows_;
  endRunsOn("w1");
  runFor(*First, milliseconds(60));
  const StoreKey Progress =
      jobrows::keyOf("queue", JobId, JobRowKind::Progress);
  Store_.Rows_.erase(Progress);
  if (auto Found = Rows.find(Progress); Found != Rows.end())
    Store_.Rows_[Progress] = Found->second;
  Store_.DelaysResponses_ = false;
  std::set<TaskName> MayRunOnSilent = runningOn("w1");
  MayRunOnSilent.insert(OnSilent.begin(), OnSilent.end());
  First->release();
  First.reset();
  auto Second = takeOverWithoutW1("node-2");
  runFor(*Second, milliseconds(2500));
  expectStartsWithout(MayRunOnSilent);
}

TEST_F(HandoverTest, JobsSubmittedAfterTheLossOfAnOwnerStartAtOnce) {
  auto First = startNode("node-1");
  runFor(*First, milliseconds(3000));
  ASSERT_FALSE(Running_["w1"].empty());
  First.reset();
  const std::string Later = "00000000000000bb";
  storeJob(jobOf(2), Later);
  // The store shows that an earlier process of the same node has ended.
  auto Second = takeOverWithoutW1("node-1");
  runFor(*Second, milliseconds(2500));
  // Any other task may be running on the silent worker.
  ASSERT_EQ(Started_.size(), 2U);
  EXPECT_EQ(Started_[0].Job_, Later);
  EXPECT_EQ(Started_[1].Job_, Later);
  runFor(*Second, Settings_.MaxWorkerLease_ * 2);
  EXPECT_GT(Started_.size(), 2U);
}

TEST_F(HandoverTest, JobsWaitIfTheLostOwnerStoredNoWatermark) {
  auto First = startNode("node-1");
  runFor(*First, milliseconds(3000));
  First.reset();
  // As if the lost owner were of a version without it, and one before had it.
  const StoreKey Row = controlrows::watermark("pool");
  Store_.Rows_[Row] = {Row, controlrows::encode(WatermarkRow{1, 1}),
                       ++Store_.Version_, false};
  storeJob(jobOf(2), "00000000000000bb");
  auto Second = takeOverWithoutW1("node-1");
  runFor(*Second, milliseconds(2500));
  EXPECT_TRUE(Started_.empty());
}

TEST_F(PoolOwnerTest, StartsNoJobBeforeItsWatermarkIsStored) {
  storeJob(jobOf(1));
  buildOwner(0);
  Owner_->onWorkers({worker("w1")});
  // The first write is that of the roster, the second that of the watermark.
  Store_.DelaysResponses_ = true;
  for (int Round = 0; Round < 5; ++Round)
    Owner_->tick();
  ASSERT_EQ(Store_.DelayedResponses_.size(), 2U);
  Store_.DelayedResponses_[0]();
  tickTwice();
  answerHold(acceptedAnswer({}));
  tickTwice();
  EXPECT_TRUE(Workers_.Starts_.empty());
  Store_.DelayedResponses_[1]();
  tickTwice();
  EXPECT_EQ(Workers_.Starts_.size(), 1U);
}

/// The row that an owner leaves behind when it releases the pool.
class ReleasedRosterTest : public PoolOwnerTest {
protected:
  RosterRow released() {
    // Starts without an answer have a row of their own.
    for (const StorePut &Row : Owner_->rowsForRelease()) {
      if (Row.Name_ != controlrows::roster("pool"))
        continue;
      EXPECT_LE(Row.Value_.size(), 65536U);
      return controlrows::decodeRoster(Row.Value_).value_or(RosterRow());
    }
    return {};
  }
};

TEST_F(ReleasedRosterTest, IncludesStartsWithoutAnAnswer) {
  storeJob(jobOf(1));
  takeOwnershipOfFleet(1);
  tickTwice();
  ASSERT_EQ(Workers_.Starts_.size(), 1U);
  RosterRow Roster = released();
  EXPECT_EQ(Roster.Silent_[worker("w0").lifetime()],
            std::set<std::string>{std::string(JobId) + ".0.0.0"});
}

TEST_F(ReleasedRosterTest, OmitsWorkersThatHaveNotAnsweredTheOwner) {
  storeRoster({worker("w1"), worker("w2")});
  storeJob(jobOf(1));
  takeOwnership(1, {worker("w1"), worker("w2")});
  while (!Workers_.Holds_.empty()) {
    RecordingWorkers::Hold Each = Workers_.takeHold();
    Each.Done_(Each.Target_.Id_ == "w2" ? acceptedAnswer({}) : HoldAnswer());
  }
  RosterRow Roster = released();
  EXPECT_EQ(Roster.Workers_.size(), 2U);
  EXPECT_FALSE(Roster.Silent_.contains(worker("w1").lifetime()));
  EXPECT_TRUE(Roster.Silent_.contains(worker("w2").lifetime()));
}

TEST_F(ReleasedRosterTest, OmitsWorkersWithRunsThatAreNotWanted) {
  storeJob(jobOf(1));
  takeOwnership(0, {worker("w1"), worker("w2")});
  ListedRun Unknown;
  Unknown.Task_ = *TaskName::parse("00000000000000bb.0.0.0");
  Unknown.Run_ = 3;
  while (!Workers_.Holds_.empty()) {
    RecordingWorkers::Hold Each = Workers_.takeHold();
    Each.Done_(Each.Target_.Id_ == "w1" ? acceptedAnswer({Unknown})
                                        : acceptedAnswer({}));
  }
  RosterRow Roster = released();
  EXPECT_FALSE(Roster.Silent_.contains(worker("w1").lifetime()));
  EXPECT_TRUE(Roster.Silent_.contains(worker("w2").lifetime()));
}

TEST_F(ReleasedRosterTest, OfAPoolOf150BusyWorkersFitsIntoOneRow) {
  constexpr std::size_t Workers = 150;
  constexpr std::uint32_t TasksPerWorker = 16;
  constexpr std::uint32_t TasksPerJob = 8;
  for (std::uint64_t Number = 0;
       Number < Workers * TasksPerWorker / TasksPerJob; ++Number)
    storeJob(jobOf(TasksPerJob), std::to_string(1000000000000000 + Number));
  takeOwnershipOfFleet(Workers);
  for (int Round = 0; Round < 400; ++Round) {
    Owner_->tick();
    while (!Workers_.Starts_.empty())
      Workers_.takeStart().Done_({OrderOutcome::Accepted, WorkerClock(1000)});
    Clock_.advance(milliseconds(10));
  }
  RosterRow Roster = released();
  EXPECT_EQ(Roster.Workers_.size(), Workers);
  ASSERT_EQ(Roster.Silent_.size(), Workers);
  std::size_t Tasks = 0;
  for (const auto &[Worker, Running] : Roster.Silent_)
    Tasks += Running.size();
  EXPECT_EQ(Tasks, Workers * TasksPerWorker);
}

TEST(RosterRowTest, DeclaredTasksAreDecodedAsTheyWereEncoded) {
  RosterRow Row;
  Row.Silent_["w1/5"] = {"00000000000000aa.0.1.17", "00000000000000bb.3.0.2"};
  Row.Silent_["w2/5"] = {"00000000000000bb.3.0.1"};
  Row.Silent_["w3/5"] = {};
  auto Read = controlrows::decodeRoster(controlrows::encode(Row));
  ASSERT_TRUE(Read);
  EXPECT_EQ(Read->Silent_, Row.Silent_);
}

TEST(RosterRowTest, ReadsRowsOfEarlierVersions) {
  auto Read = controlrows::decodeRoster(
      R"({"workers":[],"queues":[],"silent":{"w1/5":["aa.0.0.0"]}})");
  ASSERT_TRUE(Read);
  EXPECT_EQ(Read->Silent_["w1/5"], std::set<std::string>{"aa.0.0.0"});
}

TEST(RosterRowTest, RejectsTasksThatItCannotDecode) {
  EXPECT_FALSE(controlrows::decodeRoster(
      R"({"workers":[],"queues":[],"silent":{},
          "silent-tasks":{"jobs":["aa"],"workers":{"w1/5":"0.0.0.0 x"}}})"));
  EXPECT_FALSE(controlrows::decodeRoster(
      R"({"workers":[],"queues":[],"silent":{},
          "silent-tasks":{"jobs":["aa"],"workers":{"w1/5":"7.0.0.0"}}})"));
}

} // namespace
} // namespace dragonflylock
