#include "scheduling/jobprogress.h"
#include "scheduling/tests/mocks/ownertest.h"

#include <algorithm>
#include <set>
#include <utility>

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;

class GangsAndAdviceTest : public OwnerTest {
protected:
  GangsAndAdviceTest() {
    Queue_.MaxFailedRuns_ = 2;
    Step_.TaskCount_ = 2;
    Step_.PerTask_ = {8000, 1000, 0};
    Step_.Estimate_ = milliseconds(500);
    Step_.IsGang_ = true;
  }

  static WorkerEntry worker(const std::string &Id, const std::string &Rack) {
    WorkerEntry Entry = workerOf(Id, {10000, 32000, 0});
    Entry.Rack_ = Rack;
    return Entry;
  }

  static JobSpec jobOf(const StepSpec &Step) {
    JobSpec Spec;
    Spec.Steps_ = {Step};
    return Spec;
  }

  void takeOwnership(const std::vector<WorkerEntry> &Workers) {
    storeJob(jobOf(Step_));
    OwnerTest::takeOwnership(0, Workers);
    answerHolds();
  }

  /// Answers all hold orders. \p Ended has the run ends to list, by worker id.
  void answerHolds(const std::map<std::string, ListedEnd> &Ended = {}) {
    std::deque<RecordingWorkers::Hold> Holds;
    Holds.swap(Workers_.Holds_);
    for (RecordingWorkers::Hold &Each : Holds) {
      auto Found = Ended.find(Each.Target_.Id_);
      Each.Done_(Found == Ended.end() ? acceptedAnswer({})
                                      : acceptedAnswer({}, {Found->second}));
    }
    tickTwice();
  }

  JobPhase storedState() {
    JobProgress Progress;
    StoreKey Row = jobrows::keyOf("queue", JobId, JobRowKind::Progress);
    EXPECT_TRUE(Progress.decode(Store_.Rows_[Row].Value_));
    return Progress.state();
  }

  std::set<std::string> startedOn() const {
    std::set<std::string> Ids;
    for (const RecordingWorkers::Start &Each : Workers_.Starts_)
      Ids.insert(Each.Target_.Id_);
    return Ids;
  }

  void answerStart(OrderOutcome Outcome) {
    Workers_.takeStart().Done_({Outcome, WorkerClock(1000)});
  }

  void advanceTime(milliseconds Length) {
    Clock_.advance(Length);
    Owner_->tick();
  }

  StepSpec Step_;
};

TEST_F(GangsAndAdviceTest, AGangDoesNotStartPartially) {
  takeOwnership({worker("w1", "r1-1")});
  EXPECT_TRUE(Workers_.Starts_.empty());
}

TEST_F(GangsAndAdviceTest, AGangThatDoesNotFitStopsHoldingBackOtherJobs) {
  // A task that runs for longer than declared occupies a worker that the gang
  // needs, so that the gang never fits. Capacity must not be kept for the gang
  // indefinitely: the less urgent job must start after 5 to 6.5 s.
  constexpr const char *EndlessJob = "0000000000000001";
  constexpr const char *SmallJob = "00000000000000bb";
  StepSpec Endless = Step_;
  Endless.TaskCount_ = 1;
  Endless.IsGang_ = false;
  storeJob(jobOf(Endless), EndlessJob);
  // Less urgent, and due while capacity is kept for the gang.
  StepSpec Small;
  Small.PerTask_ = {1000, 1000, 0};
  JobSpec Due = jobOf(Small);
  Due.OccurrenceCount_ = 1;
  Due.FirstDue_ = milliseconds(millisecondsSinceEpoch(Clock_.wallNow()) + 3000);
  storeJob(Due, SmallJob, milliseconds(60000));
  takeOwnership({worker("w1", "r1-1"), worker("w2", "r1-1")});
  ASSERT_EQ(Workers_.Starts_.size(), 1U);
  RecordingWorkers::Start Running = Workers_.takeStart();
  ASSERT_EQ(Running.Order_.Task_.Job_, EndlessJob);
  Running.Done_({OrderOutcome::Accepted, WorkerClock(1000)});
  ListedRun Run;
  Run.Task_ = Running.Order_.Task_;
  Run.Run_ = Running.Order_.Run_;
  milliseconds Passed{0};
  while (Workers_.Starts_.empty() && Passed < milliseconds(20000)) {
    Passed += milliseconds(100);
    advanceTime(milliseconds(100));
    std::deque<RecordingWorkers::Hold> Holds;
    Holds.swap(Workers_.Holds_);
    for (RecordingWorkers::Hold &Each : Holds)
      Each.Done_(Each.Target_.Id_ == Running.Target_.Id_ ? acceptedAnswer({Run})
                                                         : acceptedAnswer({}));
  }
  ASSERT_EQ(Workers_.Starts_.size(), 1U);
  EXPECT_EQ(Workers_.Starts_[0].Order_.Task_.Job_, SmallJob);
  EXPECT_GT(Passed, milliseconds(5000));
  EXPECT_LE(Passed, milliseconds(6500));
}

