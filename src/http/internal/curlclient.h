#ifndef DRAGONFLYLOCK_HTTP_INTERNAL_CURLCLIENT_H
#define DRAGONFLYLOCK_HTTP_INTERNAL_CURLCLIENT_H

#include "http/ihttpclient.h"

#include <cstdint>
#include <memory>

namespace dragonflylock {

class CurlTransfer;

/// A blocking HTTP client by libcurl.
class CurlClient : public IHttpClient {
public:
  CurlClient();
  ~CurlClient() override;
  Result<HttpAnswer> exchange(const std::string &BaseUrl,
                              const HttpRequest &Request,
                              std::chrono::milliseconds Longest) override;

private:
  std::unique_ptr<CurlTransfer> Transfer_;
};

} // namespace dragonflylock

#endif
