#ifndef DRAGONFLYLOCK_SCHEDULING_INTERNAL_READLOG_H
#define DRAGONFLYLOCK_SCHEDULING_INTERNAL_READLOG_H

#include "scheduling/storetypes.h"

#include <chrono>
#include <string>

namespace dragonflylock {

class ILogger;

/// Logs failed reads of the store.
namespace readlog {

/// \param From the key at which the page starts.
/// \param Rows the number of rows requested.
/// \param Took the time since the request.
void logPageFailure(ILogger &Logger, const StoreKey &From, std::size_t Rows,
                    StoreOutcome Outcome, std::chrono::nanoseconds Took);
/// \param After the version after which changes were requested.
/// \param Took the time since the request.
void logChangesFailure(ILogger &Logger, const std::string &Table,
                       StoreVersion After, StoreOutcome Outcome,
                       std::chrono::nanoseconds Took);

} // namespace readlog
} // namespace dragonflylock

#endif
