#include "forward/internal/curlendpointclient.h"
#include "forward/iofferlistener.h"

namespace dragonflylock {
namespace {

constexpr std::chrono::milliseconds ConnectLimit{1000};
constexpr long KeptConnections = 512;
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
    : Clock_(Clock), Listener_(Listener),
      Loop_(
          {ConnectLimit, KeptConnections, KeptExchanges, RingCapacity},
          [this](Exchange &Started) { return prepare(Started); },
          [this](Exchange &Ended) { report(Ended); }) {}

bool CurlEndpointClient::prepare(Exchange &Started) {
  const Offer &Wanted = Started.Wanted_;
  const OfferAction &Action = Wanted.Action_;
  // The clock is read right before the act, since a process that was paused
  // finds its lease ended.
  TimePoint Now = Clock_.now();
  auto Left = std::chrono::duration_cast<std::chrono::milliseconds>(
      Action.Deadline_ - Now);
  bool IsTooLate =
      Left <= std::chrono::milliseconds::zero() || Now >= Action.UsableUntil_;
  if (IsTooLate) {
    reportUnsent(Wanted);
    return false;
  }
  Started.Transfer_.prepare("http://" + Action.Address_.text(),
                            *Wanted.Request_, Left, Action.MaxAnswer_,
                            Action.IsIdempotent_
                                ? CurlTransfer::ConnectionPolicy::Reuse
                                : CurlTransfer::ConnectionPolicy::FreshOnly);
  return true;
}

void CurlEndpointClient::report(Exchange &Ended) {
  const OfferAction &Action = Ended.Wanted_.Action_;
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
