#include "fleet/waveplanner.h"
#include "configuration/fleetconfiguration.h"

#include <algorithm>

namespace dragonflylock {

WavePlanner::WavePlanner(const FleetConfiguration &Fleet) : Fleet_(Fleet) {}

WavePlan WavePlanner::plan(const FleetView &View, std::int64_t NowMs) const {
  WavePlan Plan;
  Plan.IsFinished_ = View.Wave_.Value_.State_ == WaveState::Running;
  for (const auto &[Instance, Row] : View.Instances_)
    planInstance(View, NowMs, Instance, Plan);
  return Plan;
}

void WavePlanner::planInstance(const FleetView &View, std::int64_t NowMs,
                               const std::string &Instance,
                               WavePlan &Plan) const {
  const InstanceRow &Row = View.Instances_.at(Instance).Value_;
  bool IsDone = Row.Wave_ == View.Wave_.Value_.Id_ &&
                Row.Phase_ == InstancePhase::Serving;
  bool IsListed = View.ListedInstances_.contains(Instance);
  // An instance that the platform no longer lists cannot be maintained and
  // does not delay the end of the wave.
  if (!IsDone && IsListed)
    Plan.IsFinished_ = false;
  if (Row.Phase_ == InstancePhase::Out)
    planOutOfService(View, NowMs, Instance, Plan);
  bool IsEligible = !IsDone && IsListed &&
                    Row.Phase_ == InstancePhase::Serving &&
                    View.Wave_.Value_.State_ == WaveState::Running;
  if (IsEligible)
    planServing(View, NowMs, Instance, Plan);
}

void WavePlanner::planOutOfService(const FleetView &View, std::int64_t NowMs,
                                   const std::string &Instance,
                                   WavePlan &Plan) const {
  const InstanceRow &Row = View.Instances_.at(Instance).Value_;
  auto Listed = View.ListedInstances_.find(Instance);
  bool HasReturned = Listed != View.ListedInstances_.end() &&
                     Listed->second.State_ == InstanceState::Live &&
                     Listed->second.Generation_ > Row.OutGeneration_;
  if (HasReturned) {
    auto Returned = FleetTransitions(View, NowMs).returnToService(Instance);
    if (Returned)
      Plan.Changes_.push_back(std::move(Returned.value()));
    return;
  }
  Plan.Reboots_.push_back(Instance);
  const PoolSettings *Settings = Fleet_.findPool(Row.Pool_);
  auto Limit = Settings != nullptr ? Settings->ReturnLimit_
                                   : Fleet_.defaults().ReturnLimit_;
  std::chrono::milliseconds OutOfServiceFor(NowMs - Row.ChangedMs_);
  bool IsRunning = View.Wave_.Value_.State_ == WaveState::Running;
  if (IsRunning && OutOfServiceFor > Limit)
    Plan.HaltReason_ = "instance " + Instance + " of pool " + Row.Pool_ +
                       " has not returned in time";
}

void WavePlanner::planServing(const FleetView &View, std::int64_t NowMs,
                              const std::string &Instance,
                              WavePlan &Plan) const {
  const std::string &Pool = View.Instances_.at(Instance).Value_.Pool_;
  // Only one change per pool and round: each change writes the pool's row, so
  // a second one based on the same view would fail.
  bool IsPoolBusy = std::any_of(
      Plan.Changes_.begin(), Plan.Changes_.end(),
      [&](const FleetChange &Each) { return Each.Row_.Pool_ == Pool; });
  const PoolSettings *Settings = Fleet_.findPool(Pool);
  if (IsPoolBusy || Settings == nullptr)
    return;
  auto Leaving =
      FleetTransitions(View, NowMs)
          .beginLeaving(Instance, *Settings, {}, View.Wave_.Value_.Id_);
  if (Leaving)
    Plan.Changes_.push_back(std::move(Leaving.value()));
}

} // namespace dragonflylock
