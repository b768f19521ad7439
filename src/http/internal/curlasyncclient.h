#ifndef DRAGONFLYLOCK_HTTP_INTERNAL_CURLASYNCCLIENT_H
#define DRAGONFLYLOCK_HTTP_INTERNAL_CURLASYNCCLIENT_H

#include "global/boundedring.h"
#include "http/iasynchttpclient.h"
#include "http/internal/curltransfer.h"

#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace dragonflylock {

/// Exchanges requests by libcurl's multi interface, on a thread of its own.
class CurlAsyncClient : public IAsyncHttpClient {
public:
  /// Runs a function on the thread that the ends are for; false where its
  /// ring is full.
  using Poster = std::function<bool(std::function<void()>)>;

  /// \param RingCapacity requests that may wait for the thread.
  CurlAsyncClient(Poster Post, std::size_t RingCapacity);
  ~CurlAsyncClient() override;

  void start();
  void stop();
  void send(const SocketAddress &Address, HttpRequest Request,
            std::chrono::milliseconds Longest, Done Ended) override;

private:
  struct Wanted {
    std::string BaseUrl_;
    HttpRequest Request_;
    std::chrono::milliseconds Longest_{0};
    Done Ended_;
  };
  struct Exchange {
    CurlTransfer Transfer_;
    Wanted Wanted_;
  };
  struct MultiDeleter {
    void operator()(CURLM *Handle) const { curl_multi_cleanup(Handle); }
  };
  class MultiWaker : public IWaker {
  public:
    explicit MultiWaker(CURLM *Multi) : Multi_(Multi) {}
    void wake() override { curl_multi_wakeup(Multi_); }

  private:
    CURLM *Multi_;
  };

  void run();
  void begin(Wanted Request);
  void collectEnded();
  void report(Done Ended, ExchangeEnd End);

  Poster Post_;
  std::unique_ptr<CURLM, MultiDeleter> Multi_;
  MultiWaker Waker_;
  BoundedRing<Wanted> Requests_;
  std::map<CurlTransfer *, std::unique_ptr<Exchange>> Active_;
  std::vector<std::unique_ptr<Exchange>> Idle_;
  std::atomic<bool> IsStopping_ = false;
  std::thread Thread_;
};

} // namespace dragonflylock

#endif
