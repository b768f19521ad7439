#include "http/internal/connectionregistry.h"
#include "http/internal/trackedsocket.h"

namespace dragonflylock {

void ConnectionRegistry::closeIdle(std::chrono::milliseconds IdleTime) {
  const std::lock_guard Lock(Mutex_);
  for (TrackedSocket *Socket : Sockets_) {
    if (!Socket->is_open() || Socket->idleTime() < IdleTime)
      continue;
    // The read in progress then ends as if the caller had closed the
    // connection; without a read in progress, the next one does.
    asio::error_code Ignored;
    Socket->shutdown(asio::socket_base::shutdown_receive, Ignored);
  }
}

void ConnectionRegistry::closeAll() {
  const std::lock_guard Lock(Mutex_);
  for (TrackedSocket *Socket : Sockets_) {
    asio::error_code Ignored;
    Socket->close(Ignored);
  }
}

} // namespace dragonflylock
