#ifndef DRAGONFLYLOCK_PLATFORMSERVICES_INTERNAL_HTTPPLATFORM_H
#define DRAGONFLYLOCK_PLATFORMSERVICES_INTERNAL_HTTPPLATFORM_H

#include "platformservices/iplatform.h"

#include <chrono>
#include <memory>

namespace dragonflylock {

class IHttpClient;
struct HttpAnswer;
struct HttpRequest;

/// Client of the platform's services over HTTP; for use by one thread.
class HttpPlatform : public IPlatform {
public:
  /// \param BaseUrl for example "http://10.0.0.1:7000".
  /// \param Timeout the time limit of each call.
  HttpPlatform(std::string BaseUrl, std::unique_ptr<IHttpClient> Client,
               std::chrono::milliseconds Timeout);
  ~HttpPlatform() override;

  Result<std::optional<TableRow>> read(const RowKey &Row) override;
  Result<TableChanges> readChanges(const std::string &Table,
                                   TableRevision Since) override;
  Result<std::vector<TableRow>> readOldest(const std::string &Table,
                                           std::size_t Count) override;
  Result<std::vector<RowVersion>>
  transact(const std::vector<RowWrite> &Writes) override;
  Result<std::optional<std::string>> get(const std::string &Name) override;
  Result<void> put(const std::string &Name,
                   const std::string &Content) override;
  Result<InstanceList> list() override;
  Result<void> perform(InstanceAction Action, const std::string &Id) override;

private:
  Result<HttpAnswer> call(const HttpRequest &Request);

  std::string BaseUrl_;
  std::unique_ptr<IHttpClient> Client_;
  std::chrono::milliseconds Timeout_;
  /// The last list received; returned again when the platform answers 304 (Not
  /// Modified) to its tag.
  InstanceList List_;
};

} // namespace dragonflylock

#endif
