#ifndef DRAGONFLYLOCK_ROUTING_IINSTANCESELECTOR_H
#define DRAGONFLYLOCK_ROUTING_IINSTANCESELECTOR_H

#include "global/iclock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace dragonflylock {

struct InstanceLoad;

/// Selects the instance that a request is offered to.
class IInstanceSelector {
public:
  virtual ~IInstanceSelector() = default;
  /// \param Candidates the eligible instances of the pool.
  /// \param Excluded ids of the instances at which this request has failed;
  /// they are not selected.
  /// \param SlotLimit maximum number of outstanding offers at one instance.
  /// \returns the selected instance, or null if none can take the request.
  virtual InstanceLoad *select(const std::vector<InstanceLoad *> &Candidates,
                               const std::vector<std::string> &Excluded,
                               std::uint64_t SlotLimit, TimePoint Now) = 0;
};

} // namespace dragonflylock

#endif
