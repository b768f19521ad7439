#ifndef DRAGONFLYLOCK_PEERS_IPEERLISTENER_H
#define DRAGONFLYLOCK_PEERS_IPEERLISTENER_H

#include "peers/peertypes.h"

namespace dragonflylock {

/// Receives the messages of peers.
class IPeerListener {
public:
  virtual ~IPeerListener() = default;
  /// Takes in a message; called on the link's thread, must not block.
  virtual void onPeerMessage(PeerMessage Message) = 0;
};

} // namespace dragonflylock

#endif
