#ifndef DRAGONFLYLOCK_PLATFORMSERVICES_PLATFORMTYPES_H
#define DRAGONFLYLOCK_PLATFORMSERVICES_PLATFORMTYPES_H

#include "global/socketaddress.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace dragonflylock {

/// Identifies a row of the table service.
struct RowKey {
  std::string Table_;
  std::string Key_;

  bool operator==(const RowKey &) const = default;
  auto operator<=>(const RowKey &) const = default;
};

/// Version of a row; increases with each write to the row.
using RowVersion = std::uint64_t;
/// Revision of a table; increases with each write to the table.
using TableRevision = std::uint64_t;

/// A row as it was read.
struct TableRow {
  std::string Key_;
  RowVersion Version_ = 0;
  /// JSON text.
  std::string Value_;
};

/// Precondition that a row must meet for a write to take effect.
struct RowCondition {
  enum class Kind { Any, Absent, AtVersion };
  Kind Kind_ = Kind::Any;
  RowVersion Version_ = 0;

  static RowCondition any() { return {Kind::Any, 0}; }
  static RowCondition absent() { return {Kind::Absent, 0}; }
  static RowCondition at(RowVersion Version) {
    return {Kind::AtVersion, Version};
  }
};

/// One write of a transaction.
struct RowWrite {
  RowKey Row_;
  RowCondition Condition_;
  /// The new JSON text; absent to delete the row.
  std::optional<std::string> Value_;
};

/// Changes of a table since a revision, or a snapshot of the table.
struct TableChanges {
  TableRevision Revision_ = 0;
  /// Whether Rows_ contains all rows of the table rather than the changed ones.
  bool IsSnapshot_ = false;
  std::vector<TableRow> Rows_;
  std::vector<std::string> Deleted_;
};

/// Whether an instance remains in service or is leaving it.
enum class InstanceState { Live, Leaving };

/// An instance as the platform lists it.
struct ListedInstance {
  std::string Id_;
  SocketAddress Address_;
  std::string Zone_;
  std::string Rack_;
  InstanceState State_ = InstanceState::Live;
  /// Increases with each restart or replacement of the instance.
  std::uint64_t Generation_ = 0;

  bool operator==(const ListedInstance &) const = default;
};

/// The platform's list of instances, which may be out of date by its age.
struct InstanceList {
  /// Age of the list when the platform served it.
  std::chrono::milliseconds Age_{0};
  std::vector<ListedInstance> Instances_;
  /// The list's HTTP entity tag, equal for equal lists; empty if the platform
  /// sent none.
  std::string Tag_;
};

/// Actions that the platform performs on an instance.
enum class InstanceAction { Drain, Reboot, Checkpoint, Throttle, Stop };

} // namespace dragonflylock

#endif
