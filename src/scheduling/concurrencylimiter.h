#ifndef DRAGONFLYLOCK_SCHEDULING_CONCURRENCYLIMITER_H
#define DRAGONFLYLOCK_SCHEDULING_CONCURRENCYLIMITER_H

#include <chrono>
#include <cstddef>

namespace dragonflylock {

/// Bounds the orders that wait for an answer at a time. The limit follows the
/// time that answers take, so that what a node has ordered never delays its
/// other calls for long, whatever processor and link it has.
class ConcurrencyLimiter {
public:
  /// \returns whether \p Orders more may be sent. More than the whole limit
  ///   may be sent only while none waits.
  bool admits(std::size_t Orders = 1) const;
  /// \returns whether so much has been answered that a next round of orders is
  ///   worth its time.
  bool isHalfEmpty() const { return InFlight_ * 2 <= Limit_; }

  void onSent() { ++InFlight_; }
  /// Notes that orders wait for the limit.
  void onLimitReached() { WasReached_ = true; }
  /// Notes an answer that came \p Latency after its order.
  void onAnswered(std::chrono::milliseconds Latency);
  /// Notes that an order ends without an answer, which says nothing of this
  /// node: the worker may be gone.
  void onUnanswered();

  std::size_t limit() const { return Limit_; }
  std::size_t inFlight() const { return InFlight_; }

private:
  static constexpr std::size_t InitialLimit = 128;

  std::size_t InFlight_ = 0;
  std::size_t Limit_ = InitialLimit;
  /// Answers since the limit was changed last.
  std::size_t ResponsesSinceChange_ = 0;
  /// Whether orders have waited for the limit since then.
  bool WasReached_ = false;
};

} // namespace dragonflylock

#endif
