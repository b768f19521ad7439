#ifndef DRAGONFLYLOCK_HTTP_INTERNAL_CURLTRANSFER_H
#define DRAGONFLYLOCK_HTTP_INTERNAL_CURLTRANSFER_H

#include "http/httptypes.h"

#include <curl/curl.h>

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>

namespace dragonflylock {

/// Prepares a libcurl easy handle for one request and collects its answer.
///
/// The handle keeps its connections between requests, as far as the
/// connection policy of each request lets it.
class CurlTransfer {
public:
  using TimePoint = std::chrono::steady_clock::time_point;

  /// Whether a connection may carry more than one request. A request on a
  /// reused connection is lost more often, since the connection may close while
  /// the request is on its way.
  enum class ConnectionPolicy { Reuse, FreshOnly };

  /// What came of the answer.
  enum class Completeness {
    Whole,
    /// The connection ended before the stated length was reached.
    Truncated,
    /// No length was stated, so that the end can't be told from a cut.
    Unframed,
    /// More bytes came than were allowed.
    TooLarge,
    Missing,
  };

  CurlTransfer();
  /// \returns the transfer of a handle that has been prepared.
  static CurlTransfer &of(CURL *Handle);

  /// Sets the handle up for \p Request, which must live until the end. A
  /// request that is not a read is sent at most once.
  void prepare(const std::string &BaseUrl, const HttpRequest &Request,
               std::chrono::milliseconds Longest, std::size_t LargestAnswer,
               ConnectionPolicy Policy);

  /// Reads the result of the transfer after libcurl has ended it.
  void finish(CURLcode Code);

  /// \returns whether any byte of the request may have left this process.
  bool wasOffered() const { return WasOffered_; }
  /// \returns whether the transfer ended because its time was up.
  bool wasTimeout() const { return Code_ == CURLE_OPERATION_TIMEDOUT; }
  /// \returns whether the transfer ended without any answer on a connection
  /// that was kept from an earlier one, which may be dead although the server
  /// is not.
  bool hasKeptConnectionFailed() const {
    return wasTimeout() && UsedKeptConnection_ && Answer_.Status_ == 0;
  }
  /// \returns what came of the answer.
  Completeness completeness() const { return Completeness_; }
  /// \returns the answer as far as it was received.
  HttpAnswer &answer() { return Answer_; }
  /// \returns a text for the way the transfer ended.
  const char *description() const;
  /// \returns the URL of the server that the request is for.
  const std::string &server() const { return Server_; }
  /// \returns when the request was prepared.
  TimePoint preparedAt() const { return PreparedAt_; }
  /// \returns when the transfer is given up, all copies of the request
  /// included.
  TimePoint deadline() const { return PreparedAt_ + Longest_; }
  /// \returns whether libcurl has begun to repeat the request.
  bool isRepeated() const { return IsRepeated_; }
  /// \returns the handle.
  CURL *handle() { return Handle_.get(); }

private:
  struct EasyDeleter {
    void operator()(CURL *Handle) const { curl_easy_cleanup(Handle); }
  };
  struct ListDeleter {
    void operator()(curl_slist *List) const { curl_slist_free_all(List); }
  };

  static std::size_t onBody(char *Data, std::size_t Size, std::size_t Count,
                            void *Self);
  static std::size_t onHeader(char *Data, std::size_t Size, std::size_t Count,
                              void *Self);
  /// Called by libcurl each time that it is about to connect. Lets the
  /// connection be reset when it is closed.
  static int onConnect(void *Self, curl_socket_t Socket, curlsocktype Purpose);
  /// Called by libcurl each time that it is about to send the request.
  static int onSend(void *Self, char *ServerAddress, char *LocalAddress,
                    int ServerPort, int LocalPort);
  /// Notes whether the request is repeated, as libcurl does by itself when a
  /// reused connection closes without an answer.
  /// \returns whether that is allowed.
  bool mayContinue();
  void setMethod(const HttpRequest &Request);
  void setHeaders(const HttpRequest &Request);
  Completeness judge() const;
  bool isFramed() const;

  std::unique_ptr<CURL, EasyDeleter> Handle_;
  std::unique_ptr<curl_slist, ListDeleter> HeaderList_;
  std::string Server_;
  TimePoint PreparedAt_;
  std::chrono::milliseconds Longest_{0};
  HttpAnswer Answer_;
  std::size_t LargestAnswer_ = 0;
  /// Whether libcurl has begun to send the request.
  bool WasSent_ = false;
  bool IsRepeated_ = false;
  /// Whether the request only reads.
  bool IsRead_ = false;
  bool IsHead_ = false;
  bool IsHeadWhole_ = false;
  bool IsTooLarge_ = false;
  bool WasOffered_ = false;
  bool UsedKeptConnection_ = false;
  CURLcode Code_ = CURLE_OK;
  Completeness Completeness_ = Completeness::Missing;
};

} // namespace dragonflylock

#endif
