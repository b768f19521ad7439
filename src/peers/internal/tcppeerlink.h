#ifndef DRAGONFLYLOCK_PEERS_INTERNAL_TCPPEERLINK_H
#define DRAGONFLYLOCK_PEERS_INTERNAL_TCPPEERLINK_H

#include "global/socketaddress.h"
#include "peers/ipeerlink.h"

#include <memory>
#include <vector>

namespace dragonflylock {

class IPeerListener;

/// Exchanges msgpack frames with peers over TCP by Asio.
///
/// Each process sends on the connections that it opened itself and receives
/// on those that it accepted. The accepting side sends a random challenge;
/// frames count only after a hello that proves knowledge of the secret.
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
