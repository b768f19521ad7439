#include "scheduling/controlrows.h"
#include "scheduling/jobprogress.h"
#include "scheduling/tests/mocks/ownertest.h"

#include <string>
#include <utility>

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;

/// What keeps a task or a worker back must end by itself.
class ReleaseTest : public OwnerTest {
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

  /// Lets \p Length pass; workers answer by \p Answer.
  void play(milliseconds Length, const HoldAnswer &Answer) {
    constexpr milliseconds Round{50};
    for (milliseconds Passed{0}; Passed < Length; Passed += Round) {
      Clock_.advance(Round);
      Owner_->tick();
      for (RecordingWorkers::Hold &Each : std::exchange(Workers_.Holds_, {}))
        Each.Done_(Answer);
    }
  }
};

TEST_F(ReleaseTest, AWorkerIsUsedWhoseSilenceCouldNotBeDeclared) {
  storeJob(jobOf(1));
  own(0, {worker("w1")});
  Store_.Outcome_ = StoreOutcome::Unknown;
  play(milliseconds(1000), HoldAnswer());
  play(milliseconds(1000), listing({}));
  Store_.Outcome_ = StoreOutcome::Done;
  play(milliseconds(1000), listing({}));
  EXPECT_EQ(Workers_.Starts_.size(), 1U);
}

} // namespace
} // namespace dragonflylock
