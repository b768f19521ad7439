#ifndef DRAGONFLYLOCK_PLATFORMSERVICES_JSONDECODING_H
#define DRAGONFLYLOCK_PLATFORMSERVICES_JSONDECODING_H

#include "global/result.h"
#include "platformservices/platformerrors.h"

#include <nlohmann/json.hpp>

#include <string>

namespace dragonflylock {

/// Decodes a value of type \p T from JSON text. Include this header only in
/// source files of codecs, since it includes the JSON library.
/// \param Read converts the parsed JSON to the value; exceptions by which the
/// library reports wrong types are caught here.
/// \param Remedy the advice given with the error for text that cannot be
/// decoded.
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
