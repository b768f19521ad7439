#ifndef DRAGONFLYLOCK_HTTP_INTERNAL_REQUESTMETER_H
#define DRAGONFLYLOCK_HTTP_INTERNAL_REQUESTMETER_H

#include <http_parser.h>

#include <cstddef>
#include <cstdint>

namespace dragonflylock {

struct RequestLimits;

/// Follows the requests of one connection and counts what RESTinio's parser
/// holds for the one that is being read. RESTinio does not tell, so the same
/// bytes are parsed here before it gets them.
class RequestMeter {
public:
  enum class Verdict { Within, HeadTooLarge, BodyTooLarge };

  RequestMeter() { reset(); }

  /// Counts the next bytes of the connection.
  /// \returns which limit the request now exceeds. A text that is no request is
  ///   within all limits; RESTinio closes its connection.
  Verdict read(const char *Data, std::size_t Length,
               const RequestLimits &Limits);
  /// \returns whether the first byte of a request was read, but not its end.
  bool isInRequest() const { return IsInRequest_; }
  bool isInHead() const { return IsInRequest_ && !IsHeadComplete_; }
  /// \returns the bytes that the parser holds for the unfinished request.
  std::size_t heldBytes() const;
  /// \returns the bytes that the last finished request held at its end.
  std::size_t finishedBytes() const { return FinishedBytes_; }
  /// \returns the number of requests that have ended so far.
  std::uint64_t finishedRequests() const { return FinishedRequests_; }

private:
  static const http_parser_settings &callbacks();
  static RequestMeter &of(http_parser *Parser);

  /// Prepares for the next request.
  void reset();
  int onHeadText(std::size_t Bytes);
  int onHeadEnd();
  int onChunk();
  int onBody(std::size_t Bytes);
  int exceed(Verdict Kind);

  http_parser Parser_{};
  const RequestLimits *Limits_ = nullptr;
  Verdict Verdict_ = Verdict::Within;
  bool IsInRequest_ = false;
  bool IsHeadComplete_ = false;
  bool IsFinished_ = false;
  bool IsUnreadable_ = false;
  bool IsChunked_ = false;
  /// Whether the last callback was for a field's name.
  bool IsInName_ = false;
  /// Bytes of the head in earlier reads.
  std::size_t RawHeadBytes_ = 0;
  /// Bytes of target, names and values, with their separators.
  std::size_t HeadTextBytes_ = 0;
  std::size_t Fields_ = 0;
  std::uint64_t BodyBytes_ = 0;
  std::size_t Chunks_ = 0;
  std::size_t FinishedBytes_ = 0;
  std::uint64_t FinishedRequests_ = 0;
};

} // namespace dragonflylock

#endif
