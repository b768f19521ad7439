#ifndef DRAGONFLYLOCK_PLATFORMSERVICES_JSONDECODING_H
#define DRAGONFLYLOCK_PLATFORMSERVICES_JSONDECODING_H

#include "global/result.h"
#include "platformservices/platformerrors.h"

#include <nlohmann/json.hpp>

#include <string>

namespace dragonflylock {

/// Reads a value of type \p T from JSON text. For codecs' source files only,
/// since it brings the JSON library in.
/// \param Read makes the value of the parsed text; the library reports wrong
/// types by exceptions, which end here.
/// \param Remedy what to do about text that cannot be read.
/// \returns the value, or PlatformErrc::BadAnswer.
template <typename T, typename Reader>
Result<T> decodeJson(const std::string &Text, Reader Read,
                     const char *Remedy = "correct the damaged row") {
  try {
    return Read(nlohmann::json::parse(Text));
  } catch (const nlohmann::json::exception &Failure) {
    return Error(PlatformErrc::BadAnswer, Failure.what(), Remedy);
  }
}

} // namespace dragonflylock

#endif
