#ifndef DRAGONFLYLOCK_HTTP_IHTTPCLIENT_H
#define DRAGONFLYLOCK_HTTP_IHTTPCLIENT_H

#include "global/result.h"

#include <chrono>
#include <string>

namespace dragonflylock {

struct HttpAnswer;
struct HttpRequest;

/// Exchanges one request at a time; for use by one thread.
class IHttpClient {
public:
  virtual ~IHttpClient() = default;
  /// Sends \p Request to \p BaseUrl, for example "http://127.0.0.1:80", and
  /// waits for the whole answer. A request that is not a read is sent at most
  /// once.
  /// \param Longest the time after which the exchange is given up.
  /// \returns the answer, HttpErrc::NotSent or HttpErrc::AnswerLost.
  virtual Result<HttpAnswer> exchange(const std::string &BaseUrl,
                                      const HttpRequest &Request,
                                      std::chrono::milliseconds Longest) = 0;
};

} // namespace dragonflylock

#endif
