#include "fleet/fleettransitions.h"
#include "fleet/fleetcodec.h"
#include "fleet/fleeterrors.h"
#include "fleet/instancerowcodec.h"
#include "platformservices/tablenames.h"

#include <algorithm>

namespace dragonflylock {

FleetTransitions::FleetTransitions(const FleetView &View, std::int64_t NowMs)
    : View_(View), NowMs_(NowMs) {}

PoolRow FleetTransitions::poolRow(const std::string &Pool) const {
  auto Found = View_.Pools_.find(Pool);
  return Found == View_.Pools_.end() ? PoolRow() : Found->second.Value_;
}

RowWrite FleetTransitions::poolWrite(const std::string &Pool,
                                     const PoolRow &Row) const {
  auto Found = View_.Pools_.find(Pool);
  auto Condition = Found == View_.Pools_.end()
                       ? RowCondition::absent()
                       : RowCondition::at(Found->second.Version_);
  return {{tables::Pools, Pool}, Condition, fleetcodec::encode(Row)};
}

std::optional<RowWrite> FleetTransitions::enrol(const std::string &Pool) const {
  PoolRow Row = poolRow(Pool);
  std::size_t Before = Row.Members_.size();
  for (const auto &[Id, Instance] : View_.Instances_) {
    if (Instance.Value_.Pool_ == Pool)
      Row.Members_.insert(Id);
  }
  if (Row.Members_.size() == Before)
    return std::nullopt;
  return poolWrite(Pool, Row);
}

PoolCount FleetTransitions::countPool(const std::string &Pool) const {
  PoolRow Row = poolRow(Pool);
  PoolCount Count;
  Count.Members_ = Row.Members_.size();
  Count.Out_ = Row.Out_.size();
  std::map<std::string, std::size_t> Racks;
  for (const std::string &Id : Row.Members_) {
    if (Row.Out_.contains(Id))
      continue;
    auto Listed = View_.Listed_.find(Id);
    bool IsLive = Listed != View_.Listed_.end() &&
                  Listed->second.State_ == InstanceState::Live;
    if (!IsLive) {
      ++Count.Failed_;
      continue;
    }
    std::size_t &InRack = Racks[Listed->second.Rack_];
    Count.LargestRack_ = std::max(Count.LargestRack_, ++InRack);
  }
  return Count;
}

Result<FleetChange> FleetTransitions::start(const std::string &Instance,
                                            InstancePhase Expected) const {
  auto Found = View_.Instances_.find(Instance);
  if (Found == View_.Instances_.end())
    return Error(FleetErrc::UnknownInstance, "no instance " + Instance,
                 "see `dragonflylock instance list`");
  if (Found->second.Value_.Phase_ != Expected)
    return Error(FleetErrc::NotServing,
                 Instance + " is " + nameOf(Found->second.Value_.Phase_),
                 "wait until its move or maintenance has ended");
  FleetChange Change;
  Change.Instance_ = Instance;
  Change.Row_ = Found->second.Value_;
  return Change;
}

void FleetTransitions::write(FleetChange &Change,
                             const Versioned<InstanceRow> &From) const {
  ++Change.Row_.Epoch_;
  Change.Row_.ChangedMs_ = NowMs_;
  Change.Writes_.insert(Change.Writes_.begin(),
                        {{tables::Instances, Change.Instance_},
                         RowCondition::at(From.Version_),
                         instancerowcodec::encode(Change.Row_)});
}

Result<FleetChange> FleetTransitions::beginLeaving(
    const std::string &Instance, const PoolSettings &Settings,
    const std::string &Target, const std::string &Wave) const {
  auto Change = start(Instance, InstancePhase::Serving);
  if (!Change)
    return Change;
  FleetChange &Made = Change.value();
  const std::string &Pool = Made.Row_.Pool_;
  AvailabilityBudget Budget(Settings.MinimumAvailable_,
                            Settings.FailureReserve_);
  PoolCount Count = countPool(Pool);
  if (!Budget.mayTakeOut(Count))
    return Error(FleetErrc::BudgetSpent,
                 "pool " + Pool + " has " + std::to_string(Count.Members_) +
                     " members, " + std::to_string(Count.Out_) + " out, " +
                     std::to_string(Count.Failed_) + " failed, and keeps " +
                     std::to_string(Budget.required(Count.Members_)),
                 "wait for instances to return, or move one in from the spare "
                 "pool");
  Made.Required_ = Budget.required(Count.Members_);
  PoolRow Row = poolRow(Pool);
  Row.Out_.insert(Instance);
  Made.Writes_.push_back(poolWrite(Pool, Row));
  Made.Row_.Phase_ = InstancePhase::Leaving;
  Made.Row_.Target_ = Target;
  if (Target.empty())
    Made.Row_.Wave_ = Wave;
  auto Listed = View_.Listed_.find(Instance);
  if (Listed != View_.Listed_.end())
    Made.Row_.OutGeneration_ = Listed->second.Generation_;
  write(Made, View_.Instances_.at(Instance));
  return Change;
}

Result<FleetChange>
FleetTransitions::finishLeaving(const std::string &Instance) const {
  auto Change = start(Instance, InstancePhase::Leaving);
  if (!Change)
    return Change;
  FleetChange &Made = Change.value();
  if (Made.Row_.Target_.empty()) {
    Made.Row_.Phase_ = InstancePhase::Out;
    write(Made, View_.Instances_.at(Instance));
    return Change;
  }
  PoolRow From = poolRow(Made.Row_.Pool_);
  From.Members_.erase(Instance);
  From.Out_.erase(Instance);
  Made.Writes_.push_back(poolWrite(Made.Row_.Pool_, From));
  PoolRow To = poolRow(Made.Row_.Target_);
  To.Members_.insert(Instance);
  Made.Writes_.push_back(poolWrite(Made.Row_.Target_, To));
  Made.Row_.Pool_ = std::exchange(Made.Row_.Target_, {});
  Made.Row_.Phase_ = InstancePhase::Serving;
  write(Made, View_.Instances_.at(Instance));
  return Change;
}

Result<FleetChange>
FleetTransitions::comeBack(const std::string &Instance) const {
  auto Change = start(Instance, InstancePhase::Out);
  if (!Change)
    return Change;
  FleetChange &Made = Change.value();
  PoolRow Row = poolRow(Made.Row_.Pool_);
  Row.Out_.erase(Instance);
  Made.Writes_.push_back(poolWrite(Made.Row_.Pool_, Row));
  Made.Row_.Phase_ = InstancePhase::Serving;
  write(Made, View_.Instances_.at(Instance));
  return Change;
}

} // namespace dragonflylock
