#ifndef DRAGONFLYLOCK_HTTP_HTTPTYPES_H
#define DRAGONFLYLOCK_HTTP_HTTPTYPES_H

#include <string>
#include <string_view>
#include <vector>

namespace dragonflylock {

/// One field of a message head.
struct HttpHeader {
  std::string Name_;
  std::string Value_;
};

using HttpHeaders = std::vector<HttpHeader>;

/// A request with its whole body.
struct HttpRequest {
  std::string Method_;
  /// Path and query.
  std::string Target_;
  HttpHeaders Headers_;
  std::string Body_;

  /// \returns the target without its query.
  std::string_view path() const;
  /// \returns the value of a query parameter, empty where it is absent.
  std::string query(std::string_view Name) const;
};

/// An answer with its whole body.
struct HttpAnswer {
  int Status_ = 0;
  HttpHeaders Headers_;
  std::string Body_;
};

/// Status codes that the code names.
namespace httpstatus {
inline constexpr int Ok = 200;
inline constexpr int Created = 201;
inline constexpr int Accepted = 202;
inline constexpr int NoContent = 204;
inline constexpr int NotModified = 304;
inline constexpr int BadRequest = 400;
inline constexpr int Unauthorized = 401;
inline constexpr int NotFound = 404;
inline constexpr int Conflict = 409;
inline constexpr int PreconditionFailed = 412;
inline constexpr int ContentTooLarge = 413;
inline constexpr int UnprocessableContent = 422;
inline constexpr int HeadersTooLarge = 431;
inline constexpr int InternalError = 500;
inline constexpr int BadGateway = 502;
inline constexpr int Unavailable = 503;
inline constexpr int GatewayTimeout = 504;
} // namespace httpstatus

/// \returns the first value of the field \p Name, compared without case, or
/// null.
const std::string *findHeader(const HttpHeaders &Headers,
                              std::string_view Name);

/// \returns all values of the field \p Name, compared without case.
std::vector<std::string_view> headerValues(const HttpHeaders &Headers,
                                           std::string_view Name);

/// \returns \p Headers without those that concern one connection only
/// (RFC 9110, section 7.6.1) and without Content-Length, Host and Expect,
/// which each connection states anew.
HttpHeaders withoutHopByHop(const HttpHeaders &Headers);

/// \returns whether RFC 9110 defines \p Method as idempotent.
bool isIdempotentMethod(std::string_view Method);

/// \returns the bytes that \p Headers take in a message head.
std::size_t headSize(const HttpHeaders &Headers);

} // namespace dragonflylock

#endif
