#include "scheduling/controlrows.h"
#include "scheduling/jobprogress.h"
#include "scheduling/tests/mocks/ownertest.h"

#include <string>
#include <utility>

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;

/// Conditions that keep a task or a worker waiting must clear without
/// intervention.
class LivenessTest : public OwnerTest {
protected:
  static JobSpec jobOf(std::uint32_t Tasks) {
    StepSpec Step;
    Step.TaskCount_ = Tasks;
    Step.PerTask_ = {1000, 1000, 0};
    Step.Estimate_ = milliseconds(500);
    JobSpec Spec;
    Spec.Steps_ = {Step};
    return Spec;
  }

  static WorkerEntry worker(const std::string &Id) {
    return workerOf(Id, {16000, 32000, 0});
  }

  static StoreKey progressRow() {
    return jobrows::keyOf("queue", JobId, JobRowKind::Progress);
  }

  void storeProgress(const JobProgress &Progress) {
    StoreKey Row = progressRow();
    Store_.Rows_[Row] = {Row, Progress.encode(), ++Store_.Version_, false};
  }

  JobPhase storedState() {
    JobProgress Read;
    EXPECT_TRUE(Read.decode(Store_.Rows_[progressRow()].Value_));
    return Read.state();
  }

  /// Simulates \p Length, during which each hold is answered with \p Answer.
  void simulate(milliseconds Length, const HoldAnswer &Answer) {
    constexpr milliseconds Round{50};
    for (milliseconds Passed{0}; Passed < Length; Passed += Round) {
      Clock_.advance(Round);
      Owner_->tick();
      for (RecordingWorkers::Hold &Each : std::exchange(Workers_.Holds_, {}))
        Each.Done_(Answer);
    }
  }
};

TEST_F(LivenessTest, UsesWorkerWhoseSilenceCouldNotBeRecorded) {
  storeJob(jobOf(1));
  takeOwnership(0, {worker("w1")});
  Store_.Outcome_ = StoreOutcome::Unknown;
  simulate(milliseconds(1000), HoldAnswer());
  simulate(milliseconds(1000), acceptedAnswer({}));
  Store_.Outcome_ = StoreOutcome::Done;
  simulate(milliseconds(1000), acceptedAnswer({}));
  EXPECT_EQ(Workers_.Starts_.size(), 1U);
}

TEST_F(LivenessTest, CompletesJobWhoseLastTaskWasStoredLateByPreviousOwner) {
  storeJob(jobOf(2));
  takeOwnership(0, {workerOf("w1", {1000, 1000, 0})});
  simulate(milliseconds(100), acceptedAnswer({}));
  ASSERT_EQ(Workers_.Starts_.size(), 1U);
  Workers_.Starts_[0].Done_({OrderOutcome::Accepted, WorkerClock(1000)});
  JobProgress Late((jobOf(2)));
  Late.setState(JobPhase::Running);
  Late.task({JobId, 0, 0, 1}).IsDone_ = true;
  storeProgress(Late);
  ListedEnd End;
  End.Task_ = Workers_.Starts_[0].Order_.Task_;
  End.Run_ = Workers_.Starts_[0].Order_.Run_;
  End.Kind_ = EndKind::Done;
  End.Sequence_ = 1;
  simulate(milliseconds(2000), acceptedAnswer({}, {End}));
  EXPECT_EQ(storedState(), JobPhase::Completed);
}

TEST_F(LivenessTest, CompletesJobWithAllTasksStoredAsDone) {
  storeJob(jobOf(1));
  JobProgress Stored((jobOf(1)));
  Stored.setState(JobPhase::Running);
  Stored.task({JobId, 0, 0, 0}).IsDone_ = true;
  storeProgress(Stored);
  takeOwnership(1, {});
  simulate(milliseconds(500), acceptedAnswer({}));
  EXPECT_EQ(storedState(), JobPhase::Completed);
}

} // namespace
} // namespace dragonflylock
