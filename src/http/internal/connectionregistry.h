#ifndef DRAGONFLYLOCK_HTTP_INTERNAL_CONNECTIONREGISTRY_H
#define DRAGONFLYLOCK_HTTP_INTERNAL_CONNECTIONREGISTRY_H

#include <asio/execution_context.hpp>

#include <chrono>
#include <mutex>
#include <unordered_set>

namespace dragonflylock {

class TrackedSocket;

/// The sockets of one I/O context, so that idle ones can be closed.
/// Thread-safe: a socket is destroyed on the thread that gives its last answer.
class ConnectionRegistry : public asio::execution_context::service {
public:
  // Asio looks the service up by this name.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static inline asio::execution_context::id id;

  explicit ConnectionRegistry(asio::execution_context &Context)
      : asio::execution_context::service(Context) {}

  void add(TrackedSocket *Socket) {
    const std::lock_guard Lock(Mutex_);
    Sockets_.insert(Socket);
  }
  void remove(TrackedSocket *Socket) {
    const std::lock_guard Lock(Mutex_);
    Sockets_.erase(Socket);
  }
  /// Ends the connections that have waited for a request for \p IdleTime. A
  /// request that the operating system has received is still read and handled.
  void closeIdle(std::chrono::milliseconds IdleTime);
  /// Closes all connections, once the I/O context has stopped.
  void closeAll();

private:
  void shutdown() override {}

  std::mutex Mutex_;
  std::unordered_set<TrackedSocket *> Sockets_;
};

} // namespace dragonflylock

#endif
