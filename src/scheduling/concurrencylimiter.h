#ifndef DRAGONFLYLOCK_SCHEDULING_CONCURRENCYLIMITER_H
#define DRAGONFLYLOCK_SCHEDULING_CONCURRENCYLIMITER_H

#include <chrono>
#include <cstddef>

namespace dragonflylock {

/// Bounds the orders that wait for an answer at a time. The bound follows the
/// time that answers take, so that what a node has ordered never delays its
/// other calls for long, whatever processor and link it has.
class ConcurrencyLimiter {
public:
  /// \returns whether \p Orders more may be sent. More than the whole bound
  ///   may be sent only while none waits.
  bool admits(std::size_t Orders = 1) const;
  /// \returns whether so much has been answered that a next round of orders is
  ///   worth its time.
  bool isDrained() const { return Waiting_ * 2 <= Bound_; }

  void onSent() { ++Waiting_; }
  /// Notes that orders wait for the bound.
  void onHeldBack() { IsWanted_ = true; }
  /// Notes an answer that came \p Took after its order.
  void onAnswered(std::chrono::milliseconds Took);
  /// Notes that an order ends without an answer, which says nothing of this
  /// node: the worker may be gone.
  void onUnanswered();

  std::size_t bound() const { return Bound_; }
  std::size_t waiting() const { return Waiting_; }

private:
  static constexpr std::size_t FirstBound = 128;

  std::size_t Waiting_ = 0;
  std::size_t Bound_ = FirstBound;
  /// Answers since the bound was changed last.
  std::size_t Answers_ = 0;
  /// Whether orders have waited for the bound since then.
  bool IsWanted_ = false;
};

} // namespace dragonflylock

#endif
