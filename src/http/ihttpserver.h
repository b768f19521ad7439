#ifndef DRAGONFLYLOCK_HTTP_IHTTPSERVER_H
#define DRAGONFLYLOCK_HTTP_IHTTPSERVER_H

#include "global/result.h"

#include <cstddef>
#include <cstdint>

namespace dragonflylock {

struct HttpAnswer;
struct RequestLimits;

/// A listening HTTP server with a thread of its own.
class IHttpServer {
public:
  virtual ~IHttpServer() = default;
  /// Starts to listen.
  /// \returns HttpErrc::CannotListen where the address is taken.
  virtual Result<void> start() = 0;
  /// Sets what is accepted of each request, from its next byte on. Callable
  /// from any thread, also before start().
  virtual void setLimits(const RequestLimits &Limits) = 0;
  /// Closes each connection with its next answer, and those that wait for a
  /// request, from now on. New connections are still served.
  virtual void closeConnectionsAfterAnswers() = 0;
  /// Answers each further request with \p Refusal instead of passing it to the
  /// handler, and closes its connection. Requests that the handler has are not
  /// affected.
  virtual void refuseRequests(HttpAnswer Refusal) = 0;
  /// Stops listening, refuses further requests (with 503 where
  /// refuseRequests() gave no other answer), answers those that the handler has
  /// with 504, since they may take effect, and closes all connections.
  virtual void stop() = 0;
  /// \returns the port in use, also where the settings left it open.
  virtual std::uint16_t port() const = 0;
  /// \returns the number of open connections.
  virtual std::size_t openConnections() const = 0;
  /// \returns the number of connections accepted since the start.
  virtual std::uint64_t acceptedConnections() const = 0;
  /// \returns the number of requests refused by refuseRequests() or stop().
  virtual std::uint64_t refusedRequests() const = 0;
  /// \returns the number of requests whose answer has not been written.
  virtual std::size_t pendingAnswers() const = 0;
};

} // namespace dragonflylock

#endif
