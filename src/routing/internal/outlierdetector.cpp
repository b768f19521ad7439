#include "routing/outlierdetector.h"

#include <algorithm>

namespace dragonflylock {
namespace {

/// Weight of one result in the moving average.
constexpr double Weight = 0.2;
/// Results before an instance is judged.
constexpr std::uint64_t FewestResults = 8;
/// Failure rate of an instance that fails nearly everything.
constexpr double OutlierRate = 0.8;
/// Mean failure rate of the others above which the fault is not the
/// instance's own.
constexpr double CommonRate = 0.3;
constexpr std::chrono::milliseconds LongestPause{60'000};

} // namespace

TimePoint OutlierDetector::onResult(const std::string &Instance, bool IsFailure,
                                    TimePoint Now, std::size_t MostSetAside) {
  Health &Entry = Instances_[Instance];
  Entry.FailureRate_ += Weight * ((IsFailure ? 1.0 : 0.0) - Entry.FailureRate_);
  ++Entry.Results_;
  bool IsSetAside = Now < Entry.SetAsideUntil_;
  if (IsSetAside || !isOutlier(Instance) || setAside(Now) >= MostSetAside)
    return Entry.SetAsideUntil_;
  Entry.SetAsideUntil_ = Now + Entry.NextPause_;
  Entry.NextPause_ = std::min(LongestPause, 2 * Entry.NextPause_);
  // When it returns, a few results decide anew.
  Entry.FailureRate_ = OutlierRate / 2;
  Entry.Results_ = FewestResults / 2;
  return Entry.SetAsideUntil_;
}

bool OutlierDetector::isOutlier(const std::string &Instance) const {
  const Health &Judged = Instances_.at(Instance);
  if (Judged.Results_ < FewestResults || Judged.FailureRate_ < OutlierRate)
    return false;
  double Sum = 0;
  std::size_t Others = 0;
  for (const auto &[Id, Each] : Instances_) {
    if (Id == Instance)
      continue;
    Sum += Each.FailureRate_;
    ++Others;
  }
  return Others > 0 && Sum / static_cast<double>(Others) < CommonRate;
}

std::size_t OutlierDetector::setAside(TimePoint Now) const {
  return static_cast<std::size_t>(
      std::count_if(Instances_.begin(), Instances_.end(), [&](const auto &E) {
        return Now < E.second.SetAsideUntil_;
      }));
}

} // namespace dragonflylock
