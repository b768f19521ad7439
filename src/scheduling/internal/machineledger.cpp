#include "scheduling/machineledger.h"
#include "scheduling/controlrows.h"

namespace dragonflylock {

void MachineLedger::onRow(const std::string &Machine, const StoreRow &Row) {
  LastOrder &Last = Orders_[Machine];
  if (Row.Version_ <= Last.Version_)
    return;
  Last = {Row.Value_, Row.Version_, Clock_.now()};
}

bool MachineLedger::mayOrder(const std::string &Machine,
                             std::chrono::milliseconds Lease) const {
  auto Found = Orders_.find(Machine);
  return Found == Orders_.end() || Found->second.Node_ == Node_ ||
         Clock_.now() >= Found->second.SeenAt_ + Lease;
}

void MachineLedger::announce(const std::string &Machine,
                             StoreTransaction &Into) const {
  auto Found = Orders_.find(Machine);
  StoreVersion Version = Found == Orders_.end() ? 0 : Found->second.Version_;
  StoreKey Row = controlrows::machine(Machine);
  Into.Expected_.push_back({Row, Version});
  Into.Puts_.push_back({Row, Node_});
}

void MachineLedger::onAnnounced(const std::string &Machine,
                                StoreVersion Version) {
  Orders_[Machine] = {Node_, Version, Clock_.now()};
}

} // namespace dragonflylock
