#ifndef DRAGONFLYLOCK_ROUTING_INSTANCETYPES_H
#define DRAGONFLYLOCK_ROUTING_INSTANCETYPES_H

#include "platformservices/platformtypes.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace dragonflylock {

/// How long an entry instance may use the instances of other zones after it
/// last began to read their rows.
inline constexpr std::chrono::seconds ViewLease{10};

/// Whether an instance serves its pool.
enum class InstancePhase {
  Serving,
  /// It finishes its work before it moves or is maintained.
  Leaving,
  /// It is out of service for maintenance.
  Out,
};

/// The row that assigns an instance to a pool.
struct InstanceRow {
  std::string Pool_;
  /// Higher after each change of pool or phase.
  std::uint64_t Epoch_ = 0;
  InstancePhase Phase_ = InstancePhase::Serving;
  /// The pool that the instance moves to, where it leaves for one.
  std::string Target_;
  /// The last maintenance wave that the instance took part in.
  std::string Wave_;
  /// The instance's generation when it was taken out for maintenance.
  std::uint64_t OutGeneration_ = 0;
  /// Calendar time in milliseconds since 1970 of the last change.
  std::int64_t ChangedMs_ = 0;

  bool operator==(const InstanceRow &) const = default;
};

/// Says that one generation of an instance takes no new work.
struct InstanceIncarnation {
  std::string Id_;
  std::uint64_t Generation_ = 0;

  bool operator==(const InstanceIncarnation &) const = default;
};

/// What a list of the platform shows for the first time.
struct InstanceListChanges {
  /// Instances that are newly leaving.
  std::vector<InstanceIncarnation> Leaving_;
  /// Generations of instances that are newly live.
  std::vector<InstanceIncarnation> Live_;
};

/// All that an entry instance knows of one instance.
struct KnownInstance {
  std::optional<ListedInstance> Listed_;
  std::optional<InstanceRow> Row_;
  /// The highest generation that is known to be leaving.
  std::optional<std::uint64_t> LeavingGeneration_;
};

/// \returns the name of \p Phase in rows and tables.
const char *nameOf(InstancePhase Phase);
/// \returns the phase of that name; Out for unknown names, so that an
/// instance in a phase of a later program receives no work.
InstancePhase instancePhaseOf(const std::string &Name);

} // namespace dragonflylock

#endif
