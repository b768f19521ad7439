#ifndef DRAGONFLYLOCK_FLEET_INSTANCEROWCODEC_H
#define DRAGONFLYLOCK_FLEET_INSTANCEROWCODEC_H

#include "global/result.h"
#include "routing/instancetypes.h"

#include <string>

namespace dragonflylock::instancerowcodec {

/// \returns the row value for \p Row.
std::string encode(const InstanceRow &Row);
/// \returns the row of a value, or PlatformErrc::BadAnswer.
Result<InstanceRow> decode(const std::string &Value);

} // namespace dragonflylock::instancerowcodec

#endif
