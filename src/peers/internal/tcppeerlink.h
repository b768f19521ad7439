#ifndef DRAGONFLYLOCK_PEERS_INTERNAL_TCPPEERLINK_H
#define DRAGONFLYLOCK_PEERS_INTERNAL_TCPPEERLINK_H

#include "global/socketaddress.h"
#include "peers/ipeerlink.h"

#include <memory>
#include <vector>

namespace dragonflylock {

class IPeerListener;

/// Exchanges msgpack frames with peers over TCP, using Asio.
///
/// Each process sends messages on the connections that it opened and receives
/// them on those that it accepted. The accepting side first sends a random
/// challenge; it accepts messages only after a hello whose HMAC proves
/// knowledge of the shared secret.
class TcpPeerLink : public IPeerLink {
public:
  struct Options {
    std::string Name_;
    SocketAddress Listen_;
    std::vector<SocketAddress> Peers_;
    std::string Secret_;
  };

  /// \param Listener receives the messages; must outlive the link.
  TcpPeerLink(Options LinkOptions, IPeerListener &Listener);
  ~TcpPeerLink() override;

  Result<void> start() override;
  void broadcast(const PeerMessage &Message) override;
  void send(const std::string &Name, const PeerMessage &Message) override;
  void stop() override;

private:
  class Implementation;
  std::unique_ptr<Implementation> Implementation_;
};

} // namespace dragonflylock

#endif
