#include "fleet/availabilitybudget.h"

#include <algorithm>
#include <cmath>

namespace dragonflylock {
namespace {

/// Prevents floating-point error from rounding an exact product, such as 0.75
/// of 8, up to the next integer.
constexpr double RoundingTolerance = 1e-9;

} // namespace

AvailabilityBudget::AvailabilityBudget(double MinimumAvailable,
                                       std::size_t FailureReserve)
    : MinimumAvailable_(MinimumAvailable), FailureReserve_(FailureReserve) {}

std::size_t AvailabilityBudget::requiredInService(std::size_t Members) const {
  double Exact = MinimumAvailable_ * static_cast<double>(Members);
  return static_cast<std::size_t>(std::ceil(Exact - RoundingTolerance));
}

bool AvailabilityBudget::allowsDisruption(const PoolMemberCounts &Count) const {
  std::size_t Reserve = std::min(FailureReserve_, Count.LargestRackSize_);
  std::size_t Unavailable = Count.OutOfService_ + Count.Failed_ + 1 + Reserve;
  return Count.Members_ >= Unavailable + requiredInService(Count.Members_);
}

} // namespace dragonflylock
