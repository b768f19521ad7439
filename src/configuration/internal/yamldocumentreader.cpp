#include "configuration/internal/yamldocumentreader.h"
#include "configuration/poolsetting.h"

#include <algorithm>

namespace dragonflylock {

YamlDocumentReader::YamlDocumentReader(const YAML::Node &Root) : Root_(Root) {}

ParsedConfiguration YamlDocumentReader::read() {
  if (isMap(Root_, "the document")) {
    checkKeys(Root_, {"defaults", "pools", "exceptions", "routes"});
    readDefaults();
    readPools();
    readExceptions();
    readRoutes();
  }
  if (!Faults_.empty())
    return {nullptr, std::move(Faults_)};
  return {std::make_shared<const FleetConfiguration>(build()), {}};
}

void YamlDocumentReader::readDefaults() {
  YAML::Node Section = Root_["defaults"];
  if (!Section || !isMap(Section, "defaults"))
    return;
  for (const auto &Pair : Section) {
    const std::string &Setting = Pair.first.Scalar();
    if (!Pair.second.IsScalar()) {
      fault(Pair.first, ConfigurationErrc::WrongType,
            "defaults." + Setting + " is not a single value",
            "write one value with its unit");
      continue;
    }
    assign(Pair.first, Defaults_, Setting, Pair.second.Scalar());
  }
}

void YamlDocumentReader::readPools() {
  YAML::Node Section = Root_["pools"];
  if (!Section) {
    fault(Root_, ConfigurationErrc::MissingKey, "pools is missing",
          "list at least one pool");
    return;
  }
  if (!isList(Section, "pools"))
    return;
  for (const YAML::Node &Entry : Section) {
    if (isMap(Entry, "an entry of pools"))
      readPool(Entry);
  }
}

void YamlDocumentReader::readPool(const YAML::Node &Entry) {
  checkKeys(Entry, {"name", "spare"});
  std::string Name = text(Entry, "name");
  if (Name.empty())
    return;
  if (!Pools_.emplace(Name, Defaults_).second)
    fault(Entry, ConfigurationErrc::DuplicatePool,
          "pool " + Name + " is listed twice", "remove one of the entries");
  if (!flag(Entry, "spare"))
    return;
  if (!SparePool_.empty())
    fault(Entry, ConfigurationErrc::DuplicatePool,
          "pools " + SparePool_ + " and " + Name + " are both spare",
          "leave spare: true at one pool");
  SparePool_ = Name;
}

void YamlDocumentReader::readExceptions() {
  YAML::Node Section = Root_["exceptions"];
  if (!Section || !isList(Section, "exceptions"))
    return;
  for (const YAML::Node &Entry : Section) {
    if (isMap(Entry, "an entry of exceptions"))
      readException(Entry);
  }
}

void YamlDocumentReader::readException(const YAML::Node &Entry) {
  checkKeys(Entry, {"pool", "setting", "value", "reason"});
  ConfigurationException Read{
      text(Entry, "pool"), text(Entry, "setting"), text(Entry, "value"), {}};
  YAML::Node Reason = Entry["reason"];
  if (Reason && Reason.IsScalar())
    Read.Reason_ = Reason.Scalar();
  if (Read.Reason_.find_first_not_of(" \t\r\n") == std::string::npos)
    fault(Entry, ConfigurationErrc::MissingReason,
          "the exception of pool " + Read.Pool_ + " for " + Read.Setting_ +
              " has no reason",
          "write why the pool departs from the default");
  if (!ExceptionKeys_.emplace(Read.Pool_, Read.Setting_).second)
    fault(Entry, ConfigurationErrc::DuplicateException,
          "pool " + Read.Pool_ + " has two exceptions for " + Read.Setting_,
          "remove one of them");
  PoolSettings *Settings = settingsOf(Entry, Read.Pool_);
  if (Settings != nullptr && !Read.Setting_.empty())
    assign(Entry, *Settings, Read.Setting_, Read.Value_);
  Exceptions_.push_back(std::move(Read));
}

void YamlDocumentReader::readRoutes() {
  YAML::Node Section = Root_["routes"];
  if (!Section || !isList(Section, "routes"))
    return;
  for (const YAML::Node &Entry : Section) {
    if (isMap(Entry, "an entry of routes"))
      readRoute(Entry);
  }
}

void YamlDocumentReader::readRoute(const YAML::Node &Entry) {
  checkKeys(Entry, {"prefix", "pool", "idempotent"});
  Route Read{text(Entry, "prefix"), text(Entry, "pool"), std::nullopt};
  if (!Read.Prefix_.empty() && Read.Prefix_.front() != '/')
    fault(Entry, ConfigurationErrc::OutOfRange,
          "prefix " + Read.Prefix_ + " does not start with /",
          "start the prefix with /");
  if (!Prefixes_.insert(Read.Prefix_).second)
    fault(Entry, ConfigurationErrc::DuplicatePrefix,
          "prefix " + Read.Prefix_ + " is listed twice",
          "remove one of the routes");
  if (Entry["idempotent"])
    Read.Idempotent_ = flag(Entry, "idempotent");
  settingsOf(Entry, Read.Pool_);
  Routes_.push_back(std::move(Read));
}

FleetConfiguration YamlDocumentReader::build() {
  FleetConfiguration::Builder Builder;
  Builder.defaults(Defaults_);
  for (auto &[Name, Settings] : Pools_)
    Builder.pool(Name, Settings, Name == SparePool_);
  for (ConfigurationException &Entry : Exceptions_)
    Builder.exception(std::move(Entry));
  for (Route &Entry : Routes_)
    Builder.route(std::move(Entry));
  return Builder.build();
}

void YamlDocumentReader::fault(const YAML::Node &Where, ConfigurationErrc Kind,
                               const std::string &Detail,
                               const std::string &Remedy) {
  int Line = Where.Mark().line + 1;
  Faults_.emplace_back(Kind, "line " + std::to_string(Line) + ": " + Detail,
                       Remedy);
}

bool YamlDocumentReader::isMap(const YAML::Node &Entry,
                               const std::string &What) {
  if (Entry.IsMap())
    return true;
  fault(Entry, ConfigurationErrc::WrongType, What + " is not a map",
        "write key: value lines");
  return false;
}

bool YamlDocumentReader::isList(const YAML::Node &Entry,
                                const std::string &What) {
  if (Entry.IsSequence())
    return true;
  if (Entry.IsNull())
    return false;
  fault(Entry, ConfigurationErrc::WrongType, What + " is not a list",
        "write its entries as - items");
  return false;
}

void YamlDocumentReader::checkKeys(
    const YAML::Node &Map, std::initializer_list<std::string_view> Known) {
  std::string Listed;
  for (std::string_view Key : Known)
    Listed += (Listed.empty() ? "" : ", ") + std::string(Key);
  std::set<std::string> Seen;
  for (const auto &Pair : Map) {
    const std::string &Key = Pair.first.Scalar();
    if (std::find(Known.begin(), Known.end(), Key) == Known.end())
      fault(Pair.first, ConfigurationErrc::UnknownKey, "unknown key " + Key,
            "use one of " + Listed);
    if (!Seen.insert(Key).second)
      fault(Pair.first, ConfigurationErrc::UnknownKey,
            "key " + Key + " stands twice", "remove one of the two");
  }
}

std::string YamlDocumentReader::text(const YAML::Node &Map, const char *Key) {
  YAML::Node Value = Map[Key];
  if (Value && Value.IsScalar() && !Value.Scalar().empty())
    return Value.Scalar();
  fault(Map, ConfigurationErrc::MissingKey, std::string(Key) + " is missing",
        "add " + std::string(Key) + ": with a single value");
  return {};
}

bool YamlDocumentReader::flag(const YAML::Node &Map, const char *Key) {
  YAML::Node Value = Map[Key];
  if (!Value)
    return false;
  if (Value.IsScalar() && Value.Scalar() == "true")
    return true;
  if (!Value.IsScalar() || Value.Scalar() != "false")
    fault(Map, ConfigurationErrc::WrongType,
          std::string(Key) + " is neither true nor false",
          "write true or false");
  return false;
}

PoolSettings *YamlDocumentReader::settingsOf(const YAML::Node &Where,
                                             const std::string &Pool) {
  auto Found = Pools_.find(Pool);
  if (Found != Pools_.end())
    return &Found->second;
  if (!Pool.empty())
    fault(Where, ConfigurationErrc::UnknownPool,
          "pool " + Pool + " is not listed under pools",
          "add it there or correct the name");
  return nullptr;
}

void YamlDocumentReader::assign(const YAML::Node &Where, PoolSettings &Settings,
                                const std::string &Setting,
                                const std::string &Value) {
  const PoolSetting *Known = PoolSetting::find(Setting);
  if (Known == nullptr) {
    fault(Where, ConfigurationErrc::UnknownKey, "unknown setting " + Setting,
          "see docs/CONFIGURATION.md for the settings");
    return;
  }
  Result<void> Assigned = Known->assign(Settings, Value);
  if (!Assigned) {
    auto Kind = static_cast<ConfigurationErrc>(Assigned.error().kind().value());
    fault(Where, Kind, Assigned.error().detail(), Assigned.error().remedy());
  }
}

} // namespace dragonflylock
