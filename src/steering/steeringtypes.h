#ifndef DRAGONFLYLOCK_STEERING_STEERINGTYPES_H
#define DRAGONFLYLOCK_STEERING_STEERINGTYPES_H

#include "configuration/configurationtypes.h"

#include <cstdint>
#include <optional>
#include <string>

namespace dragonflylock {

/// A change of configuration that an operator asks for.
struct ConfigurationChange {
  std::string Document_;
  /// The version that the change builds on; absent to build on any.
  std::optional<ConfigurationVersion> Expected_;
  /// Identifies the change, so that a repeat of it is recognised.
  std::string ChangeId_;
  std::string Operator_;
  std::string Reason_;
};

/// A configuration as the table service keeps it.
struct StoredConfiguration {
  ConfigurationVersion Version_ = 0;
  std::string Document_;
  std::string ChangeId_;
  std::string Operator_;
  std::string Reason_;
  /// Calendar time in milliseconds since 1970.
  std::int64_t AcceptedMs_ = 0;
};

/// One line of the audit trail.
struct AuditRecord {
  /// Calendar time in milliseconds since 1970.
  std::int64_t AtMs_ = 0;
  std::string Operator_;
  /// What was changed, for example "configuration".
  std::string Subject_;
  std::string Detail_;
  std::string ChangeId_;
};

} // namespace dragonflylock

#endif
