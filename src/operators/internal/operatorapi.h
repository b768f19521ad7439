#ifndef DRAGONFLYLOCK_OPERATORS_INTERNAL_OPERATORAPI_H
#define DRAGONFLYLOCK_OPERATORS_INTERNAL_OPERATORAPI_H

#include "fleet/fleetcontroller.h"
#include "http/httptypes.h"
#include "steering/configurationstore.h"

#include <functional>
#include <optional>
#include <string>

namespace dragonflylock {

class FleetConfiguration;
class IClock;
class IConfigurationParser;
class IEntryView;
class IPlatform;
class ITraceSink;
struct EntrySnapshot;

/// The operators' API: answers one request at a time, and waits for the
/// platform where it must.
class OperatorApi {
public:
  /// All must outlive the API.
  OperatorApi(IPlatform &Platform, const IConfigurationParser &Parser,
              const IClock &Clock, IEntryView &View, ITraceSink &Trace);

  /// \returns the answer to \p Request.
  HttpAnswer answer(const HttpRequest &Request);

private:
  using Handler = HttpAnswer (OperatorApi::*)(const HttpRequest &);
  struct Operation {
    const char *Method_;
    const char *Path_;
    Handler Handler_;
  };
  static const Operation Operations[];

  HttpAnswer showConfiguration(const HttpRequest &Request);
  HttpAnswer checkConfiguration(const HttpRequest &Request);
  HttpAnswer applyConfiguration(const HttpRequest &Request);
  HttpAnswer showHistory(const HttpRequest &Request);
  HttpAnswer showStatus(const HttpRequest &Request);
  HttpAnswer listExceptions(const HttpRequest &Request);
  HttpAnswer addException(const HttpRequest &Request);
  HttpAnswer removeException(const HttpRequest &Request);
  HttpAnswer listPools(const HttpRequest &Request);
  HttpAnswer listInstances(const HttpRequest &Request);
  HttpAnswer showAudit(const HttpRequest &Request);
  HttpAnswer moveInstance(const HttpRequest &Request);
  HttpAnswer drainInstance(const HttpRequest &Request);
  HttpAnswer forgetEntry(const HttpRequest &Request);
  HttpAnswer showMaintenance(const HttpRequest &Request);
  HttpAnswer startMaintenance(const HttpRequest &Request);
  HttpAnswer haltMaintenance(const HttpRequest &Request);
  HttpAnswer resumeMaintenance(const HttpRequest &Request);

  /// Edits the document that the table service holds.
  using Edit = std::function<Result<std::string>(const std::string &)>;
  HttpAnswer editConfiguration(const HttpRequest &Request,
                               const std::string &Reason, const Edit &Change);
  HttpAnswer accept(const HttpRequest &Request, std::string Document,
                    std::optional<ConfigurationVersion> Expected,
                    const std::string &Reason);
  /// Performs a change that needs the configuration in force.
  using FleetChangeCall =
      std::function<Result<void>(const FleetConfiguration &)>;
  HttpAnswer changeFleet(const FleetChangeCall &Change);
  /// \returns an answer that \p Format makes of a snapshot.
  HttpAnswer fromSnapshot(HttpAnswer (*Format)(const EntrySnapshot &));

  IPlatform &Platform_;
  const IConfigurationParser &Parser_;
  IEntryView &View_;
  ConfigurationStore Store_;
  FleetController Fleet_;
};

} // namespace dragonflylock

#endif
