#include "operators/internal/operatorjson.h"
#include "configuration/configurationerrors.h"
#include "configuration/fleetconfiguration.h"
#include "configuration/poolsetting.h"
#include "fleet/fleetcodec.h"
#include "fleet/fleeterrors.h"
#include "operators/operatorserrors.h"
#include "operators/operatorstypes.h"
#include "platformservices/platformerrors.h"

#include <nlohmann/json.hpp>

namespace dragonflylock::operatorjson {
namespace {

using Json = nlohmann::json;

HttpAnswer answerWith(const Json &Body) {
  return {httpstatus::Ok,
          {{"Content-Type", "application/json"}},
          Body.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n"};
}

int statusOf(const std::error_code &Kind) {
  if (Kind == ConfigurationErrc::VersionConflict ||
      Kind == FleetErrc::WaveActive || Kind == FleetErrc::BudgetExhausted ||
      Kind == FleetErrc::NotServing || Kind == PlatformErrc::ConditionFailed)
    return httpstatus::Conflict;
  if (Kind == ConfigurationErrc::UnknownException ||
      Kind == PlatformErrc::NotFound || Kind == FleetErrc::UnknownInstance ||
      Kind == FleetErrc::UnknownPool || Kind == FleetErrc::NoSuchWave)
    return httpstatus::NotFound;
  if (Kind == PlatformErrc::Unavailable || Kind == OperatorsErrc::Busy)
    return httpstatus::Unavailable;
  if (Kind == PlatformErrc::AnswerLost || Kind == PlatformErrc::BadAnswer)
    return httpstatus::BadGateway;
  return httpstatus::UnprocessableContent;
}

Json toJson(const Heartbeat &Peer) {
  return {{"entry", Peer.Name_},
          {"zone", Peer.Zone_},
          {"version", Peer.Version_},
          {"since_ms", Peer.VersionSinceMs_},
          {"ready", Peer.IsReady_}};
}

Json settingsJson(const PoolSettings &Settings) {
  Json Values = Json::object();
  for (const PoolSetting &Setting : PoolSetting::all())
    Values[Setting.name()] = Setting.format(Settings);
  return Values;
}

} // namespace

HttpAnswer problem(int Status, const std::string &Kind,
                   const std::string &Detail, const std::string &Remedy) {
  HttpAnswer Answer = answerWith(Json{{"type", "urn:dragonflylock:" + Kind},
                                      {"title", Kind},
                                      {"status", Status},
                                      {"detail", Detail},
                                      {"remedy", Remedy}});
  Answer.Status_ = Status;
  Answer.Headers_ = {{"Content-Type", "application/problem+json"}};
  return Answer;
}

HttpAnswer problem(const Error &Failure) {
  return problem(statusOf(Failure.kind()), Failure.kind().message(),
                 Failure.detail(), Failure.remedy());
}

HttpAnswer faults(const std::vector<Error> &Faults) {
  Json Listed = Json::array();
  for (const Error &Fault : Faults)
    Listed.push_back({{"kind", Fault.kind().message()},
                      {"detail", Fault.detail()},
                      {"remedy", Fault.remedy()}});
  HttpAnswer Answer =
      answerWith(Json{{"type", "urn:dragonflylock:configuration-faulty"},
                      {"title", "configuration-faulty"},
                      {"status", httpstatus::UnprocessableContent},
                      {"detail", std::to_string(Faults.size()) + " faults"},
                      {"remedy", "correct the listed faults"},
                      {"faults", Listed}});
  Answer.Status_ = httpstatus::UnprocessableContent;
  Answer.Headers_ = {{"Content-Type", "application/problem+json"}};
  return Answer;
}

HttpAnswer accepted(ConfigurationVersion Version) {
  return answerWith(Json{{"version", Version}});
}

HttpAnswer configuration(const EntrySnapshot &Snapshot) {
  return answerWith(Json{{"version", Snapshot.Version_},
                         {"since_ms", Snapshot.VersionSinceMs_},
                         {"document", Snapshot.Document_}});
}

HttpAnswer status(const EntrySnapshot &Snapshot) {
  Json Entries = Json::array();
  Heartbeat Self{Snapshot.Name_,           Snapshot.Zone_,    Snapshot.Version_,
                 Snapshot.VersionSinceMs_, Snapshot.IsReady_, {}};
  Entries.push_back(toJson(Self));
  for (const Heartbeat &Peer : Snapshot.Peers_)
    Entries.push_back(toJson(Peer));
  return answerWith(Json{{"entries", Entries},
                         {"active", Snapshot.Active_},
                         {"queued", Snapshot.Queued_}});
}

HttpAnswer exceptions(const EntrySnapshot &Snapshot) {
  Json Listed = Json::array();
  if (Snapshot.Configuration_) {
    for (const auto &Entry : Snapshot.Configuration_->exceptions())
      Listed.push_back({{"pool", Entry.Pool_},
                        {"setting", Entry.Setting_},
                        {"value", Entry.Value_},
                        {"reason", Entry.Reason_}});
  }
  return answerWith(Json{{"exceptions", Listed}});
}

HttpAnswer pools(const EntrySnapshot &Snapshot) {
  Json Listed = Json::array();
  if (!Snapshot.Configuration_)
    return answerWith(Json{{"pools", Listed}});
  for (const auto &[Name, Settings] : Snapshot.Configuration_->pools()) {
    std::size_t Members = 0;
    std::size_t Serving = 0;
    for (const InstanceView &Instance : Snapshot.Instances_) {
      if (!Instance.Known_.Row_ || Instance.Known_.Row_->Pool_ != Name)
        continue;
      ++Members;
      Serving += Instance.IsEligible_ ? 1 : 0;
    }
    Listed.push_back({{"pool", Name},
                      {"instances", Members},
                      {"serving", Serving},
                      {"spare", Name == Snapshot.Configuration_->sparePool()},
                      {"settings", settingsJson(Settings)}});
  }
  return answerWith(Json{{"pools", Listed}});
}

HttpAnswer instances(const EntrySnapshot &Snapshot) {
  Json Listed = Json::array();
  for (const InstanceView &Instance : Snapshot.Instances_) {
    Json Entry{{"instance", Instance.Id_},
               {"outstanding", Instance.Outstanding_},
               {"serving", Instance.IsEligible_}};
    if (const auto &Known = Instance.Known_.Listed_) {
      Entry["address"] = Known->Address_.text();
      Entry["zone"] = Known->Zone_;
      Entry["rack"] = Known->Rack_;
      bool IsLive = Known->State_ == InstanceState::Live;
      Entry["state"] = IsLive ? "live" : "leaving";
    }
    if (const auto &Row = Instance.Known_.Row_) {
      Entry["pool"] = Row->Pool_;
      Entry["epoch"] = Row->Epoch_;
      Entry["phase"] = nameOf(Row->Phase_);
    }
    Listed.push_back(std::move(Entry));
  }
  return answerWith(Json{{"instances", Listed}});
}

HttpAnswer audit(const std::vector<AuditRecord> &Records) {
  Json Listed = Json::array();
  for (const AuditRecord &Record : Records)
    Listed.push_back({{"at_ms", Record.AtMs_},
                      {"operator", Record.Operator_},
                      {"subject", Record.Subject_},
                      {"detail", Record.Detail_},
                      {"change_id", Record.ChangeId_}});
  return answerWith(Json{{"audit", Listed}});
}

HttpAnswer history(const std::vector<StoredConfiguration> &Accepted) {
  Json Listed = Json::array();
  for (const StoredConfiguration &Each : Accepted)
    Listed.push_back({{"version", Each.Version_},
                      {"operator", Each.Operator_},
                      {"reason", Each.Reason_},
                      {"accepted_ms", Each.AcceptedMs_}});
  return answerWith(Json{{"history", Listed}});
}

HttpAnswer done(const Result<void> &Outcome) {
  if (!Outcome)
    return problem(Outcome.error());
  return answerWith(Json{{"done", true}});
}

HttpAnswer notConfigured() {
  return problem(httpstatus::Unavailable, "no-configuration",
                 "no configuration is in force here",
                 "apply one, or ask another entry instance");
}

HttpAnswer maintenance(const FleetView &View) {
  const WaveRow &Wave = View.Wave_.Value_;
  Json Pools = Json::array();
  for (const auto &[Pool, Row] : View.Pools_) {
    std::size_t Maintained = 0;
    for (const std::string &Id : Row.Value_.Members_) {
      auto Instance = View.Instances_.find(Id);
      bool IsMaintained =
          Instance != View.Instances_.end() &&
          Instance->second.Value_.Wave_ == Wave.Id_ &&
          Instance->second.Value_.Phase_ == InstancePhase::Serving;
      Maintained += IsMaintained && !Wave.Id_.empty() ? 1 : 0;
    }
    Json Out(Row.Value_.OutOfService_);
    Pools.push_back({{"pool", Pool},
                     {"members", Row.Value_.Members_.size()},
                     {"maintained", Maintained},
                     {"out", Out.empty() ? std::string() : Out.dump()}});
  }
  return answerWith(Json{{"wave", Wave.Id_},
                         {"state", fleetcodec::nameOf(Wave.State_)},
                         {"operator", Wave.Operator_},
                         {"reason", Wave.Reason_},
                         {"started_ms", Wave.StartedMs_},
                         {"pools", Pools}});
}

ConfigurationException exceptionFrom(const std::string &Body) {
  Json Parsed = Json::parse(Body, nullptr, false);
  auto Text = [&](const char *Key) {
    bool IsText =
        Parsed.is_object() && Parsed.contains(Key) && Parsed[Key].is_string();
    return IsText ? Parsed[Key].get<std::string>() : std::string();
  };
  return {Text("pool"), Text("setting"), Text("value"), Text("reason")};
}

} // namespace dragonflylock::operatorjson
