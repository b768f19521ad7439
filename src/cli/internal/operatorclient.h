#ifndef DRAGONFLYLOCK_CLI_INTERNAL_OPERATORCLIENT_H
#define DRAGONFLYLOCK_CLI_INTERNAL_OPERATORCLIENT_H

#include "global/result.h"
#include "http/httptypes.h"

#include <string>

namespace dragonflylock {

class IHttpClient;

/// Calls the operators' API of one entry instance.
class OperatorClient {
public:
  /// \param Client exchanges requests; must outlive this.
  /// \param BaseUrl of the operators' port.
  /// \param Token empty where the daemon needs none.
  /// \param Operator named in the audit trail.
  OperatorClient(IHttpClient &Client, std::string BaseUrl, std::string Token,
                 std::string Operator);

  /// Sends a call that changes nothing.
  /// \returns the answer's JSON text or a CliErrc.
  Result<std::string> read(const std::string &Method, const std::string &Target,
                           const std::string &Body);
  /// Sends a change, and repeats it with the same id while its result is
  /// unknown.
  /// \returns the answer's JSON text or a CliErrc.
  Result<std::string> change(HttpRequest Request);

private:
  Result<std::string> call(HttpRequest Request);

  IHttpClient &Client_;
  std::string BaseUrl_;
  std::string Token_;
  std::string Operator_;
};

} // namespace dragonflylock

#endif
