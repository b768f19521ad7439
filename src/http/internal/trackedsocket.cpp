#include "http/internal/trackedsocket.h"

#include <sys/socket.h>

#include <string_view>

namespace dragonflylock {
namespace {

/// Time for which the bytes of a refused request are read and ignored.
constexpr std::chrono::seconds DiscardTime{1};
/// Longest time from the first byte of a request to its last.
constexpr std::chrono::seconds RequestTimeLimit{60};

constexpr std::string_view HeadTooLargeAnswer =
    "HTTP/1.1 431 Request Header Fields Too Large\r\n"
    "Connection: close\r\nContent-Length: 0\r\n\r\n";
constexpr std::string_view BodyTooLargeAnswer =
    "HTTP/1.1 413 Content Too Large\r\n"
    "Connection: close\r\nContent-Length: 0\r\n\r\n";

} // namespace

RequestBudget::Holding TrackedSocket::holding() const {
  RequestBudget::Holding Current;
  // A request that the handler has keeps its memory until it is answered.
  Current.Bytes_ =
      Meter_.heldBytes() + (IsHandled_ ? Meter_.finishedBytes() : 0);
  Current.BegunAt_ = BegunAt_;
  Current.LastByteAt_ = LastByteAt_;
  Current.IsClosable_ = isClosable();
  // A refused request makes no more progress.
  if (IsRefused_)
    Current.LastByteAt_ = TimePoint();
  return Current;
}

std::optional<TrackedSocket::Expiry>
TrackedSocket::expiredAt(TimePoint Now, const RequestLimits &Limits) const {
  if (!isClosable())
    return std::nullopt;
  if (IsRefused_)
    return Now - RefusedAt_ > DiscardTime ? std::optional(Expiry())
                                          : std::nullopt;
  const auto Silence = Now - LastByteAt_;
  if (!Meter_.isInRequest())
    return Silence > Limits.IdleTimeout_ ? std::optional(Expiry())
                                         : std::nullopt;
  const auto Age = Now - BegunAt_;
  if (Meter_.isInHead() && Age > Limits.HeadTimeout_)
    return Expiry{ShedCause::HeadTime};
  if (Silence > Limits.IdleTimeout_ || Age > RequestTimeLimit)
    return Expiry{ShedCause::BodyTime};
  return std::nullopt;
}

void TrackedSocket::shed() {
  IsShed_ = true;
  // The read in progress ends, and RESTinio closes the connection.
  asio::error_code Ignored;
  shutdown(shutdown_both, Ignored);
}

void TrackedSocket::onReadBegins() {
  if (Id_ == 0)
    Registry_.onOpened(*this);
  if (std::exchange(IsHandled_, false)) {
    // The time between requests begins with the answer.
    LastByteAt_ = std::chrono::steady_clock::now();
    Registry_.onChanged(*this);
  }
  if (Pending_ != RequestMeter::Verdict::Within)
    refuse(std::exchange(Pending_, RequestMeter::Verdict::Within));
}

void TrackedSocket::onBytes(std::size_t Length) {
  if (Length == 0)
    return;
  IsInRequest_ = true;
  LastByteAt_ = std::chrono::steady_clock::now();
}

void TrackedSocket::follow(const void *Data, std::size_t Length) {
  const bool IsFirst = !Meter_.isInRequest();
  const std::uint64_t Before = Meter_.finishedRequests();
  const RequestMeter::Verdict Excess =
      Meter_.read(static_cast<const char *>(Data), Length, Registry_.limits());
  const bool HasFinished = Meter_.finishedRequests() != Before;
  if (IsFirst || HasFinished)
    BegunAt_ = LastByteAt_;
  IsHandled_ = IsHandled_ || HasFinished;
  Registry_.onChanged(*this);
  if (IsShed_ || Excess == RequestMeter::Verdict::Within)
    return;
  if (HasFinished)
    Pending_ = Excess;
  else
    refuse(Excess);
}

void TrackedSocket::refuse(RequestMeter::Verdict Excess) {
  const bool IsHead = Excess == RequestMeter::Verdict::HeadTooLarge;
  IsRefused_ = true;
  RefusedAt_ = std::chrono::steady_clock::now();
  Registry_.onRefused(IsHead ? ShedCause::HeadTooLarge
                             : ShedCause::BodyTooLarge);
  if (!isClosable())
    return;
  const std::string_view Answer =
      IsHead ? HeadTooLargeAnswer : BodyTooLargeAnswer;
  // The buffer of the connection is empty, so the answer fits. A caller that
  // cannot be answered any more finds its connection closed.
  const ssize_t Sent = ::send(native_handle(), Answer.data(), Answer.size(),
                              MSG_DONTWAIT | MSG_NOSIGNAL);
  asio::error_code Ignored;
  if (Sent > 0)
    shutdown(shutdown_send, Ignored);
}

} // namespace dragonflylock
