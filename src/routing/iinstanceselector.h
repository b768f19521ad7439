#ifndef DRAGONFLYLOCK_ROUTING_IINSTANCESELECTOR_H
#define DRAGONFLYLOCK_ROUTING_IINSTANCESELECTOR_H

#include "global/iclock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace dragonflylock {

struct InstanceLoad;

/// Chooses the instance that a request is offered to.
class IInstanceSelector {
public:
  virtual ~IInstanceSelector() = default;
  /// \param Candidates the eligible instances of the pool.
  /// \param Excluded ids of instances that failed this request.
  /// \param SlotLimit requests that an instance may have at a time.
  /// \returns the chosen one, or null where none has room.
  virtual InstanceLoad *select(const std::vector<InstanceLoad *> &Candidates,
                               const std::vector<std::string> &Excluded,
                               std::uint64_t SlotLimit, TimePoint Now) = 0;
};

} // namespace dragonflylock

#endif
