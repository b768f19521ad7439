#ifndef DRAGONFLYLOCK_ROUTING_INTERNAL_LEASTOUTSTANDINGSELECTOR_H
#define DRAGONFLYLOCK_ROUTING_INTERNAL_LEASTOUTSTANDINGSELECTOR_H

#include "routing/iinstanceselector.h"

namespace dragonflylock {

/// Chooses the instance with the fewest outstanding offers, in the own zone
/// where one has room.
class LeastOutstandingSelector : public IInstanceSelector {
public:
  /// \param Zone the zone of this entry instance.
  explicit LeastOutstandingSelector(std::string Zone);
  InstanceLoad *select(const std::vector<InstanceLoad *> &Candidates,
                       const std::vector<std::string> &Excluded,
                       std::uint64_t SlotLimit, TimePoint Now) override;

private:
  bool isBetter(const InstanceLoad &Left, const InstanceLoad &Right) const;

  std::string Zone_;
  /// Rotates the start of the search, so that ties are spread.
  std::size_t RotationOffset_ = 0;
};

} // namespace dragonflylock

#endif
