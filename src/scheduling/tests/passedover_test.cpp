#include "scheduling/tests/mocks/ownertest.h"

#include <algorithm>
#include <map>
#include <utility>

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;

/// Guards against startable tasks that an owner passes over although a worker
/// has room for them.
class PassedOverTest : public OwnerTest {
protected:
  static constexpr const char *OtherJob = "00000000000000bb";

  PassedOverTest() { Queue_.MaxFailedRuns_ = 3; }

  static StepSpec stepOf(std::uint32_t Tasks) {
    StepSpec Step;
    Step.TaskCount_ = Tasks;
    Step.PerTask_ = {1000, 1000, 0};
    Step.Estimate_ = milliseconds(500);
    return Step;
  }

  static JobSpec jobOf(const StepSpec &Step) {
    JobSpec Spec;
    Spec.Steps_ = {Step};
    return Spec;
  }

  /// Stores a job with a task that leaves no room for a member of largeGang()
  /// on its worker.
  void storeEndlessTask() {
    StepSpec Endless = stepOf(1);
    Endless.PerTask_ = {8000, 1000, 0};
    storeJob(jobOf(Endless), "0000000000000001");
  }

  /// \returns a gang whose members need a worker each.
  static StepSpec largeGang() {
    StepSpec Gang = stepOf(2);
    Gang.PerTask_ = {8000, 1000, 0};
    Gang.IsGang_ = true;
    return Gang;
  }

  static WorkerEntry workerOnRack(const std::string &Id,
                                  const std::string &Rack, Resources Capacity) {
    WorkerEntry Entry = workerOf(Id, Capacity);
    Entry.Rack_ = Rack;
    return Entry;
  }

  milliseconds wallNow() const {
    return milliseconds(millisecondsSinceEpoch(Clock_.wallNow()));
  }

  /// Confirms all starts and answers all hold orders with the runs that were
  /// started so far.
  void answerAll() {
    while (!Workers_.Starts_.empty()) {
      RecordingWorkers::Start Next = Workers_.takeStart();
      Running_[Next.Target_.Id_].push_back(
          {Next.Order_.Task_, Next.Order_.Run_, "", 100, 0});
      Started_.push_back(Next.Order_.Task_);
      Next.Done_({OrderOutcome::Accepted, WorkerClock(1000)});
    }
    std::deque<RecordingWorkers::Hold> Holds;
    Holds.swap(Workers_.Holds_);
    for (RecordingWorkers::Hold &Each : Holds)
      Each.Done_(acceptedAnswer(Running_[Each.Target_.Id_]));
    tickTwice();
  }

  void advanceTime(milliseconds Length) {
    for (milliseconds Passed{0}; Passed < Length; Passed += milliseconds(100)) {
      Clock_.advance(milliseconds(100));
      Owner_->tick();
      answerAll();
    }
  }

  bool hasStarted(const TaskName &Task) const {
    return std::find(Started_.begin(), Started_.end(), Task) != Started_.end();
  }

  /// Runs started so far, by the worker's id.
  std::map<std::string, std::vector<ListedRun>> Running_;
  std::vector<TaskName> Started_;
};

TEST_F(PassedOverTest, TasksStartWhileAnEarlierOccurrenceFindsNoWorker) {
  // The second task of the first occurrence may not join the first one.
  StepSpec Step = stepOf(2);
  Step.MaxPerWorker_ = 1;
  JobSpec Spec = jobOf(Step);
  Spec.OccurrenceCount_ = 2;
  Spec.FirstDue_ = wallNow() - milliseconds(100);
  Spec.Interval_ = milliseconds(50);
  storeJob(Spec);
  takeOwnership(0, {workerOf("w1", {16000, 32000, 0})});
  advanceTime(milliseconds(1000));
  EXPECT_TRUE(hasStarted({JobId, 0, 0, 0}));
  EXPECT_TRUE(hasStarted({JobId, 1, 0, 0}));
}

TEST_F(PassedOverTest, TasksDoNotWaitLongForAFullRackBesideFreeWorkers) {
  StepSpec Step = stepOf(2);
  Step.DataRack_ = "r1-1";
  Step.Estimate_ = milliseconds(9000);
  storeJob(jobOf(Step));
  takeOwnership(0, {workerOnRack("w1", "r1-1", {500, 500, 0}),
                    workerOnRack("w2", "r1-2", {16000, 32000, 0})});
  advanceTime(milliseconds(2500));
  EXPECT_TRUE(hasStarted({JobId, 0, 0, 0}));
  EXPECT_TRUE(hasStarted({JobId, 0, 0, 1}));
}

