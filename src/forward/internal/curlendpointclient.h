#ifndef DRAGONFLYLOCK_FORWARD_INTERNAL_CURLENDPOINTCLIENT_H
#define DRAGONFLYLOCK_FORWARD_INTERNAL_CURLENDPOINTCLIENT_H

#include "forward/forwardtypes.h"
#include "forward/iendpointclient.h"
#include "global/iclock.h"
#include "http/internal/curlloop.h"

namespace dragonflylock {

class IOfferListener;

/// Sends requests to endpoints with libcurl's multi interface.
///
/// Each request that is not idempotent gets a new connection: on a reused one,
/// libcurl sends the request again if the peer closes the connection before
/// responding.
class CurlEndpointClient : public IEndpointClient {
public:
  /// \param Clock must outlive the client.
  /// \param Listener must outlive the client.
  /// \param RingCapacity maximum number of offers waiting for the thread.
  CurlEndpointClient(const IClock &Clock, IOfferListener &Listener,
                     std::size_t RingCapacity);

  void start() override { Loop_.start(); }
  bool offer(Offer NewOffer) override {
    return Loop_.tryPut(std::move(NewOffer));
  }
  void stop() override { Loop_.stop(); }

private:
  using Exchange = CurlLoop<Offer>::Exchange;

  /// Prepares the transfer of an offer, or reports the offer as unsent if its
  /// deadline has passed or the instance must no longer be used.
  /// \returns whether the transfer may start.
  bool prepare(Exchange &Pending);
  void report(Exchange &Finished);
  void reportUnsent(const Offer &NewOffer);

  const IClock &Clock_;
  IOfferListener &Listener_;
  CurlLoop<Offer> Loop_;
};

} // namespace dragonflylock

#endif
