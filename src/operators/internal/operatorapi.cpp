#include "operators/internal/operatorapi.h"
#include "configuration/configurationerrors.h"
#include "configuration/fleetconfiguration.h"
#include "configuration/iconfigurationparser.h"
#include "global/digest.h"
#include "global/units.h"
#include "operators/ientryview.h"
#include "operators/internal/operatorjson.h"
#include "operators/operatorstypes.h"
#include "platformservices/iplatform.h"
#include "platformservices/tablenames.h"
#include "steering/steeringcodec.h"

namespace dragonflylock {
namespace {

constexpr std::chrono::milliseconds SnapshotLimit{2000};
constexpr std::size_t ChangeIdBytes = 8;
/// Attempts of an edit against other operators' changes.
constexpr int MaxEditRaces = 5;

std::string headerOr(const HttpRequest &Request, const char *Name,
                     const std::string &Default) {
  const std::string *Found = findHeader(Request.Headers_, Name);
  return Found == nullptr ? Default : *Found;
}

std::string operatorOf(const HttpRequest &Request) {
  return headerOr(Request, "Change-Operator", "unnamed");
}

std::string reasonOf(const HttpRequest &Request) {
  return headerOr(Request, "Change-Reason", "");
}

std::optional<ConfigurationVersion>
expectedVersion(const HttpRequest &Request) {
  std::string Tag = headerOr(Request, "If-Match", "");
  constexpr std::size_t Quotes = 2;
  if (Tag.size() > Quotes && Tag.front() == '"')
    Tag = Tag.substr(1, Tag.size() - Quotes);
  auto Number = parseNumber(Tag);
  if (!Number)
    return std::nullopt;
  return Number.value();
}

} // namespace

const OperatorApi::Operation OperatorApi::Operations[] = {
    {"GET", "/v1/configuration", &OperatorApi::showConfiguration},
    {"PUT", "/v1/configuration", &OperatorApi::applyConfiguration},
    {"POST", "/v1/configuration/check", &OperatorApi::checkConfiguration},
    {"GET", "/v1/configuration/history", &OperatorApi::showHistory},
    {"GET", "/v1/status", &OperatorApi::showStatus},
    {"GET", "/v1/exceptions", &OperatorApi::listExceptions},
    {"POST", "/v1/exceptions", &OperatorApi::addException},
    {"DELETE", "/v1/exceptions", &OperatorApi::removeException},
    {"GET", "/v1/pools", &OperatorApi::listPools},
    {"GET", "/v1/instances", &OperatorApi::listInstances},
    {"GET", "/v1/audit", &OperatorApi::showAudit},
    {"POST", "/v1/instances/move", &OperatorApi::moveInstance},
    {"POST", "/v1/instances/drain", &OperatorApi::drainInstance},
    {"DELETE", "/v1/entries", &OperatorApi::forgetEntry},
    {"GET", "/v1/maintenance", &OperatorApi::showMaintenance},
    {"POST", "/v1/maintenance/start", &OperatorApi::startMaintenance},
    {"POST", "/v1/maintenance/halt", &OperatorApi::haltMaintenance},
    {"POST", "/v1/maintenance/resume", &OperatorApi::resumeMaintenance},
};

OperatorApi::OperatorApi(IPlatform &Platform,
                         const IConfigurationParser &Parser,
                         const IClock &Clock, IEntryView &View,
                         ITraceSink &Trace)
    : Platform_(Platform), Parser_(Parser), View_(View),
      Store_(Platform, Parser, Clock), Fleet_(Platform, Clock, Trace) {}

HttpAnswer OperatorApi::answer(const HttpRequest &Request) {
  for (const Operation &Each : Operations) {
    if (Request.Method_ == Each.Method_ && Request.path() == Each.Path_)
      return (this->*Each.Handler_)(Request);
  }
  return operatorjson::problem(httpstatus::NotFound, "no-such-operation",
                               Request.Method_ + " " + Request.Target_,
                               "see docs/OPERATIONS.md");
}

HttpAnswer
OperatorApi::fromSnapshot(HttpAnswer (*Format)(const EntrySnapshot &)) {
  auto Snapshot = View_.snapshot(SnapshotLimit);
  if (!Snapshot)
    return operatorjson::problem(Snapshot.error());
  return Format(Snapshot.value());
}

HttpAnswer OperatorApi::showConfiguration(const HttpRequest &) {
  return fromSnapshot(&operatorjson::configuration);
}

HttpAnswer OperatorApi::showStatus(const HttpRequest &) {
  return fromSnapshot(&operatorjson::status);
}

HttpAnswer OperatorApi::listExceptions(const HttpRequest &) {
  return fromSnapshot(&operatorjson::exceptions);
}

HttpAnswer OperatorApi::listPools(const HttpRequest &) {
  return fromSnapshot(&operatorjson::pools);
}

HttpAnswer OperatorApi::listInstances(const HttpRequest &) {
  return fromSnapshot(&operatorjson::instances);
}

HttpAnswer OperatorApi::checkConfiguration(const HttpRequest &Request) {
  ParsedConfiguration Parsed = Parser_.parse(Request.Body_);
  if (!Parsed.Configuration_)
    return operatorjson::faults(Parsed.Faults_);
  return operatorjson::accepted(0);
}

HttpAnswer OperatorApi::applyConfiguration(const HttpRequest &Request) {
  ParsedConfiguration Parsed = Parser_.parse(Request.Body_);
  if (!Parsed.Configuration_)
    return operatorjson::faults(Parsed.Faults_);
  return accept(Request, Request.Body_, expectedVersion(Request),
                reasonOf(Request));
}

HttpAnswer OperatorApi::accept(const HttpRequest &Request, std::string Document,
                               std::optional<ConfigurationVersion> Expected,
                               const std::string &Reason) {
  ConfigurationChange Change;
  Change.Document_ = std::move(Document);
  Change.Expected_ = Expected;
  Change.ChangeId_ = headerOr(Request, "Change-Id", randomId(ChangeIdBytes));
  Change.Operator_ = operatorOf(Request);
  Change.Reason_ = Reason;
  auto Accepted = Store_.accept(Change);
  if (!Accepted)
    return operatorjson::problem(Accepted.error());
  return operatorjson::accepted(Accepted.value());
}

HttpAnswer OperatorApi::editConfiguration(const HttpRequest &Request,
                                          const std::string &Reason,
                                          const Edit &Change) {
  HttpAnswer Answer;
  for (int Race = 0; Race < MaxEditRaces; ++Race) {
    auto Current = Store_.current();
    if (!Current)
      return operatorjson::problem(Current.error());
    StoredConfiguration Base = Current.value().value_or(StoredConfiguration());
    auto Edited = Change(Base.Document_);
    if (!Edited)
      return operatorjson::problem(Edited.error());
    ParsedConfiguration Parsed = Parser_.parse(Edited.value());
    if (!Parsed.Configuration_)
      return operatorjson::faults(Parsed.Faults_);
    Answer = accept(Request, std::move(Edited.value()), Base.Version_, Reason);
    if (Answer.Status_ != httpstatus::Conflict)
      return Answer;
  }
  return Answer;
}

HttpAnswer OperatorApi::addException(const HttpRequest &Request) {
  ConfigurationException Entry = operatorjson::exceptionFrom(Request.Body_);
  return editConfiguration(
      Request, "exception for " + Entry.Pool_ + ": " + Entry.Reason_,
      [&](const std::string &Document) {
        return Parser_.addException(Document, Entry);
      });
}

HttpAnswer OperatorApi::removeException(const HttpRequest &Request) {
  std::string Pool = Request.query("pool");
  std::string Setting = Request.query("setting");
  return editConfiguration(Request, "exception removed for " + Pool,
                           [&](const std::string &Document) {
                             return Parser_.removeException(Document, Pool,
                                                            Setting);
                           });
}

HttpAnswer OperatorApi::showAudit(const HttpRequest &) {
  auto Rows = Platform_.readChanges(tables::Audit, 0);
  if (!Rows)
    return operatorjson::problem(Rows.error());
  std::vector<AuditRecord> Records;
  for (const TableRow &Row : Rows.value().Rows_) {
    auto Record = steeringcodec::decodeAudit(Row.Value_);
    if (Record)
      Records.push_back(std::move(Record.value()));
  }
  return operatorjson::audit(Records);
}

HttpAnswer OperatorApi::changeFleet(const FleetChangeCall &Change) {
  auto Snapshot = View_.snapshot(SnapshotLimit);
  if (!Snapshot)
    return operatorjson::problem(Snapshot.error());
  if (!Snapshot.value().Configuration_)
    return operatorjson::notConfigured();
  return operatorjson::done(Change(*Snapshot.value().Configuration_));
}

HttpAnswer OperatorApi::moveInstance(const HttpRequest &Request) {
  return changeFleet([&](const FleetConfiguration &Fleet) {
    return Fleet_.beginMove(Fleet, Request.query("instance"),
                            Request.query("pool"), operatorOf(Request));
  });
}

HttpAnswer OperatorApi::drainInstance(const HttpRequest &Request) {
  return changeFleet([&](const FleetConfiguration &Fleet) {
    return Fleet_.beginMaintenance(Fleet, Request.query("instance"),
                                   operatorOf(Request));
  });
}

HttpAnswer OperatorApi::forgetEntry(const HttpRequest &Request) {
  return operatorjson::done(
      Fleet_.unregisterEntry(Request.query("name"), operatorOf(Request)));
}

HttpAnswer OperatorApi::showMaintenance(const HttpRequest &) {
  if (auto Read = Fleet_.refresh(); !Read)
    return operatorjson::problem(Read.error());
  return operatorjson::maintenance(Fleet_.view());
}

HttpAnswer OperatorApi::startMaintenance(const HttpRequest &Request) {
  auto Started = Fleet_.startWave(operatorOf(Request), reasonOf(Request));
  if (!Started)
    return operatorjson::problem(Started.error());
  return operatorjson::done({});
}

HttpAnswer OperatorApi::haltMaintenance(const HttpRequest &Request) {
  return operatorjson::done(
      Fleet_.setWaveState(WaveState::Running, WaveState::Halted,
                          operatorOf(Request), reasonOf(Request)));
}

HttpAnswer OperatorApi::resumeMaintenance(const HttpRequest &Request) {
  return operatorjson::done(
      Fleet_.setWaveState(WaveState::Halted, WaveState::Running,
                          operatorOf(Request), reasonOf(Request)));
}

HttpAnswer OperatorApi::showHistory(const HttpRequest &) {
  auto Rows = Platform_.readChanges(tables::ConfigurationHistory, 0);
  if (!Rows)
    return operatorjson::problem(Rows.error());
  std::vector<StoredConfiguration> Accepted;
  for (const TableRow &Row : Rows.value().Rows_) {
    auto Stored = steeringcodec::decodeConfiguration(Row.Value_);
    if (Stored)
      Accepted.push_back(std::move(Stored.value()));
  }
  return operatorjson::history(Accepted);
}

} // namespace dragonflylock
