#include "standinpool.h"

#include "jsonanswer.h"
#include "standinstore.h"

#include "http/ihttpresponder.h"

#include <nlohmann/json.hpp>

#include <stdexcept>

namespace dragonflylock {
namespace {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

constexpr std::size_t LargestBody = 1U << 20U;
constexpr std::chrono::milliseconds TimerInterval{5};
constexpr int MisdirectedRequest = 421;

} // namespace

StandInPool::Member::Member(StandInPool &Pool, const std::string &Id)
    : Pool_(Pool), Worker_(Id, Pool.Ledger_),
      Server_({"127.0.0.1", 0}, *this, LargestBody) {
  if (!Server_.start())
    throw std::runtime_error("no port to listen on");
  Link_ =
      std::make_unique<TcpRelay>(SocketAddress{"127.0.0.1", Server_.port()});
}

void StandInPool::Member::handle(HttpRequest Request,
                                 std::shared_ptr<IHttpResponder> Responder) {
  const std::lock_guard Lock(Pool_.Mutex_);
  const std::string *Target = findHeader(Request.Headers_, "Target-Instance");
  if (Target != nullptr && *Target != Worker_.id()) {
    Responder->answer(jsonAnswer(MisdirectedRequest, Json::object()));
    return;
  }
  const Json Body = Json::parse(Request.Body_);
  const auto [Status, Answer] =
      Worker_.order(std::string(Request.path()), Body);
  const std::chrono::milliseconds Longest(
      Body.value("wait_ms", std::int64_t{0}));
  const bool Waits = Request.path() == "/hold" && Status == httpstatus::Ok &&
                     Longest.count() > 0 && !Worker_.hasEnds();
  if (Waits)
    Pool_.Waits_.push_back(
        {&Worker_, Clock::now() + Longest, std::move(Responder)});
  else
    Responder->answer(jsonAnswer(Status, Answer));
}

StandInPool::StandInPool(StandInStore &Store, std::size_t Workers) {
  for (std::size_t Index = 0; Index < Workers; ++Index) {
    const std::string Id = "w" + std::to_string(Index);
    Members_.push_back(std::make_unique<Member>(*this, Id));
    const Json Entry = {
        {"service", "pool"},
        {"address", Members_.back()->Link_->address().text()},
        {"zone", "a"},
        {"state", "ready"},
        {"born", Members_.back()->Worker_.lists().at("born")},
        {"machine", "m" + std::to_string(Index)},
        {"capacity", {{"cpu", 16000}, {"mem_mb", 32000}, {"gpus", 0}}},
        {"labels", Json::array({"a", "r1-1"})}};
    Store.put("servers", Id, Entry.dump());
  }
  Timer_ = std::thread([this] {
    while (!IsStopping_) {
      std::this_thread::sleep_for(TimerInterval);
      tick();
    }
  });
}

StandInPool::~StandInPool() {
  IsStopping_ = true;
  Timer_.join();
  for (const auto &Each : Members_)
    Each->Server_.stop();
}

void StandInPool::tick() {
  const std::lock_guard Lock(Mutex_);
  for (const auto &Each : Members_)
    Each->Worker_.tick();
  std::erase_if(Waits_, [](const Wait &Each) {
    const bool IsDue = Clock::now() >= Each.Until_ || Each.Worker_->hasEnds();
    if (IsDue)
      Each.Responder_->answer(
          jsonAnswer(httpstatus::Ok, Each.Worker_->lists()));
    return IsDue;
  });
}

std::vector<std::string> StandInPool::faults() {
  const std::lock_guard Lock(Mutex_);
  return Ledger_.Faults_;
}

} // namespace dragonflylock
