#include "scheduling/controlrows.h"
#include "scheduling/tests/mocks/ownertest.h"

#include <algorithm>
#include <string>
#include <utility>

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;

/// A job of one task, and a worker whose machine is to be maintained.
class MaintenanceTest : public OwnerTest {
protected:
  MaintenanceTest() {
    StepSpec Step;
    Step.TaskCount_ = 1;
    Step.PerTask_ = {1000, 1000, 0};
    Step.Estimate_ = milliseconds(500);
    JobSpec Spec;
    Spec.Steps_ = {Step};
    storeJob(Spec);
    Machine Only;
    Only.Name_ = "machine-of-w1";
    Only.Pool_ = "pool";
    Only.State_ = MachineState::Up;
    Machines_.List_.Machines_ = {Only};
    Machines_.List_.IsValid_ = true;
    Wave_.Number_ = 1;
    Wave_.Machines_ = {Only.Name_};
    Wave_.Duration_ = milliseconds(20000);
    Wave_.MostAtOnce_ = 1;
  }

  static WorkerEntry workerBornAt(milliseconds Born) {
    WorkerEntry Entry = workerOf("w1", {16000, 32000, 0});
    Entry.Machine_ = "machine-of-w1";
    Entry.Born_ = Born;
    return Entry;
  }

  /// Lets \p Length pass; the worker answers as the lifetime born at \p Born.
  void play(milliseconds Length, milliseconds Born) {
    constexpr milliseconds Round{50};
    for (milliseconds Passed{0}; Passed < Length; Passed += Round) {
      Clock_.advance(Round);
      Owner_->tick();
      for (RecordingWorkers::Hold &Each : std::exchange(Workers_.Holds_, {})) {
        HoldAnswer Answer = listing({});
        Answer.Born_ = Born;
        Each.Done_(Answer);
      }
    }
  }

  MaintenanceWave Wave_;
};

TEST_F(MaintenanceTest, AMachineBackFromItsMaintenanceGetsTasks) {
  own(0, {});
  Owner_->onWaves({Wave_});
  play(milliseconds(200), milliseconds(5));
  ASSERT_EQ(Machines_.Orders_.size(), 1U);
  Owner_->onWorkers({workerBornAt(milliseconds(9))});
  Store_.IsHolding_ = true;
  play(milliseconds(1000), milliseconds(9));
  Store_.release();
  play(milliseconds(1000), milliseconds(9));
  EXPECT_EQ(Workers_.Starts_.size(), 1U);
}

} // namespace
} // namespace dragonflylock
