#include "standinstore.h"

#include "jsonanswer.h"

#include "global/base64.h"
#include "http/httptypes.h"
#include "http/ihttpresponder.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <stdexcept>

namespace dragonflylock {
namespace {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

constexpr std::size_t LargestBody = 1U << 20U;
constexpr std::chrono::milliseconds TimerInterval{5};

/// \returns the time of the steady clock that responses tell.
std::int64_t millisecondsNow() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             Clock::now().time_since_epoch())
      .count();
}

std::string parameter(const HttpRequest &Request, const char *Name) {
  const std::string Text = Request.query(Name);
  std::string Result;
  for (std::size_t At = 0; At < Text.size(); ++At) {
    if (Text[At] != '%') {
      Result += Text[At];
      continue;
    }
    Result += static_cast<char>(std::stoi(Text.substr(At + 1, 2), nullptr, 16));
    At += 2;
  }
  return Result;
}

} // namespace

StandInStore::StandInStore()
    : Server_({"127.0.0.1", 0}, *this, LargestBody), Timer_([this] {
        while (!IsStopping_) {
          std::this_thread::sleep_for(TimerInterval);
          const std::lock_guard Lock(Mutex_);
          answerWaits();
        }
      }) {
  if (!Server_.start())
    throw std::runtime_error("no port to listen on");
}

StandInStore::~StandInStore() {
  IsStopping_ = true;
  Timer_.join();
  Server_.stop();
}

void StandInStore::put(const std::string &Table, const std::string &Key,
                       const std::string &Value) {
  const std::lock_guard Lock(Mutex_);
  Rows_[{Table, "", Key}] = {
      toBase64(std::vector<std::uint8_t>(Value.begin(), Value.end())),
      ++Version_, false};
  answerWaits();
}

void StandInStore::handle(HttpRequest Request,
                          std::shared_ptr<IHttpResponder> Responder) {
  const std::lock_guard Lock(Mutex_);
  if (Request.path() == "/rows-tx") {
    Responder->answer(transact(Request.Body_));
    answerWaits();
  } else if (Request.path() == "/rows-get") {
    Responder->answer(read(Request));
  } else if (Request.path() == "/rows-feed") {
    const std::chrono::milliseconds Longest(
        std::stoll(Request.query("wait_ms")));
    Waits_.push_back({parameter(Request, "table"),
                      std::stoull(Request.query("after")),
                      Clock::now() + Longest, std::move(Responder)});
    answerWaits();
  } else {
    Responder->answer({httpstatus::NotFound, {}, ""});
  }
}

HttpAnswer StandInStore::transact(const std::string &Body) {
  const Json Wanted = Json::parse(Body);
  auto NameOf = [](const Json &Row) {
    return Name(Row.at("table"), Row.at("part"), Row.at("key"));
  };
  Json Current = Json::array();
  bool Holds = true;
  for (const Json &Each : Wanted.at("expected_rev")) {
    auto Found = Rows_.find(NameOf(Each));
    const bool Exists = Found != Rows_.end() && !Found->second.IsRemoved_;
    const std::uint64_t Version = Exists ? Found->second.Version_ : 0;
    Holds = Holds && Version == Each.at("ver").get<std::uint64_t>();
    Json Row = Each;
    Row["ver"] = Version;
    Row["value"] = Exists ? Found->second.EncodedValue_ : "";
    Current.push_back(std::move(Row));
  }
  if (!Holds)
    return jsonAnswer(
        httpstatus::PreconditionFailed,
        {{"rows", Current}, {"ver", Version_}, {"now_ms", millisecondsNow()}});
  ++Version_;
  for (const Json &Each : Wanted.at("puts"))
    Rows_[NameOf(Each)] = {Each.at("value"), Version_, false};
  for (const Json &Each : Wanted.at("remove"))
    Rows_[NameOf(Each)] = {"", Version_, true};
  return jsonAnswer(httpstatus::Ok,
                    {{"ver", Version_}, {"now_ms", millisecondsNow()}});
}

HttpAnswer StandInStore::read(const HttpRequest &Request) const {
  const std::string From = parameter(Request, "from");
  const std::string To = parameter(Request, "target");
  const std::string WantedTable = parameter(Request, "table");
  const std::string WantedPart = parameter(Request, "part");
  const std::size_t Limit = std::stoull(Request.query("limit"));
  Json Rows = Json::array();
  bool HasMore = false;
  for (const auto &[RowName, Each] : Rows_) {
    const auto &[Table, Part, Key] = RowName;
    const bool IsWanted = Table == WantedTable && Part == WantedPart &&
                          Key >= From && (To.empty() || Key < To) &&
                          !Each.IsRemoved_;
    if (!IsWanted)
      continue;
    HasMore = Rows.size() == Limit;
    if (HasMore)
      break;
    Rows.push_back(
        {{"key", Key}, {"value", Each.EncodedValue_}, {"ver", Each.Version_}});
  }
  return jsonAnswer(httpstatus::Ok, {{"rows", Rows},
                                     {"has_more", HasMore},
                                     {"ver", Version_},
                                     {"now_ms", millisecondsNow()}});
}

bool StandInStore::hasChanges(const std::string &Table,
                              std::uint64_t After) const {
  for (const auto &[RowName, Each] : Rows_)
    if (std::get<0>(RowName) == Table && Each.Version_ > After)
      return true;
  return false;
}

HttpAnswer StandInStore::changes(const std::string &Table,
                                 std::uint64_t After) const {
  std::map<std::uint64_t, Json> InOrder;
  for (const auto &[RowName, Each] : Rows_) {
    if (std::get<0>(RowName) != Table || Each.Version_ <= After)
      continue;
    InOrder[Each.Version_].push_back({{"table", Table},
                                      {"part", std::get<1>(RowName)},
                                      {"key", std::get<2>(RowName)},
                                      {"value", Each.EncodedValue_},
                                      {"removed", Each.IsRemoved_},
                                      {"ver", Each.Version_}});
  }
  Json Rows = Json::array();
  for (const auto &[Version, Changed] : InOrder)
    for (const Json &Row : Changed)
      Rows.push_back(Row);
  return jsonAnswer(
      httpstatus::Ok,
      {{"rows", Rows}, {"ver", Version_}, {"now_ms", millisecondsNow()}});
}

void StandInStore::answerWaits() {
  std::erase_if(Waits_, [this](const Wait &Each) {
    const bool IsDue =
        Clock::now() >= Each.Until_ || hasChanges(Each.Table_, Each.After_);
    if (IsDue)
      Each.Responder_->answer(changes(Each.Table_, Each.After_));
    return IsDue;
  });
}

} // namespace dragonflylock
