#ifndef DRAGONFLYLOCK_HTTP_INTERNAL_CURLASYNCCLIENT_H
#define DRAGONFLYLOCK_HTTP_INTERNAL_CURLASYNCCLIENT_H

#include "global/iwaitobserver.h"
#include "http/connectionlimits.h"
#include "http/iasynchttpclient.h"
#include "http/internal/curlloop.h"

#include <string>

namespace dragonflylock {

class ILogger;

/// Exchanges requests by libcurl's multi interface, on a thread of its own.
class CurlAsyncClient : public IAsyncHttpClient {
public:
  /// Runs a function on the thread that the ends are for; false where its
  /// ring is full.
  using Poster = std::function<bool(std::function<void()>)>;

  /// \param RingCapacity requests that may wait for the thread.
  /// \param Waits is told how long requests wait for the thread; may be null,
  ///   must outlive the client.
  /// \param Logger may be null, must outlive the client.
  CurlAsyncClient(Poster Post, std::size_t RingCapacity,
                  IWaitObserver *Waits = nullptr, ILogger *Logger = nullptr,
                  const ConnectionLimits &Limits = {});

  void start() { Loop_.start(); }
  void stop() { Loop_.stop(); }
  void send(const SocketAddress &Address, HttpRequest Request,
            std::chrono::milliseconds Longest, Done Ended) override;

private:
  struct Wanted {
    std::string BaseUrl_;
    HttpRequest Request_;
    std::chrono::milliseconds Longest_{0};
    Done Ended_;
    std::chrono::steady_clock::time_point PutAt_;
  };
  using Exchange = CurlLoop<Wanted>::Exchange;

  bool prepare(Exchange &Started);
  void logSilentConnection(const Wanted &Unanswered) const;
  void reportEnd(Exchange &Ended);
  void report(Done Ended, ExchangeEnd End);

  Poster Post_;
  IWaitObserver *Waits_;
  ILogger *Logger_;
  CurlLoop<Wanted> Loop_;
};

} // namespace dragonflylock

#endif
