#ifndef DRAGONFLYLOCK_CLI_INTERNAL_LOCALCHECKS_H
#define DRAGONFLYLOCK_CLI_INTERNAL_LOCALCHECKS_H

#include "global/result.h"

#include <cstddef>
#include <string>
#include <vector>

namespace dragonflylock::localchecks {

/// \returns the content of a file, or CliErrc::Usage.
Result<std::string> readFile(const std::string &Path);
/// Checks configuration documents without a daemon.
/// \returns CliErrc::Refused with all faults of all files.
Result<void> checkConfigurations(const std::vector<std::string> &Paths);
/// Decides the promises from the joined traces of several processes.
/// \returns the number of events, or CliErrc::PromiseBroken.
Result<std::size_t> checkTraces(const std::vector<std::string> &Paths);

} // namespace dragonflylock::localchecks

#endif
