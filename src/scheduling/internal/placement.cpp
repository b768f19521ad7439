#include "scheduling/placement.h"

#include <algorithm>
#include <tuple>

namespace dragonflylock {
namespace {

bool hasLabel(const StepSpec &Step, const std::vector<std::string> &Labels) {
  return Step.RequiredLabel_.empty() ||
         std::find(Labels.begin(), Labels.end(), Step.RequiredLabel_) !=
             Labels.end();
}

bool isAllowed(const StepSpec &Step, const PlacementCandidate &Worker) {
  if (Worker.IsExcluded_ || !Worker.Free_.canFit(requiredResources(Step)) ||
      !hasLabel(Step, Worker.Labels_))
    return false;
  return Step.MaxPerWorker_ == 0 || Worker.SameStepTasks_ < Step.MaxPerWorker_;
}

/// The higher rank is better; elements are compared in order.
auto rank(const StepSpec &Step, const PlacementCandidate &Worker) {
  bool IsOffDataRack =
      !Step.DataRack_.empty() && Worker.Rack_ != Step.DataRack_;
  bool IsOffRack = Step.PrefersSameRack_ && !Worker.IsOnRackOfStep_;
  std::uint32_t InterferingTasks = 0;
  if (Step.IsFiller_)
    InterferingTasks = Worker.Serving_;
  else if (Step.LatencyTarget_.count() > 0)
    InterferingTasks = Worker.Fillers_;
  // Tasks of a step with a disruption budget are spread over workers, so that
  // one disruption does not hit several of them.
  bool IsSpread = Step.DisruptionBudget_.has_value();
  std::int64_t SameStepTasks = IsSpread ? Worker.SameStepTasks_ : 0;
  // Long-running tasks go where the most resources are free, others where the
  // least are, so that whole machines become idle and can serve other pools.
  std::int64_t FreeWeight = Step.IsLongRunning_ ? 1 : -1;
  return std::make_tuple(!Worker.HasFailedTask_,
                         -static_cast<std::int64_t>(Worker.RunsAtRisk_),
                         !IsOffDataRack, !IsOffRack, -SameStepTasks,
                         -static_cast<std::int64_t>(InterferingTasks),
                         FreeWeight * Worker.Free_.CpuMillis_,
                         FreeWeight * Worker.Free_.MemoryMb_);
}

} // namespace

Resources requiredResources(const StepSpec &Step) {
  Resources Room = Step.PerTask_;
  if (Step.IsFiller_)
    Room.CpuMillis_ = 0;
  return Room;
}

std::optional<std::size_t>
choosePlacement(const StepSpec &Step,
                const std::vector<PlacementCandidate> &Candidates) {
  std::optional<std::size_t> Best;
  std::optional<decltype(rank(Step, Candidates.front()))> BestRank;
  for (std::size_t Index = 0; Index < Candidates.size(); ++Index) {
    if (!isAllowed(Step, Candidates[Index]))
      continue;
    auto Rank = rank(Step, Candidates[Index]);
    if (BestRank && Rank <= *BestRank)
      continue;
    Best = Index;
    BestRank = Rank;
  }
  return Best;
}

bool canEverRun(const StepSpec &Step, const Resources &Capacity,
                const std::vector<std::string> &Labels) {
  return Capacity.canFit(requiredResources(Step)) && hasLabel(Step, Labels);
}

} // namespace dragonflylock