TEST_F(GangsAndAdviceTest, MembersShareTheRunNumber) {
  takeOwnership({worker("w1", "r1-1"), worker("w2", "r1-1")});
  ASSERT_EQ(Workers_.Starts_.size(), 2U);
  EXPECT_EQ(Workers_.Starts_[0].Order_.Run_, Workers_.Starts_[1].Order_.Run_);
}

TEST_F(GangsAndAdviceTest, ARefusedMemberJoinsOnAnotherWorker) {
  takeOwnership(
      {worker("w1", "r1-1"), worker("w2", "r1-1"), worker("w3", "r1-1")});
  ASSERT_EQ(Workers_.Starts_.size(), 2U);
  RunNumber Run = Workers_.Starts_[0].Order_.Run_;
  answerStart(OrderOutcome::Accepted);
  answerStart(OrderOutcome::NoRoom);
  advanceTime(milliseconds(100));
  ASSERT_EQ(Workers_.Starts_.size(), 1U);
  EXPECT_EQ(Workers_.Starts_[0].Order_.Run_, Run);
}

// Guards against a gang that waits for a member whose run number the workers
// refuse as stale.
TEST_F(GangsAndAdviceTest, AMemberRefusedAsStaleDoesNotKeepItsRunNumber) {
  takeOwnership(
      {worker("w1", "r1-1"), worker("w2", "r1-1"), worker("w3", "r1-1")});
  ASSERT_EQ(Workers_.Starts_.size(), 2U);
  answerStart(OrderOutcome::Accepted);
  answerStart(OrderOutcome::StaleRun);
  advanceTime(milliseconds(100));
  Owner_->tick();
  EXPECT_TRUE(Workers_.Starts_.empty());
  EXPECT_FALSE(Workers_.Stops_.empty());
}

TEST_F(GangsAndAdviceTest, MembersAreStoppedWhenOneCannotJoin) {
  takeOwnership({worker("w1", "r1-1"), worker("w2", "r1-1")});
  ASSERT_EQ(Workers_.Starts_.size(), 2U);
  TaskName Running = Workers_.Starts_[0].Order_.Task_;
  answerStart(OrderOutcome::Accepted);
  answerStart(OrderOutcome::Unhealthy);
  Owner_->onWorkers({worker("w1", "r1-1")});
  for (int Round = 0; Round < 20; ++Round)
    advanceTime(milliseconds(100));
  ASSERT_FALSE(Workers_.Stops_.empty());
  EXPECT_EQ(Workers_.Stops_[0].Task_, Running);
  // The stop comes before the running member would give up its wait for the
  // missing one.
  EXPECT_TRUE(Workers_.Starts_.empty());
}

TEST_F(GangsAndAdviceTest, OneMembersEndCompletesTheGang) {
  takeOwnership({worker("w1", "r1-1"), worker("w2", "r1-1")});
  ASSERT_EQ(Workers_.Starts_.size(), 2U);
  ListedEnd End{1, Workers_.Starts_[0].Order_.Task_,
                Workers_.Starts_[0].Order_.Run_, EndKind::Done, ""};
  std::string Id = Workers_.Starts_[0].Target_.Id_;
  answerStart(OrderOutcome::Accepted);
  answerStart(OrderOutcome::Accepted);
  advanceTime(milliseconds(10));
  answerHolds({{Id, End}});
  EXPECT_EQ(Owner_->stateOf(JobId), JobPhase::Completed);
}

TEST_F(GangsAndAdviceTest, AnyMembersFailureFailsTheGang) {
  takeOwnership({worker("w1", "r1-1"), worker("w2", "r1-1"),
                 worker("w3", "r1-1"), worker("w4", "r1-1")});
  for (std::uint64_t Attempt = 0; Attempt < 2; ++Attempt) {
    ASSERT_EQ(Workers_.Starts_.size(), 2U);
    auto Failing = Workers_.Starts_[Attempt];
    auto Other = Workers_.Starts_[1 - Attempt];
    answerStart(OrderOutcome::Accepted);
    answerStart(OrderOutcome::Accepted);
    advanceTime(milliseconds(10));
    std::uint64_t Sequence = Attempt + 1;
    answerHolds({{Failing.Target_.Id_,
                  {Sequence, Failing.Order_.Task_, Failing.Order_.Run_,
                   EndKind::Failed, ""}},
                 {Other.Target_.Id_,
                  {Sequence, Other.Order_.Task_, Other.Order_.Run_,
                   EndKind::GangBroken, ""}}});
  }
  advanceTime(
      milliseconds(100)); // Run ends are batched before they are stored.
  EXPECT_EQ(storedState(), JobPhase::Failed);
}

TEST_F(GangsAndAdviceTest, TasksThatWantOneRackShareIt) {
  Step_.PrefersSameRack_ = true;
  takeOwnership(
      {worker("w1", "r1-1"), worker("w2", "r1-2"), worker("w3", "r1-2")});
  EXPECT_EQ(startedOn(), (std::set<std::string>{"w2", "w3"}));
}

