#include "platformservices/platformcodec.h"
#include "platformservices/jsondecoding.h"

#include <array>

namespace dragonflylock::platformcodec {
namespace {

using Json = nlohmann::json;

constexpr std::array<InstanceAction, 5> AllActions{
    InstanceAction::Drain, InstanceAction::Reboot, InstanceAction::Checkpoint,
    InstanceAction::Throttle, InstanceAction::Stop};

template <typename T, typename Reader>
Result<T> decode(const std::string &Body, Reader Read) {
  return decodeJson<T>(Body, Read,
                       "check that the configured address is the platform's");
}

Json toJson(const RowWrite &Write) {
  Json Entry{{"table", Write.Row_.Table_}, {"key", Write.Row_.Key_}};
  if (Write.Condition_.Kind_ == RowCondition::Kind::Absent)
    Entry["if_absent"] = true;
  if (Write.Condition_.Kind_ == RowCondition::Kind::AtVersion)
    Entry["if_version"] = Write.Condition_.Version_;
  if (Write.Value_)
    Entry["value"] = *Write.Value_;
  return Entry;
}

RowWrite writeFrom(const Json &Entry) {
  RowWrite Write;
  Write.Row_ = {Entry.at("table"), Entry.at("key")};
  if (Entry.value("if_absent", false))
    Write.Condition_ = RowCondition::absent();
  if (Entry.contains("if_version"))
    Write.Condition_ = RowCondition::at(Entry.at("if_version"));
  if (Entry.contains("value"))
    Write.Value_ = Entry.at("value").get<std::string>();
  return Write;
}

Json toJson(const ListedInstance &Instance) {
  bool IsLive = Instance.State_ == InstanceState::Live;
  return {{"id", Instance.Id_},
          {"address", Instance.Address_.text()},
          {"zone", Instance.Zone_},
          {"rack", Instance.Rack_},
          {"state", IsLive ? "live" : "leaving"},
          {"generation", Instance.Generation_}};
}

ListedInstance instanceFrom(const Json &Entry) {
  ListedInstance Instance;
  Instance.Id_ = Entry.at("id");
  auto Address = SocketAddress::parse(Entry.at("address").get<std::string>());
  if (Address)
    Instance.Address_ = Address.value();
  Instance.Zone_ = Entry.at("zone");
  Instance.Rack_ = Entry.value("rack", "");
  Instance.State_ = Entry.value("state", "live") == "live"
                        ? InstanceState::Live
                        : InstanceState::Leaving;
  Instance.Generation_ = Entry.value("generation", 0);
  return Instance;
}

} // namespace

std::string encodeWrites(const std::vector<RowWrite> &Writes) {
  Json Body = Json::array();
  for (const RowWrite &Write : Writes)
    Body.push_back(toJson(Write));
  return Body.dump();
}

Result<std::vector<RowWrite>> decodeWrites(const std::string &Body) {
  return decode<std::vector<RowWrite>>(Body, [](const Json &Parsed) {
    std::vector<RowWrite> Writes;
    for (const Json &Entry : Parsed)
      Writes.push_back(writeFrom(Entry));
    return Writes;
  });
}

std::string encodeVersions(const std::vector<RowVersion> &Versions) {
  return Json(Versions).dump();
}

Result<std::vector<RowVersion>> decodeVersions(const std::string &Body) {
  return decode<std::vector<RowVersion>>(Body, [](const Json &Parsed) {
    return Parsed.get<std::vector<RowVersion>>();
  });
}

std::string encodeChanges(const TableChanges &Changes) {
  Json Rows = Json::array();
  for (const TableRow &Row : Changes.Rows_)
    Rows.push_back(
        {{"key", Row.Key_}, {"version", Row.Version_}, {"value", Row.Value_}});
  Json Body{{"revision", Changes.Revision_},
            {"whole", Changes.IsSnapshot_},
            {"rows", std::move(Rows)},
            {"deleted", Changes.Deleted_}};
  return Body.dump();
}

Result<TableChanges> decodeChanges(const std::string &Body) {
  return decode<TableChanges>(Body, [](const Json &Parsed) {
    TableChanges Changes;
    Changes.Revision_ = Parsed.at("revision");
    Changes.IsSnapshot_ = Parsed.at("whole");
    for (const Json &Entry : Parsed.at("rows"))
      Changes.Rows_.push_back(
          {Entry.at("key"), Entry.at("version"), Entry.at("value")});
    Changes.Deleted_ = Parsed.at("deleted").get<std::vector<std::string>>();
    return Changes;
  });
}

std::string encodeInstance(const ListedInstance &Instance) {
  return toJson(Instance).dump();
}

Result<ListedInstance> decodeInstance(const std::string &Body) {
  return decode<ListedInstance>(Body, instanceFrom);
}

std::string encodeInstances(const InstanceList &List) {
  Json Entries = Json::array();
  for (const ListedInstance &Instance : List.Instances_)
    Entries.push_back(toJson(Instance));
  return Json{{"age_ms", List.Age_.count()}, {"instances", Entries}}.dump();
}

Result<InstanceList> decodeInstances(const std::string &Body) {
  return decode<InstanceList>(Body, [](const Json &Parsed) {
    InstanceList List;
    List.Age_ = std::chrono::milliseconds(Parsed.at("age_ms").get<int>());
    for (const Json &Entry : Parsed.at("instances"))
      List.Instances_.push_back(instanceFrom(Entry));
    return List;
  });
}

const char *nameOf(InstanceAction Action) {
  switch (Action) {
  case InstanceAction::Drain:
    return "drain";
  case InstanceAction::Reboot:
    return "reboot";
  case InstanceAction::Checkpoint:
    return "checkpoint";
  case InstanceAction::Throttle:
    return "throttle";
  case InstanceAction::Stop:
    return "stop";
  }
  return "stop";
}

Result<InstanceAction> actionOf(std::string_view Name) {
  for (InstanceAction Action : AllActions) {
    if (nameOf(Action) == Name)
      return Action;
  }
  return Error(PlatformErrc::NotFound,
               "no instance action " + std::string(Name),
               "use drain, reboot, checkpoint, throttle or stop");
}

} // namespace dragonflylock::platformcodec
