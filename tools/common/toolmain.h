#ifndef DRAGONFLYLOCK_TOOLS_COMMON_TOOLMAIN_H
#define DRAGONFLYLOCK_TOOLS_COMMON_TOOLMAIN_H

#include "global/socketaddress.h"

#include <string>
#include <vector>

namespace dragonflylock {

/// \returns the addresses of a list; ends the process with a message where
/// one is malformed.
std::vector<SocketAddress> parseAddresses(const std::string &Text);

/// Blocks SIGTERM and SIGINT in this thread and those it starts later.
void blockStopSignals();
/// Waits until SIGTERM or SIGINT comes.
void waitForStopSignal();

} // namespace dragonflylock

#endif
