#ifndef DRAGONFLYLOCK_FLEET_INSTANCEROWCODEC_H
#define DRAGONFLYLOCK_FLEET_INSTANCEROWCODEC_H

#include "global/result.h"
#include "routing/instancetypes.h"

#include <string>

namespace dragonflylock::instancerowcodec {

std::string encode(const InstanceRow &Row);
/// \returns the decoded row, or PlatformErrc::BadAnswer if \p Value is not a
/// valid row.
Result<InstanceRow> decode(const std::string &Value);

} // namespace dragonflylock::instancerowcodec

#endif
