#ifndef DRAGONFLYLOCK_STEERING_STEERINGCODEC_H
#define DRAGONFLYLOCK_STEERING_STEERINGCODEC_H

#include "global/result.h"
#include "steering/steeringtypes.h"

#include <string>

namespace dragonflylock::steeringcodec {

/// \returns the row value for \p Stored.
std::string encode(const StoredConfiguration &Stored);
/// \returns the configuration of a row value, or PlatformErrc::BadAnswer.
Result<StoredConfiguration> decodeConfiguration(const std::string &Value);

/// \returns the row value for \p Record.
std::string encode(const AuditRecord &Record);
/// \returns the audit record of a row value, or PlatformErrc::BadAnswer.
Result<AuditRecord> decodeAudit(const std::string &Value);

/// \returns a row key; keys sort by the time of their records.
std::string auditKey(const AuditRecord &Record);
/// \returns a row key; keys sort by version.
std::string historyKey(ConfigurationVersion Version);

} // namespace dragonflylock::steeringcodec

#endif
