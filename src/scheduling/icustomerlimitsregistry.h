#ifndef DRAGONFLYLOCK_SCHEDULING_ICUSTOMERLIMITSREGISTRY_H
#define DRAGONFLYLOCK_SCHEDULING_ICUSTOMERLIMITSREGISTRY_H

#include "global/iclock.h"
#include "scheduling/schedulingtypes.h"
#include "scheduling/storetypes.h"

#include <set>
#include <string>

namespace dragonflylock {

class CustomerUsage;
class ICustomerLimits;

/// The limits of customers, as enforced by one node for the pools that it owns.
/// Used only by the decision thread.
class ICustomerLimitsRegistry {
public:
  virtual ~ICustomerLimitsRegistry() = default;
  /// Called with each row of the control table that was read.
  virtual void onControlRow(const StoreRow &Row) = 0;
  virtual void onConfiguration(const SchedulingConfiguration &Applied) = 0;
  /// Called when this node has acquired a pool, before it starts anything.
  /// \returns the limits for the pool, which exist until onPoolLost().
  virtual ICustomerLimits *onPoolAcquired(const std::string &Pool,
                                          FencingToken Token) = 0;
  /// Called before each tick() once the jobs of an owned pool are loaded.
  /// \param Usage what the pool's customers run; read until onPoolLost().
  /// \param IsExact whether it is known which tasks previous owners may have
  ///   left running. Before, \p Usage counts all tasks that may be.
  virtual void onUsage(const std::string &Pool, const CustomerUsage &Usage,
                       bool IsExact) = 0;
  virtual void onPoolLost(const std::string &Pool) = 0;
  /// Writes the changes that are due. Must be called after each pass over the
  /// pools.
  /// \param ProvenAsOf all changes of the control table before this time have
  ///   been passed on.
  virtual void tick(TimePoint ProvenAsOf) = 0;
  /// \returns the pools in which starts may have become possible since the last
  /// call.
  virtual std::set<std::string> takeRaisedPools() = 0;
};

} // namespace dragonflylock

#endif
