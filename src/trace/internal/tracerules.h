#ifndef DRAGONFLYLOCK_TRACE_INTERNAL_TRACERULES_H
#define DRAGONFLYLOCK_TRACE_INTERNAL_TRACERULES_H

#include "trace/itracerule.h"

#include <chrono>
#include <memory>

namespace dragonflylock::tracerules {

/// A request that is not idempotent runs at most once, and so does a key.
std::unique_ptr<ITraceRule> makeAtMostOnce();
/// A request that was answered "not-run" was not run.
std::unique_ptr<ITraceRule> makeNotRunIsTrue();
/// A caller gets one answer, from an instance that ran the request, and a
/// repeat gets the same answer.
/// \param HasInstanceRecords whether the trace holds the records of instances;
/// without them it cannot tell which instance ran a request.
std::unique_ptr<ITraceRule> makeOwnAnswer(bool HasInstanceRecords);
/// The version in force at an entry instance never falls, and was accepted.
std::unique_ptr<ITraceRule> makeConfigurationNeverReverts();
/// A leaving instance is offered nothing after \p Bound.
std::unique_ptr<ITraceRule>
makeLeavingReceivesNothing(std::chrono::milliseconds Bound);
/// An instance is offered requests of the pool its row names, and no other.
std::unique_ptr<ITraceRule> makeOnePool();
/// Enough instances of a pool stay in service.
std::unique_ptr<ITraceRule> makeAvailability();

} // namespace dragonflylock::tracerules

#endif
