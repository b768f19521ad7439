#include "loadgenerator/loadrun.h"
#include "global/digest.h"
#include "http/internal/curlclient.h"

namespace dragonflylock {
namespace {

constexpr std::size_t RingCapacity = 65536;
constexpr std::size_t RunIdBytes = 4;
constexpr std::uint32_t MaxTries = 20;
constexpr std::chrono::milliseconds RetryDelay{100};
constexpr std::chrono::milliseconds ProbeInterval{100};
constexpr std::chrono::milliseconds ProbeLimit{500};
constexpr std::chrono::seconds RequestLimit{60};
constexpr std::uint64_t LargestAnswer = 64U << 20U;
constexpr unsigned Seed = 1;

std::string header(const HttpAnswer &Answer, const char *Name) {
  const std::string *Found = findHeader(Answer.Headers_, Name);
  return Found == nullptr ? std::string() : *Found;
}

} // namespace

LoadRun::LoadRun(LoadOptions Chosen)
    : Options_(std::move(Chosen)), RunId_(randomId(RunIdBytes)), Random_(Seed),
      IsReady_(Options_.Targets_.size(), true),
      Client_(Clock_, *this, RingCapacity) {}

LoadRun::~LoadRun() {
  IsStopping_ = true;
  if (Prober_.joinable())
    Prober_.join();
  Client_.stop();
}

void LoadRun::run() {
  double Seconds = std::chrono::duration<double>(Options_.Duration_).count();
  auto Total = static_cast<std::size_t>(Options_.Rate_ * Seconds);
  std::chrono::duration<double> Interval(1.0 / Options_.Rate_);
  Requests_.reserve(Total);
  for (std::size_t Number = 0; Number < Total; ++Number)
    Requests_.push_back(makeRequest(Number));
  Due_.resize(Total);
  Left_ = Total;
  Client_.start();
  if (!Options_.Probes_.empty())
    Prober_ = std::thread([this] { probeTargets(); });
  TimePoint Start = Clock_.now();
  for (std::size_t Number = 0; Number < Total; ++Number) {
    auto Offset = std::chrono::duration_cast<std::chrono::nanoseconds>(
        Interval * static_cast<double>(Number));
    Due_[Number] = Start + Offset;
    std::this_thread::sleep_until(Due_[Number]);
    send(Number);
  }
  TimePoint GiveUpAt = Clock_.now() + RequestLimit;
  while (Left_ > 0 && Clock_.now() < GiveUpAt)
    std::this_thread::sleep_for(RetryDelay);
  Client_.stop();
}

LoadRequest LoadRun::makeRequest(std::size_t Number) {
  LoadRequest Made;
  std::uniform_real_distribution<double> Share(0, 1);
  double Kind = Share(Random_);
  bool IsKeyed = Kind < Options_.KeyedShare_;
  bool IsPost = Kind < Options_.KeyedShare_ + Options_.PostShare_;
  Made.IsIdempotent_ = !IsPost;
  Made.IsLong_ = Share(Random_) < Options_.LongShare_;
  Made.Id_ = (IsKeyed ? "k-" : "r-") + RunId_ + "-" + std::to_string(Number);
  return Made;
}

HttpRequest LoadRun::httpRequest(const LoadRequest &Wanted,
                                 std::size_t Number) const {
  HttpRequest Request;
  Request.Method_ = Wanted.IsIdempotent_ ? "GET" : "POST";
  Request.Target_ = Options_.Paths_[Number % Options_.Paths_.size()];
  auto Work = Wanted.IsLong_ ? Options_.LongWork_ : Options_.Work_;
  Request.Headers_ = {
      {"X-Load-Id", Wanted.Id_},
      {"X-Work-Ms", std::to_string(Work.count())},
      {"X-Answer-Bytes", std::to_string(Options_.AnswerBytes_)}};
  if (Wanted.Id_.starts_with("k-"))
    Request.Headers_.push_back({"Idempotency-Key", Wanted.Id_});
  if (!Wanted.IsIdempotent_)
    Request.Body_ = "{}";
  return Request;
}

SocketAddress LoadRun::chooseTarget() {
  std::lock_guard Lock(TargetMutex_);
  for (std::size_t Tried = 0; Tried < IsReady_.size(); ++Tried) {
    std::size_t Index = NextTarget_++ % IsReady_.size();
    if (IsReady_[Index])
      return Options_.Targets_[Index];
  }
  return Options_.Targets_[NextTarget_++ % IsReady_.size()];
}

void LoadRun::send(std::size_t Number) {
  LoadRequest &Wanted = Requests_[Number];
  ++Wanted.Tries_;
  Offer Sent;
  Sent.Action_.Id_ = Number;
  Sent.Action_.Attempt_ = Wanted.Tries_;
  Sent.Action_.Address_ = chooseTarget();
  Sent.Action_.Deadline_ = Clock_.now() + RequestLimit;
  Sent.Action_.IsIdempotent_ = Wanted.IsIdempotent_;
  Sent.Action_.MaxAnswer_ = LargestAnswer;
  Sent.Request_ =
      std::make_shared<const HttpRequest>(httpRequest(Wanted, Number));
  if (!Client_.offer(std::move(Sent)))
    Retries_.run(RetryDelay, [this, Number] { send(Number); });
}

void LoadRun::onOfferCompleted(CompletedOffer Ended) {
  std::size_t Number = Ended.OfferResult_.Id_;
  LoadRequest &Wanted = Requests_[Number];
  LoadResult Result = judge(Wanted, Ended);
  bool MayRetry =
      Result == LoadResult::NotRun || !Ended.OfferResult_.MayHaveBeenSent_;
  if (MayRetry && Wanted.Tries_ < MaxTries) {
    Retries_.run(RetryDelay, [this, Number] { send(Number); });
    return;
  }
  Wanted.Result_ = Result;
  Wanted.WholeTime_ = std::chrono::duration_cast<std::chrono::microseconds>(
      Clock_.now() - Due_[Number]);
  --Left_;
}

LoadResult LoadRun::judge(const LoadRequest &Wanted,
                          const CompletedOffer &Ended) const {
  if (Ended.OfferResult_.Fault_ != AnswerFault::None)
    return LoadResult::NoAnswer;
  std::string Outcome = header(Ended.Answer_, "Dragonflylock-Outcome");
  if (Outcome == "not-run")
    return LoadResult::NotRun;
  if (Outcome == "unknown")
    return LoadResult::Unknown;
  bool IsOwn = header(Ended.Answer_, "X-Load-Id") == Wanted.Id_ &&
               Ended.Answer_.Body_.starts_with(Wanted.Id_ + "\n");
  bool IsWhole = Ended.Answer_.Body_.size() >= Options_.AnswerBytes_;
  return IsOwn && IsWhole ? LoadResult::Answered : LoadResult::Wrong;
}

void LoadRun::probeTargets() {
  CurlClient Client;
  while (!IsStopping_) {
    for (std::size_t Index = 0; Index < Options_.Probes_.size(); ++Index) {
      auto Answer = Client.exchange("http://" + Options_.Probes_[Index].text(),
                                    {"GET", "/readyz", {}, {}}, ProbeLimit);
      std::lock_guard Lock(TargetMutex_);
      IsReady_[Index] = Answer && Answer.value().Status_ == httpstatus::Ok;
    }
    std::this_thread::sleep_for(ProbeInterval);
  }
}

} // namespace dragonflylock
