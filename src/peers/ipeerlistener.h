#ifndef DRAGONFLYLOCK_PEERS_IPEERLISTENER_H
#define DRAGONFLYLOCK_PEERS_IPEERLISTENER_H

#include "peers/peertypes.h"

namespace dragonflylock {

/// Receives messages from peers.
class IPeerListener {
public:
  virtual ~IPeerListener() = default;
  /// Called on the link's thread for each message; must not block.
  virtual void onPeerMessage(PeerMessage Message) = 0;
};

} // namespace dragonflylock

#endif
