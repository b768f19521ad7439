#ifndef DRAGONFLYLOCK_SCHEDULING_CONCURRENCYLIMITER_H
#define DRAGONFLYLOCK_SCHEDULING_CONCURRENCYLIMITER_H

#include <chrono>
#include <cstddef>

namespace dragonflylock {

/// Limits the number of outstanding orders. The limit adapts to the response
/// time, so that the orders of a node never delay its other calls for long,
/// however fast its processor and network are.
class ConcurrencyLimiter {
public:
  /// \returns whether \p Orders more orders may be sent. A batch larger than
  /// the whole limit is admitted only while no order is outstanding.
  bool admits(std::size_t Orders = 1) const;
  /// \returns whether at most half of the limit is in use, so that another
  /// dispatch round is worth its cost.
  bool isHalfEmpty() const { return InFlight_ * 2 <= Limit_; }

  void onSent() { ++InFlight_; }
  /// Called when orders have to wait because the limit is reached.
  void onLimitReached() { WasReached_ = true; }
  /// Called when the response to an order has come \p Latency after it was
  /// sent.
  void onAnswered(std::chrono::milliseconds Latency);
  /// Called when an order has ended without a response. This says nothing about
  /// the load of this node, since the worker may be gone.
  void onUnanswered();

  std::size_t limit() const { return Limit_; }
  std::size_t inFlight() const { return InFlight_; }

private:
  static constexpr std::size_t InitialLimit = 128;

  std::size_t InFlight_ = 0;
  std::size_t Limit_ = InitialLimit;
  /// Responses since the last time the limit could change.
  std::size_t ResponsesSinceChange_ = 0;
  /// Whether orders have waited for the limit since then.
  bool WasReached_ = false;
};

} // namespace dragonflylock

#endif
