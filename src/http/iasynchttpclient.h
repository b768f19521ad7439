#ifndef DRAGONFLYLOCK_HTTP_IASYNCHTTPCLIENT_H
#define DRAGONFLYLOCK_HTTP_IASYNCHTTPCLIENT_H

#include "global/socketaddress.h"
#include "http/httptypes.h"

#include <chrono>
#include <functional>

namespace dragonflylock {

/// How an exchange ended.
enum class ExchangeOutcome {
  /// A whole answer came.
  Answered,
  /// No byte of the request left this process.
  NotSent,
  /// The request may have arrived, or may still do so; no whole answer came.
  AnswerLost,
};

/// The end of an exchange.
struct ExchangeEnd {
  ExchangeOutcome Outcome_ = ExchangeOutcome::NotSent;
  HttpAnswer Answer_;
};

/// Exchanges many requests at a time.
class IAsyncHttpClient {
public:
  using Done = std::function<void(ExchangeEnd)>;

  virtual ~IAsyncHttpClient() = default;
  /// Sends \p Request to \p Address. Connections are reused. A request that is
  /// not a read is sent at most once: where its connection closes without an
  /// answer, only the caller can tell whether it may be repeated.
  /// \param Longest the time after which the exchange is given up.
  /// \param Ended is called once, on the thread that the client was built for.
  virtual void send(const SocketAddress &Address, HttpRequest Request,
                    std::chrono::milliseconds Longest, Done Ended) = 0;
};

} // namespace dragonflylock

#endif
