#include "http/internal/requestmeter.h"
#include "global/requestlimits.h"

#include <bit>

namespace dragonflylock {
namespace {

/// RESTinio keeps a start and a size for each chunk, in a vector that doubles.
constexpr std::size_t ChunkRecordBytes = 16;
/// Two strings, an identifier and the heap's overhead, in a vector that
/// doubles.
constexpr std::size_t FieldRecordBytes = 96;
/// Colon and line end of a field.
constexpr std::size_t FieldSeparatorBytes = 3;
/// A body that arrives in chunks is appended to a string that doubles.
constexpr std::size_t ChunkedBodyFactor = 2;

} // namespace

RequestMeter &RequestMeter::of(http_parser *Parser) {
  return *static_cast<RequestMeter *>(Parser->data);
}

const http_parser_settings &RequestMeter::callbacks() {
  static const http_parser_settings Callbacks = [] {
    http_parser_settings Made;
    http_parser_settings_init(&Made);
    Made.on_url = [](http_parser *Parser, const char *, std::size_t Length) {
      return of(Parser).onHeadText(Length);
    };
    Made.on_header_field = [](http_parser *Parser, const char *,
                              std::size_t Length) {
      RequestMeter &Meter = of(Parser);
      if (!Meter.IsInName_) {
        ++Meter.Fields_;
        Length += FieldSeparatorBytes;
      }
      Meter.IsInName_ = true;
      return Meter.onHeadText(Length);
    };
    Made.on_header_value = [](http_parser *Parser, const char *,
                              std::size_t Length) {
      of(Parser).IsInName_ = false;
      return of(Parser).onHeadText(Length);
    };
    Made.on_headers_complete = [](http_parser *Parser) {
      return of(Parser).onHeadEnd();
    };
    Made.on_chunk_header = [](http_parser *Parser) {
      return of(Parser).onChunk();
    };
    Made.on_body = [](http_parser *Parser, const char *, std::size_t Length) {
      return of(Parser).onBody(Length);
    };
    Made.on_message_complete = [](http_parser *Parser) {
      // RESTinio stops here as well and begins the next request anew.
      http_parser_pause(Parser, 1);
      of(Parser).IsFinished_ = true;
      return 0;
    };
    return Made;
  }();
  return Callbacks;
}

void RequestMeter::reset() {
  http_parser_init(&Parser_, HTTP_REQUEST);
  IsInRequest_ = false;
  IsHeadComplete_ = false;
  IsFinished_ = false;
  IsChunked_ = false;
  IsInName_ = false;
  RawHeadBytes_ = 0;
  HeadTextBytes_ = 0;
  Fields_ = 0;
  BodyBytes_ = 0;
  Chunks_ = 0;
}

RequestMeter::Verdict RequestMeter::read(const char *Data, std::size_t Length,
                                         const RequestLimits &Limits) {
  Limits_ = &Limits;
  Verdict_ = Verdict::Within;
  while (Length > 0 && !IsUnreadable_ && Verdict_ == Verdict::Within) {
    Parser_.data = this;
    IsInRequest_ = true;
    const std::size_t Parsed =
        http_parser_execute(&Parser_, &callbacks(), Data, Length);
    if (IsFinished_) {
      FinishedBytes_ = heldBytes();
      ++FinishedRequests_;
      reset();
    } else if (HTTP_PARSER_ERRNO(&Parser_) != HPE_OK) {
      IsUnreadable_ = true;
    } else if (!IsHeadComplete_) {
      RawHeadBytes_ += Parsed;
      if (RawHeadBytes_ > Limits.MaxHeadBytes_)
        exceed(Verdict::HeadTooLarge);
    }
    Data += Parsed;
    Length -= Parsed;
  }
  Limits_ = nullptr;
  return Verdict_;
}

std::size_t RequestMeter::heldBytes() const {
  const std::size_t Body = static_cast<std::size_t>(BodyBytes_) *
                           (IsChunked_ ? ChunkedBodyFactor : 1);
  const std::size_t Fields =
      Fields_ == 0 ? 0 : std::bit_ceil(Fields_) * FieldRecordBytes;
  const std::size_t Chunks =
      Chunks_ == 0 ? 0 : std::bit_ceil(Chunks_) * ChunkRecordBytes;
  return 2 * HeadTextBytes_ + Fields + Body + Chunks;
}

int RequestMeter::exceed(Verdict Kind) {
  Verdict_ = Kind;
  // At the end of a head, 1 would mean that no body follows.
  return -1;
}

int RequestMeter::onHeadText(std::size_t Bytes) {
  HeadTextBytes_ += Bytes;
  return HeadTextBytes_ > Limits_->MaxHeadBytes_ ? exceed(Verdict::HeadTooLarge)
                                                 : 0;
}

int RequestMeter::onHeadEnd() {
  IsHeadComplete_ = true;
  IsInName_ = false;
  IsChunked_ = (Parser_.flags & F_CHUNKED) != 0;
  const bool HasLength = !IsChunked_ && Parser_.content_length != UINT64_MAX;
  if (HasLength && Parser_.content_length > Limits_->MaxBodyBytes_)
    return exceed(Verdict::BodyTooLarge);
  return 0;
}

int RequestMeter::onChunk() {
  // The last chunk is empty and leaves no record.
  if (Parser_.content_length == 0)
    return 0;
  ++Chunks_;
  // The limit may have been lowered since the request began.
  const std::uint64_t Limit = Limits_->MaxBodyBytes_;
  const bool IsWithin =
      BodyBytes_ <= Limit && Parser_.content_length <= Limit - BodyBytes_;
  return IsWithin ? 0 : exceed(Verdict::BodyTooLarge);
}

int RequestMeter::onBody(std::size_t Bytes) {
  BodyBytes_ += Bytes;
  return BodyBytes_ > Limits_->MaxBodyBytes_ ? exceed(Verdict::BodyTooLarge)
                                             : 0;
}

} // namespace dragonflylock
