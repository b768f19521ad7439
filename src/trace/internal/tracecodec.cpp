#include "trace/tracecodec.h"
#include "global/errorcategory.h"

#include <nlohmann/json.hpp>

#include <array>
#include <utility>

namespace dragonflylock {
namespace {

using Json = nlohmann::json;

constexpr std::array<std::pair<TraceKind, const char *>, 11> KindNames{{
    {TraceKind::Received, "received"},
    {TraceKind::Claimed, "claimed"},
    {TraceKind::Offered, "offered"},
    {TraceKind::Answered, "answered"},
    {TraceKind::Ran, "ran"},
    {TraceKind::ConfigurationAccepted, "configuration-accepted"},
    {TraceKind::ConfigurationApplied, "configuration-applied"},
    {TraceKind::InstanceRow, "instance-row"},
    {TraceKind::InstanceSeen, "instance-seen"},
    {TraceKind::InstanceLeaving, "instance-leaving"},
    {TraceKind::InstanceLive, "instance-live"},
}};

constexpr std::array<std::pair<const char *, std::string TraceEvent::*>, 10>
    TextFields{{
        {"process", &TraceEvent::Process_},
        {"boot", &TraceEvent::Boot_},
        {"request", &TraceEvent::Request_},
        {"key", &TraceEvent::Key_},
        {"instance", &TraceEvent::Instance_},
        {"pool", &TraceEvent::Pool_},
        {"result", &TraceEvent::Result_},
        {"outcome", &TraceEvent::Outcome_},
        {"digest", &TraceEvent::Digest_},
        {"phase", &TraceEvent::Phase_},
    }};

const char *nameOf(int Kind) {
  switch (static_cast<TraceErrc>(Kind)) {
  case TraceErrc::Malformed:
    return "trace-malformed";
  case TraceErrc::Unreadable:
    return "trace-unreadable";
  case TraceErrc::Broken:
    return "promise-broken";
  }
  return "unknown-trace-error";
}

const char *kindName(TraceKind Kind) {
  for (const auto &[Each, Name] : KindNames) {
    if (Each == Kind)
      return Name;
  }
  return "received";
}

Error malformed(const std::string &Detail) {
  return {TraceErrc::Malformed, Detail,
          "pass files that --trace of dragonflylock's programs wrote"};
}

} // namespace

std::error_code make_error_code(TraceErrc Kind) {
  static const ErrorCategory Category("trace", nameOf);
  return {static_cast<int>(Kind), Category};
}

std::string tracecodec::encode(const TraceEvent &Event) {
  Json Line{{"kind", kindName(Event.Kind_)}, {"at_us", Event.AtUs_}};
  for (const auto &[Name, Field] : TextFields) {
    if (!(Event.*Field).empty())
      Line[Name] = Event.*Field;
  }
  if (Event.IsIdempotent_)
    Line["idempotent"] = true;
  if (Event.Number_ != 0)
    Line["number"] = Event.Number_;
  if (Event.Required_ != 0)
    Line["required"] = Event.Required_;
  return Line.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<TraceEvent> tracecodec::decode(const std::string &Line) {
  try {
    Json Parsed = Json::parse(Line);
    TraceEvent Event;
    std::string Kind = Parsed.at("kind");
    bool IsKnown = false;
    for (const auto &[Each, Name] : KindNames) {
      if (Kind != Name)
        continue;
      Event.Kind_ = Each;
      IsKnown = true;
    }
    if (!IsKnown)
      return malformed("unknown kind " + Kind);
    Event.AtUs_ = Parsed.at("at_us");
    for (const auto &[Name, Field] : TextFields)
      Event.*Field = Parsed.value(Name, "");
    Event.IsIdempotent_ = Parsed.value("idempotent", false);
    Event.Number_ = Parsed.value("number", std::uint64_t{0});
    Event.Required_ = Parsed.value("required", std::uint64_t{0});
    return Event;
  } catch (const Json::exception &Failure) {
    return malformed(Failure.what());
  }
}

} // namespace dragonflylock
