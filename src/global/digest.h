#ifndef DRAGONFLYLOCK_GLOBAL_DIGEST_H
#define DRAGONFLYLOCK_GLOBAL_DIGEST_H

#include <initializer_list>
#include <string>
#include <string_view>

namespace dragonflylock {

/// \returns the SHA-256 digest of \p Parts in hexadecimal digits. Each part
/// counts with its length, so that moving a byte from one part to the next
/// changes the digest.
std::string digestOf(std::initializer_list<std::string_view> Parts);

/// \returns \p Bytes random bytes in hexadecimal digits.
std::string randomId(std::size_t Bytes);

} // namespace dragonflylock

#endif
