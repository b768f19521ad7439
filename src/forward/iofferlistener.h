#ifndef DRAGONFLYLOCK_FORWARD_IOFFERLISTENER_H
#define DRAGONFLYLOCK_FORWARD_IOFFERLISTENER_H

namespace dragonflylock {

struct CompletedOffer;

/// Receives the results of offers.
class IOfferListener {
public:
  virtual ~IOfferListener() = default;
  /// Called on the client's thread when an offer has completed.
  virtual void onOfferCompleted(CompletedOffer Completed) = 0;
};

} // namespace dragonflylock

#endif
