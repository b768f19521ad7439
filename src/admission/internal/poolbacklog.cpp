#include "admission/poolbacklog.h"

#include <algorithm>
#include <numeric>

namespace dragonflylock {
namespace {

/// Upper bound of the last range in milliseconds, for the share of it that goes
/// before a place.
constexpr double LastUpperBound = 12800;
/// Work, in milliseconds of the whole pool, that may wait at the front without
/// telling when other work starts.
constexpr double BlockedWorkMs = 50;

double lowerBoundOf(std::size_t Range) {
  return static_cast<double>(WorkByUrgency::LowerBounds[Range - 1]);
}

double upperBoundOf(std::size_t Range) {
  return Range + 1 < WorkByUrgency::RangeCount ? lowerBoundOf(Range + 1)
                                               : LastUpperBound;
}

} // namespace

void WorkByUrgency::add(std::chrono::milliseconds Place, std::int64_t Work) {
  const auto *Next =
      std::upper_bound(LowerBounds.begin(), LowerBounds.end(), Place.count());
  Amounts_[static_cast<std::size_t>(Next - LowerBounds.begin())] += Work;
}

double WorkByUrgency::before(std::chrono::milliseconds Place) const {
  const auto At = static_cast<double>(Place.count());
  double Sum = At >= 0 ? static_cast<double>(Amounts_[0]) : 0;
  for (std::size_t Range = 1; Range < RangeCount; ++Range) {
    const double Lower = lowerBoundOf(Range);
    const double Share = (At - Lower) / (upperBoundOf(Range) - Lower);
    Sum += static_cast<double>(Amounts_[Range]) * std::clamp(Share, 0.0, 1.0);
  }
  return Sum;
}

double WorkByUrgency::arrivingBefore(std::chrono::milliseconds Place,
                                     std::chrono::milliseconds Time) const {
  const auto Until = static_cast<double>(Time.count());
  double Sum = 0;
  for (std::size_t Range = 0; Range < RangeCount; ++Range) {
    const double Delay =
        Range == 0 ? 0 : (lowerBoundOf(Range) + upperBoundOf(Range)) / 2;
    const double Length =
        std::clamp(static_cast<double>(Place.count()) - Delay, 0.0, Until);
    Sum += static_cast<double>(Amounts_[Range]) * Length / 1000;
  }
  return Sum;
}

std::int64_t WorkByUrgency::total() const {
  return std::accumulate(Amounts_.begin(), Amounts_.end(), std::int64_t{0});
}

std::int64_t PoolBacklog::waiting() const {
  std::int64_t Sum = 0;
  for (const auto &[Priority, Each] : Priorities_)
    Sum += Each.OnTime_.total() + Each.Late_.total();
  return Sum;
}

std::chrono::milliseconds frontAgeOf(
    std::vector<std::pair<std::chrono::milliseconds, std::int64_t>> OnTime,
    double Speed) {
  std::sort(OnTime.begin(), OnTime.end());
  double Sum = 0;
  for (const auto &[Place, Work] : OnTime) {
    Sum += static_cast<double>(Work);
    if (Sum > BlockedWorkMs * Speed)
      return std::max(std::chrono::milliseconds(0), -Place);
  }
  return std::chrono::milliseconds(0);
}

} // namespace dragonflylock
