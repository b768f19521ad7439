#ifndef DRAGONFLYLOCK_FORWARD_INTERNAL_CURLENDPOINTCLIENT_H
#define DRAGONFLYLOCK_FORWARD_INTERNAL_CURLENDPOINTCLIENT_H

#include "forward/forwardtypes.h"
#include "forward/iendpointclient.h"
#include "global/boundedring.h"
#include "global/iclock.h"
#include "http/internal/curltransfer.h"

#include <atomic>
#include <map>
#include <memory>
#include <thread>
#include <vector>

namespace dragonflylock {

class IOfferListener;

/// Sends requests to endpoints by libcurl's multi interface.
///
/// Requests that are not idempotent each get a fresh connection: on a reused
/// one, libcurl sends a request again when the peer closes it before the
/// answer.
class CurlEndpointClient : public IEndpointClient {
public:
  /// \param Clock, Listener must outlive the client.
  /// \param RingCapacity offers that may wait for the thread.
  CurlEndpointClient(const IClock &Clock, IOfferListener &Listener,
                     std::size_t RingCapacity);
  ~CurlEndpointClient() override;

  void start() override;
  bool offer(Offer Wanted) override;
  void stop() override;

private:
  struct Exchange {
    CurlTransfer Transfer_;
    Offer Offer_;
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
  void begin(Offer Wanted);
  void collectEnded();
  void report(Exchange &Ended);
  void reportUnsent(const Offer &Wanted);

  const IClock &Clock_;
  IOfferListener &Listener_;
  std::unique_ptr<CURLM, MultiDeleter> Multi_;
  MultiWaker Waker_;
  BoundedRing<Offer> Offers_;
  std::map<CurlTransfer *, std::unique_ptr<Exchange>> Active_;
  std::vector<std::unique_ptr<Exchange>> Idle_;
  std::atomic<bool> IsStopping_ = false;
  std::thread Thread_;
};

} // namespace dragonflylock

#endif