TEST_F(PassedOverTest, AGangDoesNotHoldBackOthersForTheProcessorOfFillers) {
  // Fillers reserve no processor, so that their ends make no room for the gang.
  StepSpec Filler = stepOf(1);
  Filler.PerTask_ = {9000, 1000, 0};
  Filler.IsFiller_ = true;
  storeJob(jobOf(Filler), "0000000000000001");
  storeJob(jobOf(largeGang()));
  JobSpec Small = jobOf(stepOf(1));
  Small.OccurrenceCount_ = 1;
  Small.FirstDue_ = wallNow() + milliseconds(2000);
  storeJob(Small, OtherJob, milliseconds(60000));
  takeOwnership(0, {workerOf("w1", {10000, 32000, 0})});
  advanceTime(milliseconds(2500));
  EXPECT_TRUE(hasStarted({"0000000000000001"}));
  EXPECT_TRUE(hasStarted({OtherJob}));
}

TEST_F(PassedOverTest, JobsOfADroppedQueueStillAskForAdvice) {
  Queue_.NeedsAdvice_ = true;
  storeJob(jobOf(stepOf(1)));
  buildOwner(0);
  auto Dropped = std::make_shared<SchedulingConfiguration>();
  Dropped->Version_ = 2;
  Dropped->Pools_ = {{"pool", true, false}};
  Owner_->onConfiguration(Dropped);
  Owner_->onWorkers({workerOf("w1", {16000, 32000, 0})});
  for (int Round = 0; Round < 5; ++Round)
    Owner_->tick();
  answerAll();
  EXPECT_TRUE(Workers_.Starts_.empty());
  ASSERT_FALSE(Advisor_.Calls_.empty());
  Advice Allowed;
  Allowed.IsValid_ = true;
  Allowed.Validity_ = milliseconds(3000);
  Allowed.Tickets_["w1"] = "ticket";
  Advisor_.Calls_.front().Answer_(Allowed);
  Owner_->tick();
  ASSERT_EQ(Workers_.Starts_.size(), 1U);
  EXPECT_EQ(Workers_.Starts_.front().Order_.Ticket_, "ticket");
}

TEST_F(PassedOverTest, JobsOfADroppedQueueKeepTheirNumberOfAttempts) {
  Queue_.MaxFailedRuns_ = 6;
  storeJob(jobOf(stepOf(1)));
  takeOwnership(0, {workerOf("w1", {16000, 32000, 0})});
  auto Dropped = std::make_shared<SchedulingConfiguration>();
  Dropped->Version_ = 2;
  Dropped->Pools_ = {{"pool", true, false}};
  Owner_->onConfiguration(Dropped);
  std::uint64_t Sequence = 0;
  for (int Failure = 0; Failure < 5; ++Failure) {
    advanceTime(milliseconds(14000));
    ASSERT_EQ(Running_["w1"].size(), 1U) << "after failure " << Failure;
    ListedRun Run = Running_["w1"].front();
    Running_["w1"].clear();
    ASSERT_FALSE(Workers_.Holds_.empty());
    Workers_.takeHold().Done_(acceptedAnswer(
        {}, {{++Sequence, Run.Task_, Run.Run_, EndKind::Failed, ""}}));
    Owner_->tick();
  }
  EXPECT_EQ(Owner_->stateOf(JobId), JobPhase::Queued);
}

TEST_F(PassedOverTest, AJobThatFailsEverywhereDoesNotSetAsideAllWorkers) {
  StepSpec Failing = stepOf(6);
  Failing.MaxPerWorker_ = 3;
  storeJob(jobOf(Failing));
  JobSpec Sound = jobOf(stepOf(1));
  Sound.OccurrenceCount_ = 1;
  Sound.FirstDue_ = wallNow() + milliseconds(200);
  storeJob(Sound, OtherJob, milliseconds(60000));
  takeOwnership(0, {workerOf("w1", {16000, 32000, 0}),
                    workerOf("w2", {16000, 32000, 0})});
  answerAll();
  answerAll();
  ASSERT_EQ(Running_["w1"].size(), 3U);
  ASSERT_EQ(Running_["w2"].size(), 3U);
  std::deque<RecordingWorkers::Hold> Holds;
  Holds.swap(Workers_.Holds_);
  for (RecordingWorkers::Hold &Each : Holds) {
    std::vector<ListedEnd> Ends;
    for (const ListedRun &Run : Running_[Each.Target_.Id_])
      Ends.push_back(
          {Ends.size() + 1, Run.Task_, Run.Run_, EndKind::Failed, ""});
    Running_[Each.Target_.Id_].clear();
    Each.Done_(acceptedAnswer({}, Ends));
  }
  advanceTime(milliseconds(1000));
  EXPECT_TRUE(hasStarted({OtherJob}));
}

