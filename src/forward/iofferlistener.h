#ifndef DRAGONFLYLOCK_FORWARD_IOFFERLISTENER_H
#define DRAGONFLYLOCK_FORWARD_IOFFERLISTENER_H

namespace dragonflylock {

struct CompletedOffer;

/// Learns how offers end.
class IOfferListener {
public:
  virtual ~IOfferListener() = default;
  /// Takes in the end of an offer; called on the client's thread.
  virtual void onOfferCompleted(CompletedOffer Completed) = 0;
};

} // namespace dragonflylock

#endif
