#include "forward/internal/curlendpointclient.h"
#include "forward/iofferlistener.h"

namespace dragonflylock {
namespace {

constexpr std::chrono::milliseconds ConnectTimeout{1000};
constexpr long MaxKeptConnections = 512;
constexpr std::size_t MaxKeptExchanges = 256;

AnswerFault classifyFault(CurlTransfer &Transfer) {
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
    : Clock_(Clock), Listener_(Listener),
      Loop_(
          {ConnectTimeout,
           {.Kept_ = MaxKeptConnections},
           MaxKeptExchanges,
           RingCapacity},
          [this](Exchange &Pending) { return prepare(Pending); },
          [this](Exchange &Finished) { report(Finished); }) {}

bool CurlEndpointClient::prepare(Exchange &Pending) {
  const Offer &NewOffer = Pending.Wanted_;
  const OfferAction &Action = NewOffer.Action_;
  // Reads the clock immediately before sending: the process may have been
  // paused since the offer was made, so that its lease has expired.
  TimePoint Now = Clock_.now();
  auto TimeLeft = std::chrono::duration_cast<std::chrono::milliseconds>(
      Action.Deadline_ - Now);
  bool IsTooLate = TimeLeft <= std::chrono::milliseconds::zero() ||
                   Now >= Action.UsableUntil_;
  if (IsTooLate) {
    reportUnsent(NewOffer);
    return false;
  }
  Pending.Transfer_.prepare("http://" + Action.Address_.text(),
                            *NewOffer.Request_, TimeLeft, Action.MaxAnswer_,
                            Action.IsIdempotent_
                                ? CurlTransfer::ConnectionPolicy::Reuse
                                : CurlTransfer::ConnectionPolicy::FreshOnly);
  return true;
}

void CurlEndpointClient::report(Exchange &Finished) {
  const OfferAction &Action = Finished.Wanted_.Action_;
  CurlTransfer &Transfer = Finished.Transfer_;
  CompletedOffer Completed;
  Completed.Instance_ = Action.Instance_;
  Completed.OfferResult_ = {Action.Id_, Action.Attempt_, Transfer.wasOffered(),
                            classifyFault(Transfer), Transfer.answer().Status_};
  Completed.Answer_ = std::move(Transfer.answer());
  Listener_.onOfferCompleted(std::move(Completed));
}

void CurlEndpointClient::reportUnsent(const Offer &NewOffer) {
  CompletedOffer Completed;
  Completed.Instance_ = NewOffer.Action_.Instance_;
  Completed.OfferResult_ = {NewOffer.Action_.Id_, NewOffer.Action_.Attempt_,
                            false, AnswerFault::Timeout, 0};
  Listener_.onOfferCompleted(std::move(Completed));
}

} // namespace dragonflylock
