#ifndef DRAGONFLYLOCK_SCHEDULING_DEMANDTRACKER_H
#define DRAGONFLYLOCK_SCHEDULING_DEMANDTRACKER_H

#include "scheduling/controlrows.h"
#include "scheduling/storetypes.h"

#include <map>
#include <string>

namespace dragonflylock {

/// A pool's demand row and its version.
struct PoolDemand {
  DemandRow Row_;
  StoreVersion Version_ = 0;
};

/// Tracks which pools request machines, from the control rows. A pool's owner
/// writes the number of missing machines. An owner that grants machines
/// subtracts them from the row on condition of the row's version, so that two
/// owners do not grant machines for the same demand.
class DemandTracker {
public:
  /// Updates the demand from a pool's row.
  void onRow(const std::string &Pool, const StoreRow &Row);
  /// Records a row that this node has written.
  void onStored(const std::string &Pool, DemandRow Row, StoreVersion Version);
  /// \returns the pool's demand; an empty one if the pool has no row.
  const PoolDemand &demandOf(const std::string &Pool) const;
  /// \returns the pool other than \p Pool that lacks the most machines; empty
  /// if none lacks any.
  std::string poolWithLargestDemand(const std::string &Pool) const;

private:
  std::map<std::string, PoolDemand> Demands_;
};

} // namespace dragonflylock

#endif
