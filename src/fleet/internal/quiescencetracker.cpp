#include "fleet/quiescencetracker.h"
#include "fleet/fleettypes.h"
#include "routing/instancetypes.h"

namespace dragonflylock {
namespace {

/// Margin for differences in clock rate between the controller and the entry
/// instances.
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
    // The next view contains every entry instance that registered before the
    // epoch was written. Entry instances that register later read the epoch
    // before they use the instance.
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
