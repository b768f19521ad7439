#ifndef DRAGONFLYLOCK_ROUTING_INSTANCETYPES_H
#define DRAGONFLYLOCK_ROUTING_INSTANCETYPES_H

#include "platformservices/platformtypes.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace dragonflylock {

/// How long an entry instance may use the instances of other zones, counted
/// from the start of its last complete read of the instance rows.
inline constexpr std::chrono::seconds ViewLease{10};

/// Phase of an instance in its pool.
enum class InstancePhase {
  Serving,
  /// The instance finishes its work before it moves or is maintained.
  Leaving,
  /// The instance is out of service for maintenance.
  Out,
};

/// The row that assigns an instance to a pool.
struct InstanceRow {
  std::string Pool_;
  /// Increases with each change of pool or phase.
  std::uint64_t Epoch_ = 0;
  InstancePhase Phase_ = InstancePhase::Serving;
  /// The pool that the instance is moving to; empty if it is not moving.
  std::string Target_;
  /// The last maintenance wave that the instance took part in.
  std::string Wave_;
  /// The instance's generation when it was taken out for maintenance.
  std::uint64_t OutGeneration_ = 0;
  /// Wall-clock time of the last change, in milliseconds since 1970.
  std::int64_t ChangedMs_ = 0;

  bool operator==(const InstanceRow &) const = default;
};

/// One generation of an instance. In a peer's message, it states that this
/// generation takes no new work.
struct InstanceIncarnation {
  std::string Id_;
  std::uint64_t Generation_ = 0;

  bool operator==(const InstanceIncarnation &) const = default;
};

/// Changes that a list of the platform brought.
struct InstanceListChanges {
  /// Incarnations that were not yet known to be leaving.
  std::vector<InstanceIncarnation> Leaving_;
  /// Live incarnations whose list entry is new or changed.
  std::vector<InstanceIncarnation> Live_;
};

/// What an entry instance knows about one instance.
struct KnownInstance {
  std::optional<ListedInstance> Listed_;
  std::optional<InstanceRow> Row_;
  /// The highest generation that is known to be leaving.
  std::optional<std::uint64_t> LeavingGeneration_;
};

/// \returns the name of \p Phase in rows and tables.
const char *nameOf(InstancePhase Phase);
/// \returns the phase with this name; Out for unknown names, so that an
/// instance in a phase that only a newer version knows receives no work.
InstancePhase instancePhaseOf(const std::string &Name);

} // namespace dragonflylock

#endif