TEST_F(PassedOverTest, AGangHoldsBackOthersForLessThanThreeSeconds) {
  // The gang would fit but for a task that runs for longer than declared; less
  // than half of the processor is in use.
  storeEndlessTask();
  storeJob(jobOf(largeGang()));
  JobSpec Small = jobOf(stepOf(1));
  Small.OccurrenceCount_ = 1;
  Small.FirstDue_ = wallNow() + milliseconds(1500);
  storeJob(Small, OtherJob, milliseconds(60000));
  takeOwnership(0, {workerOf("w1", {10000, 32000, 0}),
                    workerOf("w2", {10000, 32000, 0})});
  advanceTime(milliseconds(4400));
  EXPECT_TRUE(hasStarted({"0000000000000001"}));
  EXPECT_FALSE(hasStarted({JobId}));
  EXPECT_TRUE(hasStarted({OtherJob}));
}

TEST_F(PassedOverTest, ATaskHeldBackForAGangDoesNotWaitForItsRackAsWell) {
  storeEndlessTask();
  storeJob(jobOf(largeGang()));
  StepSpec Local = stepOf(1);
  Local.DataRack_ = "r1";
  Local.Estimate_ = milliseconds(9000);
  JobSpec Small = jobOf(Local);
  Small.OccurrenceCount_ = 1;
  Small.FirstDue_ = wallNow() + milliseconds(1500);
  storeJob(Small, OtherJob, milliseconds(60000));
  takeOwnership(0, {workerOnRack("w1", "r2", {10000, 32000, 0}),
                    workerOnRack("w2", "r2", {10000, 32000, 0}),
                    workerOnRack("w3", "r1", {500, 32000, 0})});
  advanceTime(milliseconds(4400));
  EXPECT_FALSE(hasStarted({JobId}));
  EXPECT_TRUE(hasStarted({OtherJob}));
}

TEST_F(PassedOverTest, AGangDoesNotWaitBehindALargerOneOfItsJob) {
  storeEndlessTask();
  StepSpec Small = stepOf(2);
  Small.IsGang_ = true;
  JobSpec Spec;
  Spec.Steps_ = {largeGang(), Small};
  Spec.OccurrenceCount_ = 2;
  Spec.FirstDue_ = wallNow() - milliseconds(100);
  Spec.Interval_ = milliseconds(1500);
  storeJob(Spec);
  takeOwnership(0, {workerOf("w1", {10000, 32000, 0}),
                    workerOf("w2", {10000, 32000, 0})});
  advanceTime(milliseconds(2400));
  EXPECT_FALSE(hasStarted({JobId, 0, 0, 0}));
  EXPECT_TRUE(hasStarted({JobId, 1, 1, 0}));
}

// Guards against starts that are sent again and again to a worker which accepts
// no connections, beside one that does.
TEST_F(PassedOverTest, WorkerThatStartsDoNotReachIsPassedOverForLonger) {
  storeJob(jobOf(stepOf(1)));
  takeOwnership(0, {workerOf("w1", {10000, 32000, 0})});
  Workers_.takeHold().Done_(acceptedAnswer({}));
  tickTwice();
  std::vector<milliseconds> Delays;
  TimePoint RefusedAt = Clock_.now();
  for (int Round = 0; Round < 500 && Delays.size() < 3; ++Round) {
    while (!Workers_.Holds_.empty())
      Workers_.takeHold().Done_(acceptedAnswer({}));
    if (!Workers_.Starts_.empty()) {
      Delays.push_back(
          std::chrono::duration_cast<milliseconds>(Clock_.now() - RefusedAt));
      RefusedAt = Clock_.now();
      Workers_.takeStart().Done_({OrderOutcome::NotSent, WorkerClock(0)});
    }
    Clock_.advance(milliseconds(20));
    tickTwice();
  }
  ASSERT_EQ(Delays.size(), 3U);
  EXPECT_GE(Delays[2], Delays[1] * 2);
  // No job may wait for 3 s beside free workers.
  EXPECT_LT(Delays[2], milliseconds(3000));
}

} // namespace
} // namespace dragonflylock
