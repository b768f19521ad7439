#ifndef DRAGONFLYLOCK_FLEET_FLEETCODEC_H
#define DRAGONFLYLOCK_FLEET_FLEETCODEC_H

#include "fleet/fleettypes.h"
#include "global/result.h"

#include <string>
#include <utility>

namespace dragonflylock::fleetcodec {

/// \returns the row value; each `decode` returns PlatformErrc::BadAnswer for
/// other text.
std::string encode(const PoolRow &Row);
Result<PoolRow> decodePool(const std::string &Value);
std::string encode(const EntryRow &Row);
Result<EntryRow> decodeEntry(const std::string &Value);
std::string encode(const WaveRow &Row);
Result<WaveRow> decodeWave(const std::string &Value);

/// \returns the row key for an acknowledgement.
std::string acknowledgementKey(const std::string &Instance,
                               const std::string &Entry);
/// \returns instance and entry instance of such a key.
std::pair<std::string, std::string>
splitAcknowledgementKey(const std::string &Key);

/// \returns the name of \p State in rows and tables.
const char *nameOf(WaveState State);

} // namespace dragonflylock::fleetcodec

#endif
