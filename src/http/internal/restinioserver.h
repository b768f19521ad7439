#ifndef DRAGONFLYLOCK_HTTP_INTERNAL_RESTINIOSERVER_H
#define DRAGONFLYLOCK_HTTP_INTERNAL_RESTINIOSERVER_H

#include "global/requestlimits.h"
#include "global/socketaddress.h"
#include "http/ihttpserver.h"
#include "http/servercapacity.h"

#include <memory>
#include <mutex>

namespace dragonflylock {

class IHttpHandler;
class ILogger;

/// An HTTP server by RESTinio.
class RestinioServer : public IHttpServer {
public:
  /// \param Address where to listen; port 0 takes a free one.
  /// \param Handler receives the requests; must outlive the server.
  /// \param LargestBody bytes; a larger request body is refused until
  ///   setLimits() sets another limit.
  /// \param Capacity what all connections may use together.
  /// \param Logger gets a line when connections are closed to keep within the
  ///   limits; must outlive the server; null for no log.
  RestinioServer(SocketAddress Address, IHttpHandler &Handler,
                 std::size_t LargestBody, const ServerCapacity &Capacity = {},
                 ILogger *Logger = nullptr);
  ~RestinioServer() override;

  Result<void> start() override;
  void setLimits(const RequestLimits &Limits) override;
  void closeConnectionsAfterAnswers() override;
  void refuseRequests(HttpAnswer Refusal) override;
  void stop() override;
  std::uint16_t port() const override;
  std::size_t openConnections() const override;
  std::uint64_t acceptedConnections() const override;
  std::uint64_t refusedRequests() const override;
  std::size_t pendingAnswers() const override;

private:
  struct Running;

  bool isRefusing() const;
  /// Answers the requests that have no answer yet.
  void answerPending(const HttpAnswer &Answer);

  SocketAddress Address_;
  IHttpHandler &Handler_;
  ServerCapacity Capacity_;
  ILogger *Logger_;
  /// Guards the limits and whether the server runs.
  std::mutex LimitsMutex_;
  RequestLimits Limits_;
  std::unique_ptr<Running> Running_;
};

} // namespace dragonflylock

#endif
