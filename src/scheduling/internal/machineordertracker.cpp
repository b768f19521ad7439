#include "scheduling/machineordertracker.h"
#include "scheduling/controlrows.h"

namespace dragonflylock {
namespace {

/// Maximum time for which an announced order counts as in flight. Covers the
/// responses of the store and of the platform together.
constexpr std::chrono::milliseconds MaxOrderDuration{4000};

} // namespace

void MachineOrderTracker::onRow(const std::string &Machine,
                                const StoreRow &Row) {
  LastOrder &Last = Orders_[Machine];
  if (Row.Version_ <= Last.Version_)
    return;
  Last.Node_ = Row.Value_;
  Last.Version_ = Row.Version_;
  Last.SeenAt_ = Clock_.now();
}

bool MachineOrderTracker::mayOrder(const std::string &Machine,
                                   std::chrono::milliseconds Lease,
                                   TimePoint ListedAt) const {
  auto Found = Orders_.find(Machine);
  if (Found == Orders_.end())
    return true;
  const LastOrder &Last = Found->second;
  const TimePoint Now = Clock_.now();
  if (Now < Last.BusyUntil_ || ListedAt < Last.SeenAt_)
    return false;
  return Last.Node_ == Node_ || Now >= Last.SeenAt_ + Lease + OrderWindow;
}

void MachineOrderTracker::announce(const std::string &Machine,
                                   StoreTransaction &Transaction) {
  LastOrder &Last = Orders_[Machine];
  Last.BusyUntil_ = Clock_.now() + MaxOrderDuration;
  StoreKey Row = controlrows::machine(Machine);
  Transaction.Expected_.push_back({Row, Last.Version_});
  Transaction.Puts_.push_back({Row, Node_});
}

void MachineOrderTracker::onAnnounced(const std::string &Machine,
                                      StoreVersion Version) {
  LastOrder &Last = Orders_[Machine];
  Last.Node_ = Node_;
  Last.Version_ = std::max(Last.Version_, Version);
  Last.SeenAt_ = Clock_.now();
}

void MachineOrderTracker::onOrderFinished(const std::string &Machine) {
  LastOrder &Last = Orders_[Machine];
  Last.BusyUntil_ = TimePoint();
  Last.SeenAt_ = Clock_.now();
}

void MachineOrderTracker::onOrderSkipped(const std::string &Machine) {
  Orders_[Machine].BusyUntil_ = TimePoint();
}

} // namespace dragonflylock
