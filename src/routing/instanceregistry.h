#ifndef DRAGONFLYLOCK_ROUTING_INSTANCEREGISTRY_H
#define DRAGONFLYLOCK_ROUTING_INSTANCEREGISTRY_H

#include "platformservices/platformtypes.h"
#include "routing/instancetypes.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace dragonflylock {

/// Merges the information about instances from three sources: the platform's
/// list, the rows that assign instances to pools, and messages of peers that
/// an instance is leaving.
class InstanceRegistry {
public:
  /// Applies a list from the platform. Entries with a lower generation than
  /// the known one are ignored.
  /// \returns the incarnations that are newly leaving or live.
  InstanceListChanges onList(const InstanceList &List);
  /// Applies a row, unless its epoch is not higher than that of the known row.
  void onRow(const std::string &Id, const InstanceRow &Row);
  /// Removes the known row after it was deleted from the store.
  void onRowDeleted(const std::string &Id);
  /// Marks an instance as leaving until the list shows it with a higher
  /// generation.
  /// \returns whether this generation was not yet known to be leaving.
  bool onLeaving(const InstanceIncarnation &Incarnation);

  /// \returns all known instances, keyed by id.
  const std::map<std::string, KnownInstance> &instances() const {
    return Instances_;
  }
  /// \returns whether \p Instance may receive new requests of its pool.
  static bool isEligible(const KnownInstance &Instance);
  /// \returns a counter that increases with each change to an instance.
  std::uint64_t revision() const { return Revision_; }

private:
  KnownInstance &findOrCreate(const std::string &Id);

  std::map<std::string, KnownInstance> Instances_;
  std::uint64_t Revision_ = 0;
};

} // namespace dragonflylock

#endif
