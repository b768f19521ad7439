#ifndef DRAGONFLYLOCK_TESTS_SYSTEM_FREEADDRESSES_H
#define DRAGONFLYLOCK_TESTS_SYSTEM_FREEADDRESSES_H

#include "global/socketaddress.h"

#include <cstddef>
#include <vector>

namespace dragonflylock {

/// \returns ports that were free just now, all different. They lie below the
/// range from which outgoing connections take theirs, in a block that depends
/// on the process, so that tests that run at a time do not collide.
std::vector<SocketAddress> freeAddresses(std::size_t Count);

} // namespace dragonflylock

#endif
