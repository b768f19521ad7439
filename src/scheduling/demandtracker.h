#ifndef DRAGONFLYLOCK_SCHEDULING_DEMANDTRACKER_H
#define DRAGONFLYLOCK_SCHEDULING_DEMANDTRACKER_H

#include "scheduling/controlrows.h"
#include "scheduling/storetypes.h"

#include <map>
#include <string>

namespace dragonflylock {

/// What a pool's demand row says, and its version.
struct PoolDemand {
  DemandRow Row_;
  StoreVersion Version_ = 0;
};

/// Knows which pools ask for machines, from the control rows. A pool's owner
/// writes what the pool lacks; whoever gives machines takes them off the row
/// under its version, so that two givers do not give for the same lack.
class DemandTracker {
public:
  /// Takes in the row of a pool.
  void onRow(const std::string &Pool, const StoreRow &Row);
  /// Notes a row that this node has written.
  void onStored(const std::string &Pool, DemandRow Row, StoreVersion Version);
  /// \returns the pool's demand; an empty one where it has no row.
  const PoolDemand &demandOf(const std::string &Pool) const;
  /// \returns the pool that lacks most machines, other than \p Pool; empty
  /// where none lacks any.
  std::string poolWithLargestDemand(const std::string &Pool) const;

private:
  std::map<std::string, PoolDemand> Demands_;
};

} // namespace dragonflylock

#endif
