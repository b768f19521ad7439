#ifndef DRAGONFLYLOCK_OPERATORS_INTERNAL_OPERATORJSON_H
#define DRAGONFLYLOCK_OPERATORS_INTERNAL_OPERATORJSON_H

#include "global/error.h"
#include "global/result.h"
#include "http/httptypes.h"
#include "steering/steeringtypes.h"

#include <string>
#include <vector>

namespace dragonflylock {

struct EntrySnapshot;
struct FleetView;

/// The JSON bodies of the operators' API.
namespace operatorjson {

/// \returns a problem document (RFC 9457).
HttpAnswer problem(int Status, const std::string &Kind,
                   const std::string &Detail, const std::string &Remedy);
/// \returns the problem document for \p Failure, with a status by its kind.
HttpAnswer problem(const Error &Failure);
/// \returns a problem document that lists all faults of a document.
HttpAnswer faults(const std::vector<Error> &Faults);

/// \returns 200 with the accepted version.
HttpAnswer accepted(ConfigurationVersion Version);
/// \returns 200 with the configuration in force.
HttpAnswer configuration(const EntrySnapshot &Snapshot);
/// \returns 200 with the version in force at this instance and its peers.
HttpAnswer status(const EntrySnapshot &Snapshot);
/// \returns 200 with the exceptions in force.
HttpAnswer exceptions(const EntrySnapshot &Snapshot);
/// \returns 200 with the pools, their settings and instances.
HttpAnswer pools(const EntrySnapshot &Snapshot);
/// \returns 200 with the instances.
HttpAnswer instances(const EntrySnapshot &Snapshot);
/// \returns 200 with audit records.
HttpAnswer audit(const std::vector<AuditRecord> &Records);
/// \returns 200 with accepted configurations, without their documents.
HttpAnswer history(const std::vector<StoredConfiguration> &Accepted);

/// \returns 200, or the problem document of the failure.
HttpAnswer done(const Result<void> &Outcome);
/// \returns the problem document where no configuration is in force.
HttpAnswer notConfigured();
/// \returns 200 with the wave and how each pool's instances stand.
HttpAnswer maintenance(const FleetView &View);

/// \returns the exception that \p Body describes; missing parts are empty.
ConfigurationException exceptionFrom(const std::string &Body);

} // namespace operatorjson
} // namespace dragonflylock

#endif
