#ifndef DRAGONFLYLOCK_FLEET_FLEETCODEC_H
#define DRAGONFLYLOCK_FLEET_FLEETCODEC_H

#include "fleet/fleettypes.h"
#include "global/result.h"

#include <string>
#include <utility>

namespace dragonflylock::fleetcodec {

/// Encode and decode row values. Each decode function returns
/// PlatformErrc::BadAnswer for a value that it cannot parse.
std::string encode(const PoolRow &Row);
Result<PoolRow> decodePool(const std::string &Value);
std::string encode(const EntryRow &Row);
Result<EntryRow> decodeEntry(const std::string &Value);
std::string encode(const WaveRow &Row);
Result<WaveRow> decodeWave(const std::string &Value);

/// \returns the row key of the acknowledgement of \p Instance by the entry
/// instance \p Entry.
std::string acknowledgementKey(const std::string &Instance,
                               const std::string &Entry);
/// \returns the instance and the entry instance of an acknowledgement key; the
/// entry is empty if the key has no separator.
std::pair<std::string, std::string>
splitAcknowledgementKey(const std::string &Key);

/// \returns the name of \p State in row values and in operator output.
const char *nameOf(WaveState State);

} // namespace dragonflylock::fleetcodec

#endif
