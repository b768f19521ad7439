#ifndef DRAGONFLYLOCK_CLAIMS_CLAIMCODEC_H
#define DRAGONFLYLOCK_CLAIMS_CLAIMCODEC_H

#include "claims/claimtypes.h"
#include "global/result.h"

#include <string>

namespace dragonflylock::claimcodec {

/// \returns the row value for \p Record.
std::string encode(const ClaimRecord &Record);
/// \returns the record of a row value, or PlatformErrc::BadAnswer.
Result<ClaimRecord> decode(const std::string &Value);

} // namespace dragonflylock::claimcodec

#endif
