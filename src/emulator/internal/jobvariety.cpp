#include "emulator/internal/jobvariety.h"
#include "emulator/simulation.h"

#include <string>

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;

/// Factor on the estimates of the few long steps.
constexpr int LongStepFactor = 3;

void addVariety(StepSpec &Step, Simulation &Sim, std::int64_t Racks,
                bool IsFreeToPlace) {
  if (!Step.IsGang_ && Sim.withProbability(0.3)) {
    // Half of these steps want the same rack.
    std::int64_t Rack =
        Sim.withProbability(0.5) ? 0 : Sim.randomInRange(0, Racks - 1);
    Step.DataRack_ = "r1-" + std::to_string(Rack);
  }
  if (IsFreeToPlace && !Step.IsGang_ && Sim.withProbability(0.15))
    Step.RequiredLabel_ =
        Sim.withProbability(0.5) ? FirstWorkerKind : SecondWorkerKind;
  // All tasks of a gang, or of a step that lasts, must have a place on the
  // workers that they may use.
  bool IsNarrow =
      Step.IsGang_ || !IsFreeToPlace || !Step.RequiredLabel_.empty();
  if (Sim.withProbability(0.2))
    Step.MaxPerWorker_ =
        static_cast<std::uint32_t>(Sim.randomInRange(IsNarrow ? 2 : 1, 3));
  if (!Step.IsGang_ && Sim.withProbability(0.1))
    Step.IsFiller_ = true;
  else if (Step.IsLongRunning_ && Sim.withProbability(0.5))
    Step.LatencyTarget_ = milliseconds(100);
  if (Sim.withProbability(0.05))
    Step.Estimate_ *= LongStepFactor;
}

} // namespace

void addVariety(JobSpec &Job, Simulation &Sim, std::int64_t Racks,
                bool IsFreeToPlace) {
  for (StepSpec &Step : Job.Steps_)
    addVariety(Step, Sim, Racks, IsFreeToPlace);
  if (Job.Steps_.front().IsLongRunning_ || !Sim.withProbability(0.15))
    return;
  Job.OccurrenceCount_ = static_cast<std::uint32_t>(Sim.randomInRange(2, 4));
  Job.FirstDue_ = milliseconds(millisecondsSinceEpoch(Sim.wallNow()) +
                               Sim.randomInRange(0, 4000));
  Job.Interval_ = milliseconds(Sim.randomInRange(100, 3000));
}

} // namespace dragonflylock
