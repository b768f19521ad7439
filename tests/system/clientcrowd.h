#ifndef DRAGONFLYLOCK_TESTS_SYSTEM_CLIENTCROWD_H
#define DRAGONFLYLOCK_TESTS_SYSTEM_CLIENTCROWD_H

#include "global/socketaddress.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace dragonflylock {

/// Connections to one server that all send the same bytes as fast as the server
/// reads them and then stay open. For use by one thread.
class ClientCrowd {
public:
  /// \param Target the server; on the loopback address.
  /// \param Count the number of connections that are open at a time.
  /// \param Bytes what each connection sends.
  /// \param Reconnects how often each connection is opened again after the
  ///   server has closed it.
  ClientCrowd(const SocketAddress &Target, std::size_t Count, std::string Bytes,
              std::size_t Reconnects);
  /// Closes all connections.
  ~ClientCrowd();
  ClientCrowd(const ClientCrowd &) = delete;
  ClientCrowd &operator=(const ClientCrowd &) = delete;

  /// Sends until each connection has sent all its bytes or is closed for good,
  /// and keeps the connections open for \p Hold after that.
  /// \param Limit the time after which sending is given up.
  /// \param Sample is called every few milliseconds.
  void play(std::chrono::milliseconds Limit, std::chrono::milliseconds Hold,
            const std::function<void()> &Sample);

private:
  struct Client {
    int Socket_ = -1;
    std::size_t Sent_ = 0;
    std::size_t ReconnectsLeft_ = 0;
  };

  void open(Client &Each) const;
  /// Closes the connection and opens it again where that is left.
  void reopen(Client &Each) const;
  /// Sends and receives what is possible without waiting.
  void exchange(Client &Each, short Events) const;
  /// Waits for sockets for a few milliseconds and serves them.
  /// \returns whether a connection has bytes left to send.
  bool step();

  SocketAddress Target_;
  std::string Bytes_;
  std::vector<Client> Clients_;
};

} // namespace dragonflylock

#endif
