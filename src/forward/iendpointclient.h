#ifndef DRAGONFLYLOCK_FORWARD_IENDPOINTCLIENT_H
#define DRAGONFLYLOCK_FORWARD_IENDPOINTCLIENT_H

namespace dragonflylock {

struct Offer;

/// Sends requests to endpoints, many at a time.
class IEndpointClient {
public:
  virtual ~IEndpointClient() = default;
  /// Starts the thread.
  virtual void start() = 0;
  /// Takes in an offer, whose end its listener learns.
  /// \returns whether it was taken in; if not, nothing was sent.
  virtual bool offer(Offer NewOffer) = 0;
  /// Ends the thread; offers that have not ended are dropped.
  virtual void stop() = 0;
};

} // namespace dragonflylock

#endif
