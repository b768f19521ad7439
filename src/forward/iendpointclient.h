#ifndef DRAGONFLYLOCK_FORWARD_IENDPOINTCLIENT_H
#define DRAGONFLYLOCK_FORWARD_IENDPOINTCLIENT_H

namespace dragonflylock {

struct Offer;

/// Sends requests to endpoints, many concurrently.
class IEndpointClient {
public:
  virtual ~IEndpointClient() = default;
  /// Starts the client's thread.
  virtual void start() = 0;
  /// Enqueues an offer; the client's listener is notified of its result.
  /// \returns whether the offer was enqueued; if not, nothing is sent.
  virtual bool offer(Offer NewOffer) = 0;
  /// Stops the thread. Offers not yet completed are dropped without a result.
  virtual void stop() = 0;
};

} // namespace dragonflylock

#endif
