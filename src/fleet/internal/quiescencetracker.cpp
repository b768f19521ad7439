#include "fleet/quiescencetracker.h"
#include "fleet/fleettypes.h"
#include "routing/instancetypes.h"

namespace dragonflylock {
namespace {

/// Allows for clocks that run at different rates.
constexpr std::chrono::seconds ClockMargin{1};

bool hasAcknowledged(const FleetView &View, const std::string &Instance,
                     const std::string &Entry, std::uint64_t Epoch) {
  auto ByEntry = View.AcknowledgedEpochs_.find(Instance);
  if (ByEntry == View.AcknowledgedEpochs_.end())
    return false;
  auto Found = ByEntry->second.find(Entry);
  return Found != ByEntry->second.end() && Found->second >= Epoch;
}

} // namespace

bool QuiescenceTracker::isQuiescent(const FleetView &View,
                                    const std::string &Instance,
                                    std::chrono::milliseconds Deadline,
                                    TimePoint Now) {
  std::uint64_t Epoch = View.Instances_.at(Instance).Value_.Epoch_;
  auto &[SeenEpoch, SeenAt] = FirstSeen_[Instance];
  if (SeenEpoch != Epoch) {
    SeenEpoch = Epoch;
    SeenAt = Now;
    // Entry instances that registered before the epoch was written are all in
    // the next view; later ones see the epoch before they act.
    return false;
  }
  auto Listed = View.ListedInstances_.find(Instance);
  if (Listed == View.ListedInstances_.end())
    return false;
  bool HasLeaseExpired = Now - SeenAt >= ViewLease + Deadline + ClockMargin;
  for (const auto &[Name, Entry] : View.Entries_) {
    if (hasAcknowledged(View, Instance, Name, Epoch))
      continue;
    bool IsOwnZone = Entry.Zone_ == Listed->second.Zone_;
    if (IsOwnZone || !HasLeaseExpired)
      return false;
  }
  return true;
}

} // namespace dragonflylock
