#include "http/internal/curlclient.h"
#include "http/httperrors.h"
#include "http/httptypes.h"
#include "http/internal/curltransfer.h"

namespace dragonflylock {
namespace {

constexpr std::size_t LargestAnswer = 256U << 20U;

} // namespace

CurlClient::CurlClient() : Transfer_(std::make_unique<CurlTransfer>()) {}

CurlClient::~CurlClient() = default;

Result<HttpAnswer> CurlClient::exchange(const std::string &BaseUrl,
                                        const HttpRequest &Request,
                                        std::chrono::milliseconds Longest) {
  Transfer_->prepare(BaseUrl, Request, Longest, LargestAnswer,
                     CurlTransfer::ConnectionPolicy::Reuse);
  Transfer_->finish(curl_easy_perform(Transfer_->handle()));
  if (Transfer_->completeness() == CurlTransfer::Completeness::Whole)
    return std::move(Transfer_->answer());
  std::string Detail = Request.Method_ + " " + BaseUrl + Request.Target_ +
                       ": " + Transfer_->description();
  if (!Transfer_->wasOffered())
    return Error(HttpErrc::NotSent, Detail,
                 "check that the server runs at this address");
  return Error(HttpErrc::AnswerLost, Detail,
               "read the state back before repeating the request");
}

} // namespace dragonflylock
