#include "scheduling/concurrencylimiter.h"

#include <algorithm>

namespace dragonflylock {
namespace {

constexpr std::size_t LeastBound = 16;
constexpr std::size_t LargestBound = 1024;
/// Answers that take longer narrow the bound; quicker than this widen it. Both
/// are small beside the second after which a lease is renewed.
constexpr std::chrono::milliseconds SlowAnswer{250};
constexpr std::chrono::milliseconds QuickAnswer{120};
/// Share of the bound that slow answers leave, and by which quick ones widen
/// it, in eighths.
constexpr std::size_t NarrowToEighths = 5;
constexpr std::size_t WidenByEighths = 1;

} // namespace

bool ConcurrencyLimiter::admits(std::size_t Orders) const {
  return Waiting_ == 0 || Waiting_ + Orders <= Bound_;
}

void ConcurrencyLimiter::onUnanswered() { --Waiting_; }

void ConcurrencyLimiter::onAnswered(std::chrono::milliseconds Took) {
  --Waiting_;
  // Answers of one round trip tell the same, so that the bound changes once
  // for as many as it admits.
  if (++Answers_ < Bound_)
    return;
  if (Took > SlowAnswer)
    Bound_ = std::max(LeastBound, Bound_ * NarrowToEighths / 8);
  else if (Took < QuickAnswer && IsWanted_)
    Bound_ = std::min(LargestBound, Bound_ + Bound_ * WidenByEighths / 8);
  Answers_ = 0;
  IsWanted_ = false;
}

} // namespace dragonflylock
