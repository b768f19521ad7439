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

RowWrite FleetTransitions::makePoolWrite(const std::string &Pool,
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
  return makePoolWrite(Pool, Row);
}

PoolMemberCounts FleetTransitions::countMembers(const std::string &Pool) const {
  PoolRow Row = poolRow(Pool);
  PoolMemberCounts Count;
  Count.Members_ = Row.Members_.size();
  Count.OutOfService_ = Row.OutOfService_.size();
  std::map<std::string, std::size_t> Racks;
  for (const std::string &Id : Row.Members_) {
    if (Row.OutOfService_.contains(Id))
      continue;
    auto Listed = View_.ListedInstances_.find(Id);
    bool IsLive = Listed != View_.ListedInstances_.end() &&
                  Listed->second.State_ == InstanceState::Live;
    if (!IsLive) {
      ++Count.Failed_;
      continue;
    }
    std::size_t &InRack = Racks[Listed->second.Rack_];
    Count.LargestRackSize_ = std::max(Count.LargestRackSize_, ++InRack);
  }
  return Count;
}

Result<FleetChange>
FleetTransitions::prepareChange(const std::string &Instance,
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

void FleetTransitions::addInstanceWrite(
    FleetChange &Change, const Versioned<InstanceRow> &From) const {
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
  auto Change = prepareChange(Instance, InstancePhase::Serving);
  if (!Change)
    return Change;
  FleetChange &Prepared = Change.value();
  const std::string &Pool = Prepared.Row_.Pool_;
  AvailabilityBudget Budget(Settings.MinimumAvailable_,
                            Settings.FailureReserve_);
  PoolMemberCounts Count = countMembers(Pool);
  if (!Budget.allowsDisruption(Count))
    return Error(FleetErrc::BudgetExhausted,
                 "pool " + Pool + " has " + std::to_string(Count.Members_) +
                     " members, " + std::to_string(Count.OutOfService_) +
                     " out of service and " + std::to_string(Count.Failed_) +
                     " failed; the number that must stay in service is " +
                     std::to_string(Budget.requiredInService(Count.Members_)),
                 "wait for instances to return, or move one in from the spare "
                 "pool");
  Prepared.Required_ = Budget.requiredInService(Count.Members_);
  PoolRow Row = poolRow(Pool);
  Row.OutOfService_.insert(Instance);
  Prepared.Writes_.push_back(makePoolWrite(Pool, Row));
  Prepared.Row_.Phase_ = InstancePhase::Leaving;
  Prepared.Row_.Target_ = Target;
  if (Target.empty())
    Prepared.Row_.Wave_ = Wave;
  auto Listed = View_.ListedInstances_.find(Instance);
  if (Listed != View_.ListedInstances_.end())
    Prepared.Row_.OutGeneration_ = Listed->second.Generation_;
  addInstanceWrite(Prepared, View_.Instances_.at(Instance));
  return Change;
}

Result<FleetChange>
FleetTransitions::finishLeaving(const std::string &Instance) const {
  auto Change = prepareChange(Instance, InstancePhase::Leaving);
  if (!Change)
    return Change;
  FleetChange &Prepared = Change.value();
  if (Prepared.Row_.Target_.empty()) {
    Prepared.Row_.Phase_ = InstancePhase::Out;
    addInstanceWrite(Prepared, View_.Instances_.at(Instance));
    return Change;
  }
  PoolRow From = poolRow(Prepared.Row_.Pool_);
  From.Members_.erase(Instance);
  From.OutOfService_.erase(Instance);
  Prepared.Writes_.push_back(makePoolWrite(Prepared.Row_.Pool_, From));
  PoolRow To = poolRow(Prepared.Row_.Target_);
  To.Members_.insert(Instance);
  Prepared.Writes_.push_back(makePoolWrite(Prepared.Row_.Target_, To));
  Prepared.Row_.Pool_ = std::exchange(Prepared.Row_.Target_, {});
  Prepared.Row_.Phase_ = InstancePhase::Serving;
  addInstanceWrite(Prepared, View_.Instances_.at(Instance));
  return Change;
}

Result<FleetChange>
FleetTransitions::returnToService(const std::string &Instance) const {
  auto Change = prepareChange(Instance, InstancePhase::Out);
  if (!Change)
    return Change;
  FleetChange &Prepared = Change.value();
  PoolRow Row = poolRow(Prepared.Row_.Pool_);
  Row.OutOfService_.erase(Instance);
  Prepared.Writes_.push_back(makePoolWrite(Prepared.Row_.Pool_, Row));
  Prepared.Row_.Phase_ = InstancePhase::Serving;
  addInstanceWrite(Prepared, View_.Instances_.at(Instance));
  return Change;
}

} // namespace dragonflylock
