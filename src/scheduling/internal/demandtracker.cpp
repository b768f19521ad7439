#include "scheduling/demandtracker.h"

namespace dragonflylock {

void DemandTracker::onRow(const std::string &Pool, const StoreRow &Row) {
  PoolDemand &Known = Demands_[Pool];
  if (Row.Version_ <= Known.Version_)
    return;
  Known.Version_ = Row.Version_;
  // An unreadable row counts as no demand. Its version is kept, so that the
  // row can be overwritten.
  Known.Row_ = controlrows::decodeDemand(Row.Value_).value_or(DemandRow{});
}

void DemandTracker::onStored(const std::string &Pool, DemandRow Row,
                             StoreVersion Version) {
  PoolDemand &Known = Demands_[Pool];
  if (Version <= Known.Version_)
    return;
  Known.Version_ = Version;
  Known.Row_ = std::move(Row);
}

const PoolDemand &DemandTracker::demandOf(const std::string &Pool) const {
  static const PoolDemand EmptyDemand;
  auto Found = Demands_.find(Pool);
  return Found == Demands_.end() ? EmptyDemand : Found->second;
}

std::string
DemandTracker::poolWithLargestDemand(const std::string &Pool) const {
  std::string Largest;
  std::uint32_t LargestMissing = 0;
  for (const auto &[Name, Demand] : Demands_) {
    if (Name == Pool || Demand.Row_.Missing_ <= LargestMissing)
      continue;
    LargestMissing = Demand.Row_.Missing_;
    Largest = Name;
  }
  return Largest;
}

} // namespace dragonflylock
