#ifndef DRAGONFLYLOCK_STEERING_STEERINGTYPES_H
#define DRAGONFLYLOCK_STEERING_STEERINGTYPES_H

#include "configuration/configurationtypes.h"

#include <cstdint>
#include <optional>
#include <string>

namespace dragonflylock {

/// A configuration change that an operator requests.
struct ConfigurationChange {
  std::string Document_;
  /// The current version that the change requires; absent to apply the change
  /// to any version.
  std::optional<ConfigurationVersion> Expected_;
  /// Idempotency key: at most one change with an id is accepted.
  std::string ChangeId_;
  std::string Operator_;
  std::string Reason_;
};

/// An accepted configuration, as stored in the table service.
struct StoredConfiguration {
  ConfigurationVersion Version_ = 0;
  std::string Document_;
  std::string ChangeId_;
  std::string Operator_;
  std::string Reason_;
  /// Wall-clock time in milliseconds since the Unix epoch.
  std::int64_t AcceptedMs_ = 0;
};

/// One entry of the audit trail.
struct AuditRecord {
  /// Wall-clock time in milliseconds since the Unix epoch.
  std::int64_t AtMs_ = 0;
  std::string Operator_;
  /// What was changed, for example "configuration".
  std::string Subject_;
  std::string Detail_;
  std::string ChangeId_;
};

} // namespace dragonflylock

#endif
