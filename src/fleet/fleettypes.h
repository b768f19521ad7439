#ifndef DRAGONFLYLOCK_FLEET_FLEETTYPES_H
#define DRAGONFLYLOCK_FLEET_FLEETTYPES_H

#include "platformservices/platformtypes.h"
#include "routing/instancetypes.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace dragonflylock {

/// The row of a pool: what counts against its availability budget. Every
/// transaction that changes a member's pool or phase writes it, so that two
/// controllers cannot spend the same budget.
struct PoolRow {
  /// All instances of the pool.
  std::set<std::string> Members_;
  /// Members that are not in service by decision.
  std::set<std::string> OutOfService_;
};

/// The row of an entry instance that acts on its zone's instances.
struct EntryRow {
  std::string Zone_;
  /// Different for each start of the process.
  std::string BootId_;
};

/// Whether a maintenance wave takes instances out.
enum class WaveState { Running, Halted, Done };

/// The row of the maintenance wave.
struct WaveRow {
  std::string Id_;
  WaveState State_ = WaveState::Done;
  std::string Operator_;
  /// Why the wave was started, or halted.
  std::string Reason_;
  std::int64_t StartedMs_ = 0;
};

/// A row as it was read.
template <typename T> struct Versioned {
  T Value_;
  RowVersion Version_ = 0;
};

/// All rows about the fleet, as read from the table service.
struct FleetView {
  std::map<std::string, Versioned<InstanceRow>> Instances_;
  std::map<std::string, Versioned<PoolRow>> Pools_;
  std::map<std::string, EntryRow> Entries_;
  /// The highest epoch that each entry instance has acknowledged, by instance
  /// and entry.
  std::map<std::string, std::map<std::string, std::uint64_t>>
      AcknowledgedEpochs_;
  Versioned<WaveRow> Wave_;
  /// The platform's list, by instance.
  std::map<std::string, ListedInstance> ListedInstances_;
};

} // namespace dragonflylock

#endif