TEST_F(GangsAndAdviceTest, AGangThatFitsNoRackIsSpread) {
  Step_.PrefersSameRack_ = true;
  takeOwnership({worker("w1", "r1-1"), worker("w2", "r1-2")});
  EXPECT_EQ(Workers_.Starts_.size(), 2U);
}

TEST_F(GangsAndAdviceTest, WaitsForTheDataRackForTheDeclaredRunTimeOnly) {
  Step_.IsGang_ = false;
  Step_.TaskCount_ = 2;
  Step_.DataRack_ = "r1-1";
  takeOwnership({worker("w1", "r1-1"), worker("w2", "r1-2")});
  EXPECT_EQ(startedOn(), std::set<std::string>{"w1"});
  // On another rack the declared run time of 500 ms doubles, so that waiting
  // for up to 500 ms saves time.
  advanceTime(milliseconds(400));
  EXPECT_EQ(startedOn(), std::set<std::string>{"w1"});
  advanceTime(milliseconds(200));
  EXPECT_EQ(startedOn(), (std::set<std::string>{"w1", "w2"}));
}

TEST_F(GangsAndAdviceTest, StartsNothingWithoutAdvice) {
  Queue_.NeedsAdvice_ = true;
  takeOwnership({worker("w1", "r1-1"), worker("w2", "r1-1")});
  EXPECT_TRUE(Workers_.Starts_.empty());
  ASSERT_EQ(Advisor_.Calls_.size(), 1U);
  EXPECT_EQ(Advisor_.Calls_[0].Step_, std::string(JobId) + ".0.0");
  EXPECT_EQ(Advisor_.Calls_[0].Workers_.size(), 2U);
}

TEST_F(GangsAndAdviceTest, StartsOnAllowedWorkersWithTheirTickets) {
  Queue_.NeedsAdvice_ = true;
  Step_.IsGang_ = false;
  takeOwnership({worker("w1", "r1-1"), worker("w2", "r1-1")});
  ASSERT_EQ(Advisor_.Calls_.size(), 1U);
  Advisor_.Calls_[0].Answer_({true, {{"w2", "ticket-2"}}, milliseconds(3000)});
  Owner_->tick();
  ASSERT_EQ(Workers_.Starts_.size(), 1U);
  EXPECT_EQ(Workers_.Starts_[0].Target_.Id_, "w2");
  EXPECT_EQ(Workers_.Starts_[0].Order_.Ticket_, "ticket-2");
}

TEST_F(GangsAndAdviceTest, AsksAboutAWorkerWithRoomAmongManyFullOnes) {
  Queue_.NeedsAdvice_ = true;
  Step_.TaskCount_ = 1;
  Step_.IsGang_ = false;
  std::vector<WorkerEntry> Workers;
  for (char Letter = 'a'; Letter <= 'z'; ++Letter)
    for (const char *Number : {"1", "2", "3"})
      Workers.push_back(
          workerOf(std::string(1, Letter) + Number, {1000, 32000, 0}));
  Workers.push_back(worker("z4", "r1-1"));
  takeOwnership(Workers);
  constexpr milliseconds Validity{100};
  for (int Round = 0; Round < 10; ++Round) {
    for (RecordingAdvisor::Call &Call : std::exchange(Advisor_.Calls_, {})) {
      Advice Given;
      Given.IsValid_ = true;
      Given.Validity_ = Validity;
      for (const std::string &Id : Call.Workers_)
        Given.Tickets_[Id] = "ticket";
      advanceTime(Validity / 2);
      Call.Answer_(Given);
    }
    answerHolds();
  }
  EXPECT_EQ(startedOn(), std::set<std::string>{"z4"});
}

TEST_F(GangsAndAdviceTest, AsksAgainForARefusedTicket) {
  Queue_.NeedsAdvice_ = true;
  Step_.IsGang_ = false;
  Step_.TaskCount_ = 1;
  takeOwnership({worker("w1", "r1-1")});
  ASSERT_EQ(Advisor_.Calls_.size(), 1U);
  Advisor_.Calls_[0].Answer_({true, {{"w1", "old"}}, milliseconds(3000)});
  Owner_->tick();
  ASSERT_EQ(Workers_.Starts_.size(), 1U);
  answerStart(OrderOutcome::BadTicket);
  advanceTime(milliseconds(100));
  EXPECT_TRUE(Workers_.Starts_.empty());
  EXPECT_EQ(Advisor_.Calls_.size(), 2U);
}

TEST_F(GangsAndAdviceTest, AsksAgainAfterACallWithoutAnAnswer) {
  Queue_.NeedsAdvice_ = true;
  takeOwnership({worker("w1", "r1-1"), worker("w2", "r1-1")});
  Advisor_.Calls_[0].Answer_({});
  advanceTime(milliseconds(300));
  EXPECT_EQ(Advisor_.Calls_.size(), 2U);
}

} // namespace
} // namespace dragonflylock
