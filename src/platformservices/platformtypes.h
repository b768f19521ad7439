#ifndef DRAGONFLYLOCK_PLATFORMSERVICES_PLATFORMTYPES_H
#define DRAGONFLYLOCK_PLATFORMSERVICES_PLATFORMTYPES_H

#include "global/socketaddress.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace dragonflylock {

/// Names one row of the table service.
struct RowKey {
  std::string Table_;
  std::string Key_;

  bool operator==(const RowKey &) const = default;
  auto operator<=>(const RowKey &) const = default;
};

/// Version of a row; each write of the row gives it a higher one.
using RowVersion = std::uint64_t;
/// Revision of a whole table; each write to the table gives it a higher one.
using TableRevision = std::uint64_t;

/// A row as it was read.
struct TableRow {
  std::string Key_;
  RowVersion Version_ = 0;
  /// JSON text.
  std::string Value_;
};

/// What a row has to be for a write to take effect.
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
  /// The new JSON text; absent where the row is deleted.
  std::optional<std::string> Value_;
};

/// The changes of a table since a revision.
struct TableChanges {
  TableRevision Revision_ = 0;
  /// Whether Rows_ holds the whole table rather than its changes.
  bool IsSnapshot_ = false;
  std::vector<TableRow> Rows_;
  std::vector<std::string> Deleted_;
};

/// Whether an instance stays or is on its way out.
enum class InstanceState { Live, Leaving };

/// An instance as the platform lists it.
struct ListedInstance {
  std::string Id_;
  SocketAddress Address_;
  std::string Zone_;
  std::string Rack_;
  InstanceState State_ = InstanceState::Live;
  /// Higher after each restart or replacement of the instance.
  std::uint64_t Generation_ = 0;

  bool operator==(const ListedInstance &) const = default;
};

/// The platform's list of instances, which lags behind.
struct InstanceList {
  /// How old the list was when it was served.
  std::chrono::milliseconds Age_{0};
  std::vector<ListedInstance> Instances_;
  /// Equal for equal lists; empty where the platform states none.
  std::string Tag_;
};

/// Acts that the platform performs on an instance.
enum class InstanceAction { Drain, Reboot, Checkpoint, Throttle, Stop };

} // namespace dragonflylock

#endif
