#ifndef DRAGONFLYLOCK_PLATFORMSERVICES_PLATFORMCODEC_H
#define DRAGONFLYLOCK_PLATFORMSERVICES_PLATFORMCODEC_H

#include "global/result.h"
#include "platformservices/platformtypes.h"

#include <string>
#include <string_view>
#include <vector>

namespace dragonflylock {

/// Encodes and decodes the JSON bodies of the platform's protocol, which
/// docs/PLATFORM.md describes. Each `decode` function returns
/// PlatformErrc::BadAnswer for text that it cannot decode.
namespace platformcodec {

std::string encodeWrites(const std::vector<RowWrite> &Writes);
Result<std::vector<RowWrite>> decodeWrites(const std::string &Body);

std::string encodeVersions(const std::vector<RowVersion> &Versions);
Result<std::vector<RowVersion>> decodeVersions(const std::string &Body);

std::string encodeChanges(const TableChanges &Changes);
Result<TableChanges> decodeChanges(const std::string &Body);

std::string encodeInstance(const ListedInstance &Instance);
Result<ListedInstance> decodeInstance(const std::string &Body);

std::string encodeInstances(const InstanceList &List);
Result<InstanceList> decodeInstances(const std::string &Body);

/// \returns the path segment for \p Action, for example "drain".
const char *nameOf(InstanceAction Action);
/// \returns the action with the path segment \p Name, or
/// PlatformErrc::NotFound.
Result<InstanceAction> actionOf(std::string_view Name);

} // namespace platformcodec
} // namespace dragonflylock

#endif
