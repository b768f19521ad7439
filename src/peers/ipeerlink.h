#ifndef DRAGONFLYLOCK_PEERS_IPEERLINK_H
#define DRAGONFLYLOCK_PEERS_IPEERLINK_H

#include "global/result.h"
#include "peers/peertypes.h"

#include <string>

namespace dragonflylock {

/// Exchanges messages with the other entry instances. Messages may be lost, so
/// senders must repeat those that have to arrive.
class IPeerLink {
public:
  virtual ~IPeerLink() = default;
  /// Starts listening and connecting to the peers.
  virtual Result<void> start() = 0;
  /// Sends to all peers; callable from any thread.
  virtual void broadcast(const PeerMessage &Message) = 0;
  /// Sends to the peer \p Name; callable from any thread.
  virtual void send(const std::string &Name, const PeerMessage &Message) = 0;
  /// Closes all connections and stops the link's thread.
  virtual void stop() = 0;
};

} // namespace dragonflylock

#endif
