#ifndef DRAGONFLYLOCK_ROUTING_INSTANCEREGISTRY_H
#define DRAGONFLYLOCK_ROUTING_INSTANCEREGISTRY_H

#include "platformservices/platformtypes.h"
#include "routing/instancetypes.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace dragonflylock {

/// Merges what is known of the instances: the platform's list, the rows that
/// assign them to pools, and the word of peers that one is leaving.
class InstanceRegistry {
public:
  /// Takes over a list from the platform.
  /// \returns what the list shows for the first time.
  InstanceListChanges onList(const InstanceList &List);
  /// Takes over a row; one of a lower epoch than the known one is ignored.
  void onRow(const std::string &Id, const InstanceRow &Row);
  /// Takes over that a row was deleted.
  void onRowDeleted(const std::string &Id);
  /// Takes over that an instance is leaving. It holds until the list shows
  /// the instance with a higher generation.
  /// \returns whether this was news.
  bool onLeaving(const InstanceIncarnation &Incarnation);

  /// \returns all known instances by id.
  const std::map<std::string, KnownInstance> &instances() const {
    return Instances_;
  }
  /// \returns whether \p Instance may receive new requests of its pool.
  static bool isEligible(const KnownInstance &Instance);
  /// \returns a number that changes whenever an instance changes.
  std::uint64_t revision() const { return Revision_; }

private:
  KnownInstance &findOrCreate(const std::string &Id);

  std::map<std::string, KnownInstance> Instances_;
  std::uint64_t Revision_ = 0;
};

} // namespace dragonflylock

#endif
