#ifndef DRAGONFLYLOCK_HTTP_INTERNAL_TRACKEDSOCKET_H
#define DRAGONFLYLOCK_HTTP_INTERNAL_TRACKEDSOCKET_H

#include "http/internal/connectionregistry.h"
#include "http/internal/requestmeter.h"

#include <asio/associated_executor.hpp>
#include <asio/bind_executor.hpp>
#include <asio/buffer.hpp>
#include <asio/error.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <chrono>
#include <cstddef>
#include <optional>
#include <utility>

namespace dragonflylock {

/// A socket that reads what RESTinio asks for, follows its requests and refuses
/// those over a limit before RESTinio gets them. Used on the thread of its I/O
/// context only, but destroyed on any thread.
class TrackedSocket : public asio::ip::tcp::socket {
  using Base = asio::ip::tcp::socket;

public:
  /// Why a connection is to be closed; without a cause, it merely waited for a
  /// request for too long.
  struct Expiry {
    std::optional<ShedCause> Cause_;
  };

  explicit TrackedSocket(asio::io_context &Context)
      : Base(Context),
        Registry_(asio::use_service<ConnectionRegistry>(Context)) {
    Registry_.add(this);
  }
  /// RESTinio moves a socket once it is connected, before it reads.
  TrackedSocket(TrackedSocket &&Other) noexcept
      : Base(std::move(Other)), Registry_(Other.Registry_),
        IsInRequest_(Other.IsInRequest_) {
    Registry_.add(this);
  }
  ~TrackedSocket() { Registry_.remove(this); }
  TrackedSocket(const TrackedSocket &) = delete;
  TrackedSocket &operator=(const TrackedSocket &) = delete;
  TrackedSocket &operator=(TrackedSocket &&) = delete;

  /// \returns how long nothing was read since the last answer was begun; 0
  ///   from the first byte of a request to its answer.
  std::chrono::steady_clock::duration idleTime() const {
    if (IsInRequest_)
      return {};
    return std::chrono::steady_clock::now() - IdleSince_;
  }

  /// \returns the number that the registry gave; 0 before the first read.
  RequestBudget::Id connectionId() const { return Id_; }
  void setConnectionId(RequestBudget::Id Value) { Id_ = Value; }
  /// \returns whether the connection can be closed without losing a request
  ///   that the handler has, or its answer.
  bool isClosable() const { return !IsHandled_ && !IsWriting_; }
  /// \returns whether a request has begun to arrive.
  bool isInRequest() const { return Meter_.isInRequest(); }
  TimePoint lastByteAt() const { return LastByteAt_; }
  /// \returns what the connection counts for in the budget.
  RequestBudget::Holding holding() const;
  /// \returns why the connection is to be closed by \p Now, if it is.
  std::optional<Expiry> expiredAt(TimePoint Now,
                                  const RequestLimits &Limits) const;
  /// Ends the connection without an answer.
  void shed();

  // Asio and RESTinio call these by their names.
  // NOLINTBEGIN(readability-identifier-naming)
  template <typename Buffers, typename Handler>
  auto async_read_some(const Buffers &Target, Handler &&Then) {
    onReadBegins();
    auto Executor = asio::get_associated_executor(Then, get_executor());
    return Base::async_read_some(
        Target,
        asio::bind_executor(
            Executor,
            [this, Target, Executor, Next = std::forward<Handler>(Then)](
                asio::error_code Failure, std::size_t Length) mutable {
              onBytes(Length);
              if (Length > 0 && !IsRefused_)
                follow(asio::buffer_sequence_begin(Target)->data(), Length);
              if (IsShed_)
                end(Next, Failure);
              else if (IsRefused_ && !Failure)
                discard(Target, Executor, std::move(Next));
              else
                Next(Failure, Length);
            }));
  }

  template <typename Buffers, typename Handler>
  auto async_write_some(const Buffers &Source, Handler &&Then) {
    IsInRequest_ = false;
    IdleSince_ = std::chrono::steady_clock::now();
    IsWriting_ = true;
    auto Executor = asio::get_associated_executor(Then, get_executor());
    return Base::async_write_some(
        Source, asio::bind_executor(Executor,
                                    [this, Next = std::forward<Handler>(Then)](
                                        const asio::error_code &Failure,
                                        std::size_t Length) mutable {
                                      IsWriting_ = false;
                                      Next(Failure, Length);
                                    }));
  }
  // NOLINTEND(readability-identifier-naming)

private:
  /// Reads on without RESTinio, so that the caller can read the refusal: a
  /// connection that is closed while bytes arrive is reset, and the caller may
  /// lose what it has not read.
  template <typename Buffers, typename Executor, typename Handler>
  void discard(const Buffers &Target, const Executor &On, Handler Next) {
    Base::async_read_some(
        Target,
        asio::bind_executor(
            On, [this, Target, On, Next = std::move(Next)](
                    const asio::error_code &Failure, std::size_t) mutable {
              if (Failure || IsShed_)
                end(Next, Failure);
              else
                discard(Target, On, std::move(Next));
            }));
  }

  /// Makes RESTinio close the connection. It aborts a read itself only if it
  /// has closed the connection or is writing its last answer, which must not be
  /// cut.
  template <typename Handler>
  static void end(Handler &Next, const asio::error_code &Failure) {
    if (Failure == asio::error::operation_aborted)
      Next(Failure, 0);
    else
      Next(asio::error::connection_reset, 0);
  }

  /// Called before RESTinio reads. It has no request in its handler then.
  void onReadBegins();
  void onBytes(std::size_t Length);
  /// Counts the bytes of a request before RESTinio gets them, and decides
  /// whether it does.
  void follow(const void *Data, std::size_t Length);
  /// Answers that the request is too large, unless an earlier answer is being
  /// written, and ignores all further bytes.
  void refuse(RequestMeter::Verdict Excess);

  ConnectionRegistry &Registry_;
  RequestBudget::Id Id_ = 0;
  RequestMeter Meter_;
  /// Excess of a request that arrived together with the end of the one before
  /// it, which goes first.
  RequestMeter::Verdict Pending_ = RequestMeter::Verdict::Within;
  std::chrono::steady_clock::time_point IdleSince_ =
      std::chrono::steady_clock::now();
  TimePoint LastByteAt_ = std::chrono::steady_clock::now();
  /// When the first byte of the current request arrived.
  TimePoint BegunAt_ = LastByteAt_;
  TimePoint RefusedAt_;
  bool IsInRequest_ = false;
  /// Whether a whole request was passed on whose answer has not been begun.
  bool IsHandled_ = false;
  bool IsWriting_ = false;
  bool IsRefused_ = false;
  bool IsShed_ = false;
};

} // namespace dragonflylock

#endif
