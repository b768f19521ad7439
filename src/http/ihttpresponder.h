#ifndef DRAGONFLYLOCK_HTTP_IHTTPRESPONDER_H
#define DRAGONFLYLOCK_HTTP_IHTTPRESPONDER_H

namespace dragonflylock {

struct HttpAnswer;

/// Sends the answer to one request.
class IHttpResponder {
public:
  virtual ~IHttpResponder() = default;
  /// Sends \p Answer; only the first call has an effect. Callable from any
  /// thread.
  virtual void answer(HttpAnswer Answer) = 0;
  /// Sends \p Answer with the Content-Length among its headers, though its
  /// body is shorter, and closes the connection, as a failing stand-in does.
  virtual void answerShort(HttpAnswer Answer) = 0;
  /// Closes the connection without an answer, as a failing stand-in does.
  /// Has an effect only from within IHttpHandler::handle().
  virtual void abort() = 0;
};

} // namespace dragonflylock

#endif
