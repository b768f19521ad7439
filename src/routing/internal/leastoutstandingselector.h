#ifndef DRAGONFLYLOCK_ROUTING_INTERNAL_LEASTOUTSTANDINGSELECTOR_H
#define DRAGONFLYLOCK_ROUTING_INTERNAL_LEASTOUTSTANDINGSELECTOR_H

#include "routing/iinstanceselector.h"

namespace dragonflylock {

/// Selects the instance with the fewest outstanding offers. Instances in the
/// entry instance's own zone take precedence while one of them has a free
/// slot.
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
  /// Start of the search; rotates with each call, so that instances with equal
  /// load are selected in turn.
  std::size_t RotationOffset_ = 0;
};

} // namespace dragonflylock

#endif
