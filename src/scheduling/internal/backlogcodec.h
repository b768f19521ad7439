#ifndef DRAGONFLYLOCK_SCHEDULING_INTERNAL_BACKLOGCODEC_H
#define DRAGONFLYLOCK_SCHEDULING_INTERNAL_BACKLOGCODEC_H

#include "admission/poolbacklog.h"

#include <nlohmann/json_fwd.hpp>

#include <optional>

namespace dragonflylock::backlogcodec {

/// \returns the backlog as it is stored in a pool's pending row.
nlohmann::json encode(const PoolBacklog &Backlog);
/// \returns the backlog, or nothing if it cannot be decoded. A pending row
/// without a readable backlog still holds the counts.
std::optional<PoolBacklog> decode(const nlohmann::json &Source);

} // namespace dragonflylock::backlogcodec

#endif
