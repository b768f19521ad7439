#ifndef DRAGONFLYLOCK_CLAIMS_CLAIMCODEC_H
#define DRAGONFLYLOCK_CLAIMS_CLAIMCODEC_H

#include "claims/claimtypes.h"
#include "global/result.h"

#include <string>

namespace dragonflylock::claimcodec {

/// \returns \p Record encoded as a row value.
std::string encode(const ClaimRecord &Record);
/// \returns the decoded record, or PlatformErrc::BadAnswer if \p Value is
/// malformed.
Result<ClaimRecord> decode(const std::string &Value);

} // namespace dragonflylock::claimcodec

#endif
