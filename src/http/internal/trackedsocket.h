#ifndef DRAGONFLYLOCK_HTTP_INTERNAL_TRACKEDSOCKET_H
#define DRAGONFLYLOCK_HTTP_INTERNAL_TRACKEDSOCKET_H

#include "http/internal/connectionregistry.h"

#include <asio/associated_executor.hpp>
#include <asio/bind_executor.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <chrono>
#include <cstddef>
#include <utility>

namespace dragonflylock {

/// A socket that tells how long its connection has waited for a request. Used
/// on the thread of its I/O context only, but destroyed on any thread.
class TrackedSocket : public asio::ip::tcp::socket {
  using Base = asio::ip::tcp::socket;

public:
  explicit TrackedSocket(asio::io_context &Context)
      : Base(Context),
        Registry_(asio::use_service<ConnectionRegistry>(Context)) {
    Registry_.add(this);
  }
  /// RESTinio moves a socket once it is connected.
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

  // Asio and RESTinio call these by their names.
  // NOLINTBEGIN(readability-identifier-naming)
  template <typename Buffers, typename Handler>
  auto async_read_some(const Buffers &Target, Handler &&Then) {
    auto Executor = asio::get_associated_executor(Then, get_executor());
    return Base::async_read_some(
        Target, asio::bind_executor(Executor,
                                    [this, Next = std::forward<Handler>(Then)](
                                        const asio::error_code &Failure,
                                        std::size_t Length) mutable {
                                      if (Length > 0)
                                        IsInRequest_ = true;
                                      Next(Failure, Length);
                                    }));
  }

  template <typename Buffers, typename Handler>
  auto async_write_some(const Buffers &Source, Handler &&Then) {
    IsInRequest_ = false;
    IdleSince_ = std::chrono::steady_clock::now();
    return Base::async_write_some(Source, std::forward<Handler>(Then));
  }
  // NOLINTEND(readability-identifier-naming)

private:
  ConnectionRegistry &Registry_;
  std::chrono::steady_clock::time_point IdleSince_ =
      std::chrono::steady_clock::now();
  bool IsInRequest_ = false;
};

} // namespace dragonflylock

#endif
