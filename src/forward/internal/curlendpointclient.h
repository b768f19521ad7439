#ifndef DRAGONFLYLOCK_FORWARD_INTERNAL_CURLENDPOINTCLIENT_H
#define DRAGONFLYLOCK_FORWARD_INTERNAL_CURLENDPOINTCLIENT_H

#include "forward/forwardtypes.h"
#include "forward/iendpointclient.h"
#include "global/iclock.h"
#include "http/internal/curlloop.h"

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

  void start() override { Loop_.start(); }
  bool offer(Offer NewOffer) override {
    return Loop_.tryPut(std::move(NewOffer));
  }
  void stop() override { Loop_.stop(); }

private:
  using Exchange = CurlLoop<Offer>::Exchange;

  /// \returns whether the offer may still be made; reports it where not.
  bool prepare(Exchange &Pending);
  void report(Exchange &Finished);
  void reportUnsent(const Offer &NewOffer);

  const IClock &Clock_;
  IOfferListener &Listener_;
  CurlLoop<Offer> Loop_;
};

} // namespace dragonflylock

#endif
