#include "forward/internal/curlendpointclient.h"
#include "forward/iofferlistener.h"

namespace dragonflylock {
namespace {

constexpr int PollMilliseconds = 1000;
constexpr long ConnectLimitMilliseconds = 1000;
/// Connections kept open between requests, over all endpoints.
constexpr long KeptConnections = 512;
/// Transfer objects kept for later offers.
constexpr std::size_t KeptExchanges = 256;

AnswerFault faultOf(CurlTransfer &Transfer) {
  switch (Transfer.completeness()) {
  case CurlTransfer::Completeness::Whole:
    return AnswerFault::None;
  case CurlTransfer::Completeness::Unframed:
    return AnswerFault::Unframed;
  case CurlTransfer::Completeness::TooLarge:
    return AnswerFault::TooLarge;
  case CurlTransfer::Completeness::Truncated:
  case CurlTransfer::Completeness::Missing:
    break;
  }
  if (Transfer.wasTimeout())
    return AnswerFault::Timeout;
  return Transfer.completeness() == CurlTransfer::Completeness::Truncated
             ? AnswerFault::Truncated
             : AnswerFault::Lost;
}

} // namespace

CurlEndpointClient::CurlEndpointClient(const IClock &Clock,
                                       IOfferListener &Listener,
                                       std::size_t RingCapacity)
    : Clock_(Clock), Listener_(Listener), Multi_(curl_multi_init()),
      Waker_(Multi_.get()), Offers_(RingCapacity, Waker_) {
  curl_multi_setopt(Multi_.get(), CURLMOPT_MAXCONNECTS, KeptConnections);
}

CurlEndpointClient::~CurlEndpointClient() { stop(); }

void CurlEndpointClient::start() {
  Thread_ = std::thread([this] { run(); });
}

bool CurlEndpointClient::offer(Offer Wanted) {
  return Offers_.tryPut(std::move(Wanted));
}

void CurlEndpointClient::stop() {
  IsStopping_ = true;
  Waker_.wake();
  if (Thread_.joinable())
    Thread_.join();
  for (auto &[Transfer, Each] : Active_)
    curl_multi_remove_handle(Multi_.get(), Transfer->handle());
  Active_.clear();
}

void CurlEndpointClient::run() {
  while (!IsStopping_) {
    Offers_.drain([this](Offer Wanted) { begin(std::move(Wanted)); });
    int Running = 0;
    curl_multi_perform(Multi_.get(), &Running);
    collectEnded();
    curl_multi_poll(Multi_.get(), nullptr, 0, PollMilliseconds, nullptr);
  }
}

void CurlEndpointClient::begin(Offer Wanted) {
  // The clock is read right before the act, since a process that was paused
  // finds its lease ended.
  TimePoint Now = Clock_.now();
  auto Left = std::chrono::duration_cast<std::chrono::milliseconds>(
      Wanted.Action_.Deadline_ - Now);
  bool IsTooLate = Left <= std::chrono::milliseconds::zero() ||
                   Now >= Wanted.Action_.UsableUntil_;
  if (IsTooLate) {
    reportUnsent(Wanted);
    return;
  }
  std::unique_ptr<Exchange> Started;
  if (Idle_.empty()) {
    Started = std::make_unique<Exchange>();
  } else {
    Started = std::move(Idle_.back());
    Idle_.pop_back();
  }
  Started->Offer_ = std::move(Wanted);
  const OfferAction &Action = Started->Offer_.Action_;
  CurlTransfer &Transfer = Started->Transfer_;
  Transfer.prepare("http://" + Action.Address_.text(),
                   *Started->Offer_.Request_, Left, Action.MaxAnswer_,
                   Action.IsIdempotent_
                       ? CurlTransfer::ConnectionPolicy::Reuse
                       : CurlTransfer::ConnectionPolicy::FreshOnly);
  curl_easy_setopt(Transfer.handle(), CURLOPT_CONNECTTIMEOUT_MS,
                   ConnectLimitMilliseconds);
  curl_multi_add_handle(Multi_.get(), Transfer.handle());
  Active_.emplace(&Transfer, std::move(Started));
}

void CurlEndpointClient::collectEnded() {
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
    report(*Ended);
    Ended->Offer_.Request_.reset();
    if (Idle_.size() < KeptExchanges)
      Idle_.push_back(std::move(Ended));
  }
}

void CurlEndpointClient::report(Exchange &Ended) {
  const OfferAction &Action = Ended.Offer_.Action_;
  CurlTransfer &Transfer = Ended.Transfer_;
  EndedOffer Report;
  Report.Instance_ = Action.Instance_;
  Report.End_ = {Action.Id_, Action.Attempt_, Transfer.wasOffered(),
                 faultOf(Transfer), Transfer.answer().Status_};
  Report.Answer_ = std::move(Transfer.answer());
  Listener_.onOfferEnded(std::move(Report));
}

void CurlEndpointClient::reportUnsent(const Offer &Wanted) {
  EndedOffer Report;
  Report.Instance_ = Wanted.Action_.Instance_;
  Report.End_ = {Wanted.Action_.Id_, Wanted.Action_.Attempt_, false,
                 AnswerFault::Timeout, 0};
  Listener_.onOfferEnded(std::move(Report));
}

} // namespace dragonflylock
