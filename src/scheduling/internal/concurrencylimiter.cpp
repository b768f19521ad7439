#include "scheduling/concurrencylimiter.h"

#include <algorithm>

namespace dragonflylock {
namespace {

constexpr std::size_t MinLimit = 16;
constexpr std::size_t MaxLimit = 1024;
/// Responses slower than SlowResponse lower the limit; responses faster than
/// FastResponse raise it if orders have waited for it. Both times are small
/// compared with the second after which a lease is renewed.
constexpr std::chrono::milliseconds SlowResponse{250};
constexpr std::chrono::milliseconds FastResponse{120};
/// Slow responses lower the limit to this share of it, and fast ones raise it
/// by this share, in eighths.
constexpr std::size_t DecreaseToEighths = 5;
constexpr std::size_t IncreaseByEighths = 1;

} // namespace

bool ConcurrencyLimiter::admits(std::size_t Orders) const {
  return InFlight_ == 0 || InFlight_ + Orders <= Limit_;
}

void ConcurrencyLimiter::onUnanswered() { --InFlight_; }

void ConcurrencyLimiter::onAnswered(std::chrono::milliseconds Latency) {
  --InFlight_;
  // The responses of one round trip carry the same information, so the limit
  // changes at most once per as many responses as it admits.
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
