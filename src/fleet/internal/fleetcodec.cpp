#include "fleet/fleetcodec.h"
#include "platformservices/jsondecoding.h"

namespace dragonflylock::fleetcodec {
namespace {

using Json = nlohmann::json;

constexpr char KeySeparator = '|';

WaveState waveStateOf(const std::string &Name) {
  if (Name == nameOf(WaveState::Running))
    return WaveState::Running;
  if (Name == nameOf(WaveState::Halted))
    return WaveState::Halted;
  return WaveState::Done;
}

} // namespace

const char *nameOf(WaveState State) {
  switch (State) {
  case WaveState::Running:
    return "running";
  case WaveState::Halted:
    return "halted";
  case WaveState::Done:
    return "done";
  }
  return "done";
}

std::string encode(const PoolRow &Row) {
  return Json{{"members", Row.Members_}, {"out", Row.OutOfService_}}.dump();
}

Result<PoolRow> decodePool(const std::string &Value) {
  return decodeJson<PoolRow>(Value, [](const Json &Parsed) {
    return PoolRow{Parsed.at("members").get<std::set<std::string>>(),
                   Parsed.at("out").get<std::set<std::string>>()};
  });
}

std::string encode(const EntryRow &Row) {
  return Json{{"zone", Row.Zone_}, {"boot", Row.BootId_}}.dump();
}

Result<EntryRow> decodeEntry(const std::string &Value) {
  return decodeJson<EntryRow>(Value, [](const Json &Parsed) {
    return EntryRow{Parsed.at("zone"), Parsed.at("boot")};
  });
}

std::string encode(const WaveRow &Row) {
  return Json{{"id", Row.Id_},
              {"state", nameOf(Row.State_)},
              {"operator", Row.Operator_},
              {"reason", Row.Reason_},
              {"started_ms", Row.StartedMs_}}
      .dump();
}

Result<WaveRow> decodeWave(const std::string &Value) {
  return decodeJson<WaveRow>(Value, [](const Json &Parsed) {
    return WaveRow{Parsed.at("id"), waveStateOf(Parsed.at("state")),
                   Parsed.at("operator"), Parsed.at("reason"),
                   Parsed.at("started_ms")};
  });
}

std::string acknowledgementKey(const std::string &Instance,
                               const std::string &Entry) {
  return Instance + KeySeparator + Entry;
}

std::pair<std::string, std::string>
splitAcknowledgementKey(const std::string &Key) {
  auto Separator = Key.find(KeySeparator);
  if (Separator == std::string::npos)
    return {Key, {}};
  return {Key.substr(0, Separator), Key.substr(Separator + 1)};
}

} // namespace dragonflylock::fleetcodec
