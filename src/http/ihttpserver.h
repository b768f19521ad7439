#ifndef DRAGONFLYLOCK_HTTP_IHTTPSERVER_H
#define DRAGONFLYLOCK_HTTP_IHTTPSERVER_H

#include "global/result.h"

#include <cstddef>
#include <cstdint>

namespace dragonflylock {

/// A listening HTTP server with a thread of its own.
class IHttpServer {
public:
  virtual ~IHttpServer() = default;
  /// Starts to listen.
  /// \returns HttpErrc::CannotListen where the address is taken.
  virtual Result<void> start() = 0;
  /// Asks clients, with each further answer, to close their connection.
  virtual void closeConnectionsAfterAnswers() = 0;
  /// Stops listening and closes all connections.
  virtual void stop() = 0;
  /// \returns the port in use, also where the settings left it open.
  virtual std::uint16_t port() const = 0;
  /// \returns the number of open connections.
  virtual std::size_t openConnections() const = 0;
  /// \returns the number of requests whose answer has not been written.
  virtual std::size_t pendingAnswers() const = 0;
};

} // namespace dragonflylock

#endif
