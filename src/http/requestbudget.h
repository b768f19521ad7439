#ifndef DRAGONFLYLOCK_HTTP_REQUESTBUDGET_H
#define DRAGONFLYLOCK_HTTP_REQUESTBUDGET_H

#include "global/iclock.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace dragonflylock {

/// Decides which connections are closed when their requests hold more memory
/// than the server may use. It guards against callers that together send more
/// unfinished requests than the process can hold.
///
/// The connections with the least progress are closed first: those without a
/// new byte for a while before all others, and among equals the one with the
/// highest product of bytes held and time since its request began. A request
/// that is sent without pause is short-lived and therefore the last to be
/// closed. Has no clock and no lock of its own.
class RequestBudget {
public:
  using Id = std::uint64_t;

  /// What one connection holds.
  struct Holding {
    std::size_t Bytes_ = 0;
    /// When the first byte of the request arrived.
    TimePoint BegunAt_;
    /// When the last byte arrived.
    TimePoint LastByteAt_;
    /// Whether the request has not been passed to a handler. Others count, but
    /// their connections are not closed.
    bool IsClosable_ = true;
  };

  /// \param Limit bytes that all connections may hold together.
  explicit RequestBudget(std::size_t Limit) : Limit_(Limit) {}

  /// States what the connection \p Connection holds from now on.
  void hold(Id Connection, const Holding &Current);
  /// Forgets the connection.
  void release(Id Connection);
  /// \returns the connections to close so that the others fit, worst first;
  ///   empty while all fit. They are forgotten.
  std::vector<Id> takeExcess(TimePoint Now);
  /// \returns the connection with the least progress, which is forgotten, or
  ///   nothing if none may be closed.
  std::optional<Id> takeWorst(TimePoint Now);
  /// \returns the bytes that all connections hold.
  std::size_t total() const { return Total_; }

private:
  std::size_t Limit_;
  std::size_t Total_ = 0;
  std::unordered_map<Id, Holding> Holdings_;
};

} // namespace dragonflylock

#endif
