#include "scheduling/demandboard.h"

namespace dragonflylock {

void DemandBoard::onRow(const std::string &Pool, const StoreRow &Row) {
  PoolDemand &Known = Demands_[Pool];
  if (Row.Version_ <= Known.Version_)
    return;
  Known.Version_ = Row.Version_;
  // An unreadable row asks for nothing; its version allows to replace it.
  Known.Row_ = controlrows::decodeDemand(Row.Value_).value_or(DemandRow{});
}

void DemandBoard::onStored(const std::string &Pool, DemandRow Row,
                           StoreVersion Version) {
  PoolDemand &Known = Demands_[Pool];
  if (Version <= Known.Version_)
    return;
  Known.Version_ = Version;
  Known.Row_ = std::move(Row);
}

const PoolDemand &DemandBoard::of(const std::string &Pool) const {
  static const PoolDemand None;
  auto Found = Demands_.find(Pool);
  return Found == Demands_.end() ? None : Found->second;
}

std::string DemandBoard::neediest(const std::string &Pool) const {
  std::string Neediest;
  std::uint32_t Most = 0;
  for (const auto &[Name, Demand] : Demands_) {
    if (Name == Pool || Demand.Row_.Missing_ <= Most)
      continue;
    Most = Demand.Row_.Missing_;
    Neediest = Name;
  }
  return Neediest;
}

} // namespace dragonflylock
