#ifndef DRAGONFLYLOCK_HTTP_INTERNAL_CONNECTIONREGISTRY_H
#define DRAGONFLYLOCK_HTTP_INTERNAL_CONNECTIONREGISTRY_H

#include <asio/execution_context.hpp>

#include <chrono>
#include <unordered_set>

namespace dragonflylock {

class TrackedSocket;

/// The sockets of one I/O context, so that idle ones can be closed. Used on the
/// thread of the I/O context only.
class ConnectionRegistry : public asio::execution_context::service {
public:
  // Asio looks the service up by this name.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static inline asio::execution_context::id id;

  explicit ConnectionRegistry(asio::execution_context &Context)
      : asio::execution_context::service(Context) {}

  void add(TrackedSocket *Socket) { Sockets_.insert(Socket); }
  void remove(TrackedSocket *Socket) { Sockets_.erase(Socket); }
  /// Ends the connections that have waited for a request for \p IdleTime. A
  /// request that the operating system has received is still read and handled.
  void closeIdle(std::chrono::milliseconds IdleTime);
  /// Closes all connections, once the I/O context has stopped.
  void closeAll();

private:
  void shutdown() override {}

  std::unordered_set<TrackedSocket *> Sockets_;
};

} // namespace dragonflylock

#endif
