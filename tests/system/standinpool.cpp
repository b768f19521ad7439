#include "standinpool.h"

#include "jsonanswer.h"
#include "standinstore.h"

#include "http/ihttpresponder.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <stdexcept>

namespace dragonflylock {
namespace {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

constexpr std::size_t LargestBody = 1U << 20U;
constexpr std::chrono::milliseconds TimerInterval{5};
constexpr int MisdirectedRequest = 421;

constexpr std::chrono::milliseconds SoonAfterReturn{300};
constexpr std::chrono::milliseconds LongestDelay{8000};
constexpr std::chrono::hours LongestClockStart{3};
/// Percentages of a true clock's rate.
constexpr int SlowestClock = 98;
constexpr int TrueClock = 100;

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
  if (HoldsBack_) {
    Pool_.LateOrders_.push_back({this, std::move(Request), std::move(Responder),
                                 Clock::time_point::max()});
    return;
  }
  carryOut(Request, std::move(Responder));
}

void StandInPool::Member::carryOut(const HttpRequest &Request,
                                   std::shared_ptr<IHttpResponder> Responder) {
  const std::string *Target = findHeader(Request.Headers_, "Target-Instance");
  if (Target != nullptr && *Target != Worker_.id()) {
    Responder->answer(jsonAnswer(MisdirectedRequest, Json::object()));
    return;
  }
  // The timer may be late, but no run outlives its lease.
  for (const auto &Each : Pool_.Members_)
    Each->Worker_.tick();
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

StandInPool::StandInPool(StandInStore &Store, std::size_t Workers,
                         std::uint64_t Seed)
    : Store_(Store), Random_(Seed) {
  for (std::size_t Index = 0; Index < Workers; ++Index) {
    {
      const std::lock_guard Lock(Mutex_);
      Members_.push_back(
          std::make_unique<Member>(*this, "w" + std::to_string(Index)));
      begin(Members_.back()->Worker_);
    }
    registerWorker(Index);
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

void StandInPool::registerWorker(std::size_t Worker) {
  const Member &Each = *Members_[Worker];
  const Json Entry = {
      {"service", "pool"},
      {"address", Each.Link_->address().text()},
      {"zone", "a"},
      {"state", "ready"},
      {"born", Each.Worker_.born()},
      {"machine", "m" + std::to_string(Worker)},
      {"capacity", {{"cpu", 16000}, {"mem_mb", 32000}, {"gpus", 0}}},
      {"labels", Json::array({"a", "r1-1"})}};
  Store_.put("servers", Each.Worker_.id(), Entry.dump());
}

void StandInPool::begin(StandInWorker &Worker) {
  Worker.begin(
      pickTime(std::chrono::milliseconds(0), LongestClockStart),
      std::uniform_real_distribution<>(SlowestClock, TrueClock)(Random_) /
          TrueClock);
}

std::chrono::milliseconds StandInPool::pickTime(std::chrono::milliseconds From,
                                                std::chrono::milliseconds To) {
  return std::chrono::milliseconds(std::uniform_int_distribution<std::int64_t>(
      From.count(), To.count())(Random_));
}

void StandInPool::holdBackOrders(std::size_t Worker) {
  const std::lock_guard Lock(Mutex_);
  Members_[Worker]->HoldsBack_ = true;
}

void StandInPool::crash(std::size_t Worker, Connections Ends) {
  const std::lock_guard Lock(Mutex_);
  Member &Each = *Members_[Worker];
  Each.HoldsBack_ = true;
  Each.Worker_.crash();
  std::erase_if(Waits_, [&](Wait &Held) {
    const bool IsLost = Held.Worker_ == &Each.Worker_;
    if (IsLost)
      Unanswered_.push_back(std::move(Held.Responder_));
    return IsLost;
  });
  Ledger_.note(Each.Worker_.id() + " crashed, connections " +
               std::to_string(static_cast<int>(Ends)));
  if (Ends == Connections::Closed)
    Each.Link_->setMode(TcpRelay::Mode::Pass);
  if (Ends == Connections::Silent)
    Each.Link_->silenceOpenConnections();
}

void StandInPool::comeBack(std::size_t Worker) {
  {
    const std::lock_guard Lock(Mutex_);
    Member &Each = *Members_[Worker];
    begin(Each.Worker_);
    Each.HoldsBack_ = false;
    for (LateOrder &Order : LateOrders_) {
      if (Order.To_ != &Each || Order.Due_ != Clock::time_point::max())
        continue;
      const bool IsSoon = Random_() % 4 == 0;
      Order.Due_ =
          Clock::now() +
          (IsSoon ? pickTime(std::chrono::milliseconds(0), SoonAfterReturn)
                  : pickTime(SoonAfterReturn, LongestDelay));
    }
  }
  registerWorker(Worker);
}

void StandInPool::note(const std::string &What) {
  const std::lock_guard Lock(Mutex_);
  Ledger_.note(What);
}

void StandInPool::deliverLateOrders() {
  const Clock::time_point Now = Clock::now();
  auto Due = std::partition(LateOrders_.begin(), LateOrders_.end(),
                            [&](const LateOrder &Each) {
                              return Each.To_->HoldsBack_ || Each.Due_ > Now;
                            });
  for (auto Each = Due; Each != LateOrders_.end(); ++Each) {
    Ledger_.note(Each->To_->Worker_.id() + " gets late " +
                 std::string(Each->Request_.path()) + " " +
                 Each->Request_.Body_);
    Each->To_->carryOut(Each->Request_, std::move(Each->Responder_));
  }
  LateOrders_.erase(Due, LateOrders_.end());
}

void StandInPool::tick() {
  const std::lock_guard Lock(Mutex_);
  deliverLateOrders();
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

std::vector<std::string> StandInPool::events() {
  const std::lock_guard Lock(Mutex_);
  return Ledger_.Events_;
}

} // namespace dragonflylock
