#ifndef DRAGONFLYLOCK_ENTRY_INTERNAL_FAILUREANSWER_H
#define DRAGONFLYLOCK_ENTRY_INTERNAL_FAILUREANSWER_H

#include "http/httptypes.h"
#include "routing/routingtypes.h"

#include <string>

namespace dragonflylock {

/// Names of header fields that dragonflylock adds.
namespace headers {
inline constexpr const char *RequestId = "Dragonflylock-Request-Id";
inline constexpr const char *Outcome = "Dragonflylock-Outcome";
inline constexpr const char *Replayed = "Dragonflylock-Replayed";
} // namespace headers

/// \returns the problem document (RFC 9457) for a failed request.
HttpAnswer failureAnswer(RoutingErrc Kind, Outcome Result,
                         const std::string &RequestId);

} // namespace dragonflylock

#endif
