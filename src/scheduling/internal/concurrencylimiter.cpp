#include "scheduling/concurrencylimiter.h"

#include <algorithm>

namespace dragonflylock {
namespace {

constexpr std::size_t MinLimit = 16;
constexpr std::size_t MaxLimit = 1024;
/// Answers that take longer narrow the limit; quicker than this widen it. Both
/// are small beside the second after which a lease is renewed.
constexpr std::chrono::milliseconds SlowResponse{250};
constexpr std::chrono::milliseconds FastResponse{120};
/// Share of the limit that slow answers leave, and by which quick ones widen
/// it, in eighths.
constexpr std::size_t DecreaseToEighths = 5;
constexpr std::size_t IncreaseByEighths = 1;

} // namespace

bool ConcurrencyLimiter::admits(std::size_t Orders) const {
  return InFlight_ == 0 || InFlight_ + Orders <= Limit_;
}

void ConcurrencyLimiter::onUnanswered() { --InFlight_; }

void ConcurrencyLimiter::onAnswered(std::chrono::milliseconds Latency) {
  --InFlight_;
  // Answers of one round trip tell the same, so that the limit changes once
  // for as many as it admits.
  if (++ResponsesSinceChange_ < Limit_)
    return;
  if (Latency > SlowResponse)
    Limit_ = std::max(MinLimit, Limit_ * DecreaseToEighths / 8);
  else if (Latency < FastResponse && WasReached_)
    Limit_ = std::min(MaxLimit, Limit_ + Limit_ * IncreaseByEighths / 8);
  ResponsesSinceChange_ = 0;
  WasReached_ = false;
}

} // namespace dragonflylock
