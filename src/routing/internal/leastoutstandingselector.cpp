#include "routing/internal/leastoutstandingselector.h"
#include "routing/instanceload.h"

#include <algorithm>

namespace dragonflylock {

LeastOutstandingSelector::LeastOutstandingSelector(std::string Zone)
    : Zone_(std::move(Zone)) {}

bool LeastOutstandingSelector::isBetter(const InstanceLoad &Left,
                                        const InstanceLoad &Right) const {
  bool IsLeftInZone = Left.Zone_ == Zone_;
  bool IsRightInZone = Right.Zone_ == Zone_;
  if (IsLeftInZone != IsRightInZone)
    return IsLeftInZone;
  return Left.Outstanding_ < Right.Outstanding_;
}

InstanceLoad *
LeastOutstandingSelector::select(const std::vector<InstanceLoad *> &Candidates,
                                 const std::vector<std::string> &Excluded,
                                 std::uint64_t SlotLimit, TimePoint Now) {
  InstanceLoad *Best = nullptr;
  ++RotationOffset_;
  for (std::size_t Index = 0; Index < Candidates.size(); ++Index) {
    InstanceLoad *Each =
        Candidates[(Index + RotationOffset_) % Candidates.size()];
    if (Each->Outstanding_ >= SlotLimit || Now < Each->BackoffUntil_)
      continue;
    if (std::find(Excluded.begin(), Excluded.end(), Each->Id_) !=
        Excluded.end())
      continue;
    if (Best == nullptr || isBetter(*Each, *Best))
      Best = Each;
  }
  return Best;
}

} // namespace dragonflylock
