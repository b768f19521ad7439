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
  if (Worker.IsBarred_ || !Worker.Free_.canFit(roomOf(Step)) ||
      !hasLabel(Step, Worker.Labels_))
    return false;
  return Step.MaxPerWorker_ == 0 || Worker.SameStep_ < Step.MaxPerWorker_;
}

/// Higher is better; compared from the first element on.
auto rank(const StepSpec &Step, const PlacementCandidate &Worker) {
  bool IsFar = !Step.DataRack_.empty() && Worker.Rack_ != Step.DataRack_;
  bool IsOffRack = Step.PrefersSameRack_ && !Worker.IsRackOfStep_;
  std::uint32_t Disturbed = 0;
  if (Step.IsFiller_)
    Disturbed = Worker.Serving_;
  else if (Step.LatencyTarget_.count() > 0)
    Disturbed = Worker.Fillers_;
  // Tasks that a disruption must not take together are spread.
  bool IsSpread = Step.DisruptionBudget_.has_value();
  std::int64_t Together = IsSpread ? Worker.SameStep_ : 0;
  // Lasting tasks go where most room is left, short ones where least is: so
  // machines become idle as a whole and can serve other pools.
  std::int64_t Sign = Step.IsLongRunning_ ? 1 : -1;
  return std::make_tuple(!Worker.HasFailedTask_, !IsFar, !IsOffRack, -Together,
                         -static_cast<std::int64_t>(Disturbed),
                         Sign * Worker.Free_.CpuMillis_,
                         Sign * Worker.Free_.MemoryMb_);
}

} // namespace

Resources roomOf(const StepSpec &Step) {
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

bool mayEverRun(const StepSpec &Step, const Resources &Capacity,
                const std::vector<std::string> &Labels) {
  return Capacity.canFit(roomOf(Step)) && hasLabel(Step, Labels);
}

} // namespace dragonflylock
