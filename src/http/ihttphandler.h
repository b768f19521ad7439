#ifndef DRAGONFLYLOCK_HTTP_IHTTPHANDLER_H
#define DRAGONFLYLOCK_HTTP_IHTTPHANDLER_H

#include <memory>

namespace dragonflylock {

class IHttpResponder;
struct HttpRequest;

/// Receives the requests of a server.
class IHttpHandler {
public:
  virtual ~IHttpHandler() = default;
  /// Handles one request; called on the server's thread, so it must not
  /// block.
  virtual void handle(HttpRequest Request,
                      std::shared_ptr<IHttpResponder> Responder) = 0;
};

} // namespace dragonflylock

#endif
