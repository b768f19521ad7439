#include "http/internal/curlasyncclient.h"
#include "global/ilogger.h"
#include "global/logevent.h"

namespace dragonflylock {
namespace {

constexpr std::chrono::milliseconds ConnectLimit{700};
constexpr std::size_t KeptExchanges = 64;
constexpr std::size_t LargestAnswer = 16U << 20U;

} // namespace

CurlAsyncClient::CurlAsyncClient(Poster Post, std::size_t RingCapacity,
                                 IWaitObserver *Waits, ILogger *Logger,
                                 const ConnectionLimits &Limits)
    : Post_(std::move(Post)), Waits_(Waits), Logger_(Logger),
      Loop_(
          {ConnectLimit, Limits, KeptExchanges, RingCapacity},
          [this](Exchange &Started) { return prepare(Started); },
          [this](Exchange &Ended) { reportEnd(Ended); }) {}

void CurlAsyncClient::send(const SocketAddress &Address, HttpRequest Request,
                           std::chrono::milliseconds Longest, Done Ended) {
  bool IsPut = Loop_.tryPut({"http://" + Address.text(), std::move(Request),
                             Longest, Ended, std::chrono::steady_clock::now()});
  if (!IsPut)
    report(std::move(Ended), {});
}

bool CurlAsyncClient::prepare(Exchange &Started) {
  const Wanted &Each = Started.Wanted_;
  if (Waits_ != nullptr)
    Waits_->waited(WaitPlace::BeforeSending,
                   std::chrono::duration_cast<std::chrono::microseconds>(
                       std::chrono::steady_clock::now() - Each.PutAt_));
  Started.Transfer_.prepare(Each.BaseUrl_, Each.Request_, Each.Longest_,
                            LargestAnswer,
                            CurlTransfer::ConnectionPolicy::Reuse);
  return true;
}

void CurlAsyncClient::logSilentConnection(const Wanted &Unanswered) const {
  if (Logger_ == nullptr)
    return;
  Logger_->write(LogLevel::Warning, LogEvent("connection.silent")
                                        .with("server", Unanswered.BaseUrl_)
                                        .with("timeout", Unanswered.Longest_));
}

void CurlAsyncClient::reportEnd(Exchange &Ended) {
  CurlTransfer &Transfer = Ended.Transfer_;
  if (Transfer.hasKeptConnectionFailed())
    logSilentConnection(Ended.Wanted_);
  ExchangeEnd End;
  End.Outcome_ = Transfer.wasOffered() ? ExchangeOutcome::AnswerLost
                                       : ExchangeOutcome::NotSent;
  if (Transfer.completeness() == CurlTransfer::Completeness::Whole)
    End.Outcome_ = ExchangeOutcome::Answered;
  End.Answer_ = std::move(Transfer.answer());
  report(std::move(Ended.Wanted_.Ended_), std::move(End));
}

void CurlAsyncClient::report(Done Ended, ExchangeEnd End) {
  // The ring for ends is at least as large as the number of exchanges under
  // way, so that it refuses only while the process stops.
  Post_([Ended = std::move(Ended), End = std::move(End)]() mutable {
    Ended(std::move(End));
  });
}

} // namespace dragonflylock
