#ifndef DRAGONFLYLOCK_GLOBAL_BASE64_H
#define DRAGONFLYLOCK_GLOBAL_BASE64_H

#include <cstdint>
#include <string>
#include <vector>

namespace dragonflylock {

/// \returns \p Bytes in base64, for rows whose values are text.
std::string toBase64(const std::vector<std::uint8_t> &Bytes);
/// \returns the bytes of \p Text; empty where it is not base64.
std::vector<std::uint8_t> fromBase64(const std::string &Text);

} // namespace dragonflylock

#endif
