#ifndef DRAGONFLYLOCK_PEERS_IPEERLINK_H
#define DRAGONFLYLOCK_PEERS_IPEERLINK_H

#include "global/result.h"
#include "peers/peertypes.h"

#include <string>

namespace dragonflylock {

/// Exchanges messages with the other entry instances. A message may be lost,
/// so senders repeat what matters.
class IPeerLink {
public:
  virtual ~IPeerLink() = default;
  /// Starts to listen and to connect to the peers.
  virtual Result<void> start() = 0;
  /// Sends to all peers; callable from any thread.
  virtual void broadcast(const PeerMessage &Message) = 0;
  /// Sends to the peer of that name; callable from any thread.
  virtual void send(const std::string &Name, const PeerMessage &Message) = 0;
  /// Closes all connections and ends the thread.
  virtual void stop() = 0;
};

} // namespace dragonflylock

#endif
