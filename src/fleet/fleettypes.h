#ifndef DRAGONFLYLOCK_FLEET_FLEETTYPES_H
#define DRAGONFLYLOCK_FLEET_FLEETTYPES_H

#include "platformservices/platformtypes.h"
#include "routing/instancetypes.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace dragonflylock {

/// The row of a pool, from which its availability budget is computed. Every
/// transaction that adds or removes a member, takes one out of service or
/// returns it writes this row, so that two controllers cannot spend the same
/// budget.
struct PoolRow {
  /// All instances of the pool, in service or not.
  std::set<std::string> Members_;
  /// Members that are leaving or under maintenance.
  std::set<std::string> OutOfService_;
};

/// The registration of an entry instance, which uses the instances of its own
/// zone without a lease.
struct EntryRow {
  std::string Zone_;
  /// Unique to each start of the process.
  std::string BootId_;
};

/// The state of a maintenance wave. Only a running wave takes instances out of
/// service.
enum class WaveState { Running, Halted, Done };

/// The row of the maintenance wave.
struct WaveRow {
  std::string Id_;
  WaveState State_ = WaveState::Done;
  std::string Operator_;
  /// Why the wave was last started, halted or resumed.
  std::string Reason_;
  std::int64_t StartedMs_ = 0;
};

/// A decoded row with the version at which it was read.
template <typename T> struct Versioned {
  T Value_;
  RowVersion Version_ = 0;
};

/// The fleet's rows as read from the table service, and the platform's list of
/// instances.
struct FleetView {
  std::map<std::string, Versioned<InstanceRow>> Instances_;
  std::map<std::string, Versioned<PoolRow>> Pools_;
  std::map<std::string, EntryRow> Entries_;
  /// The highest epoch that each entry instance has acknowledged, by instance
  /// and entry instance.
  std::map<std::string, std::map<std::string, std::uint64_t>>
      AcknowledgedEpochs_;
  Versioned<WaveRow> Wave_;
  /// The platform's list of instances, by id.
  std::map<std::string, ListedInstance> ListedInstances_;
};

} // namespace dragonflylock

#endif
