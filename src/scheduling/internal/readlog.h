#ifndef DRAGONFLYLOCK_SCHEDULING_INTERNAL_READLOG_H
#define DRAGONFLYLOCK_SCHEDULING_INTERNAL_READLOG_H

#include "scheduling/storetypes.h"

#include <chrono>
#include <string>

namespace dragonflylock {

class ILogger;

/// Logs reads of the store that gave no rows.
namespace readlog {

/// \param From where the page starts.
/// \param Rows how many rows were asked for.
/// \param Took the time since the read was asked for.
void logPageFailure(ILogger &Logger, const StoreKey &From, std::size_t Rows,
                    StoreOutcome Outcome, std::chrono::nanoseconds Took);
/// \param After the version whose changes were asked for.
/// \param Took the time since the changes were asked for.
void logChangesFailure(ILogger &Logger, const std::string &Table,
                       StoreVersion After, StoreOutcome Outcome,
                       std::chrono::nanoseconds Took);

} // namespace readlog
} // namespace dragonflylock

#endif
