#include "http/internal/curlasyncclient.h"

namespace dragonflylock {
namespace {

constexpr int PollMilliseconds = 1000;
constexpr long ConnectLimitMilliseconds = 700;
/// Connections kept open between requests, over all addresses.
constexpr long KeptConnections = 256;
/// Transfer objects kept for later requests.
constexpr std::size_t KeptExchanges = 64;
constexpr std::size_t LargestAnswer = 16U << 20U;

} // namespace

CurlAsyncClient::CurlAsyncClient(Poster Post, std::size_t RingCapacity)
    : Post_(std::move(Post)), Multi_(curl_multi_init()), Waker_(Multi_.get()),
      Requests_(RingCapacity, Waker_) {
  curl_multi_setopt(Multi_.get(), CURLMOPT_MAXCONNECTS, KeptConnections);
}

CurlAsyncClient::~CurlAsyncClient() { stop(); }

void CurlAsyncClient::start() {
  Thread_ = std::thread([this] { run(); });
}

void CurlAsyncClient::stop() {
  IsStopping_ = true;
  Waker_.wake();
  if (Thread_.joinable())
    Thread_.join();
  for (auto &[Transfer, Each] : Active_)
    curl_multi_remove_handle(Multi_.get(), Transfer->handle());
  Active_.clear();
}

void CurlAsyncClient::send(const SocketAddress &Address, HttpRequest Request,
                           std::chrono::milliseconds Longest, Done Ended) {
  bool IsPut = Requests_.tryPut(
      {"http://" + Address.text(), std::move(Request), Longest, Ended});
  if (!IsPut)
    report(std::move(Ended), {});
}

void CurlAsyncClient::run() {
  while (!IsStopping_) {
    Requests_.drain([this](Wanted Request) { begin(std::move(Request)); });
    int Running = 0;
    curl_multi_perform(Multi_.get(), &Running);
    collectEnded();
    curl_multi_poll(Multi_.get(), nullptr, 0, PollMilliseconds, nullptr);
  }
}

void CurlAsyncClient::begin(Wanted Request) {
  std::unique_ptr<Exchange> Started;
  if (Idle_.empty()) {
    Started = std::make_unique<Exchange>();
  } else {
    Started = std::move(Idle_.back());
    Idle_.pop_back();
  }
  Started->Wanted_ = std::move(Request);
  const Wanted &Each = Started->Wanted_;
  CurlTransfer &Transfer = Started->Transfer_;
  Transfer.prepare(Each.BaseUrl_, Each.Request_, Each.Longest_, LargestAnswer,
                   CurlTransfer::ConnectionPolicy::Reuse);
  curl_easy_setopt(Transfer.handle(), CURLOPT_CONNECTTIMEOUT_MS,
                   ConnectLimitMilliseconds);
  curl_multi_add_handle(Multi_.get(), Transfer.handle());
  Active_.emplace(&Transfer, std::move(Started));
}

void CurlAsyncClient::collectEnded() {
  int Left = 0;
  while (CURLMsg *Message = curl_multi_info_read(Multi_.get(), &Left)) {
    if (Message->msg != CURLMSG_DONE)
      continue;
    CURL *Handle = Message->easy_handle;
    CURLcode Code = Message->data.result;
    char *Private = nullptr;
    curl_easy_getinfo(Handle, CURLINFO_PRIVATE, &Private);
    auto *Transfer = reinterpret_cast<CurlTransfer *>(Private);
    Transfer->finish(Code);
    curl_multi_remove_handle(Multi_.get(), Handle);
    auto Found = Active_.find(Transfer);
    std::unique_ptr<Exchange> Ended = std::move(Found->second);
    Active_.erase(Found);
    ExchangeEnd End;
    End.Outcome_ = Transfer->wasOffered() ? ExchangeOutcome::AnswerLost
                                          : ExchangeOutcome::NotSent;
    if (Transfer->completeness() == CurlTransfer::Completeness::Whole)
      End.Outcome_ = ExchangeOutcome::Answered;
    End.Answer_ = std::move(Transfer->answer());
    report(std::move(Ended->Wanted_.Ended_), std::move(End));
    Ended->Wanted_ = {};
    if (Idle_.size() < KeptExchanges)
      Idle_.push_back(std::move(Ended));
  }
}

void CurlAsyncClient::report(Done Ended, ExchangeEnd End) {
  // The ring for ends is at least as large as the number of exchanges under
  // way, so that it refuses only while the process stops.
  Post_([Ended = std::move(Ended), End = std::move(End)]() mutable {
    Ended(std::move(End));
  });
}

} // namespace dragonflylock
