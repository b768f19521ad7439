#include "routing/outlierdetector.h"

#include <algorithm>

namespace dragonflylock {
namespace {

/// SmoothingFactor of one result in the moving average.
constexpr double SmoothingFactor = 0.2;
/// Results before an instance is judged.
constexpr std::uint64_t MinResults = 8;
/// Failure rate of an instance that fails nearly everything.
constexpr double OutlierFailureRate = 0.8;
/// Mean failure rate of the others above which the fault is not the
/// instance's own.
constexpr double CommonCauseFailureRate = 0.3;
constexpr std::chrono::milliseconds MaxEjectionTime{60'000};

} // namespace

TimePoint OutlierDetector::onResult(const std::string &Instance, bool IsFailure,
                                    TimePoint Now, std::size_t MaxEjected) {
  Health &Entry = Instances_[Instance];
  Entry.FailureRate_ +=
      SmoothingFactor * ((IsFailure ? 1.0 : 0.0) - Entry.FailureRate_);
  ++Entry.Results_;
  bool IsEjected = Now < Entry.EjectedUntil_;
  if (IsEjected || !isOutlier(Instance) || ejectedCount(Now) >= MaxEjected)
    return Entry.EjectedUntil_;
  Entry.EjectedUntil_ = Now + Entry.NextEjectionTime_;
  Entry.NextEjectionTime_ =
      std::min(MaxEjectionTime, 2 * Entry.NextEjectionTime_);
  // When it returns, a few results decide anew.
  Entry.FailureRate_ = OutlierFailureRate / 2;
  Entry.Results_ = MinResults / 2;
  return Entry.EjectedUntil_;
}

bool OutlierDetector::isOutlier(const std::string &Instance) const {
  const Health &Candidate = Instances_.at(Instance);
  if (Candidate.Results_ < MinResults ||
      Candidate.FailureRate_ < OutlierFailureRate)
    return false;
  double Sum = 0;
  std::size_t Others = 0;
  for (const auto &[Id, Each] : Instances_) {
    if (Id == Instance)
      continue;
    Sum += Each.FailureRate_;
    ++Others;
  }
  return Others > 0 &&
         Sum / static_cast<double>(Others) < CommonCauseFailureRate;
}

std::size_t OutlierDetector::ejectedCount(TimePoint Now) const {
  return static_cast<std::size_t>(
      std::count_if(Instances_.begin(), Instances_.end(), [&](const auto &E) {
        return Now < E.second.EjectedUntil_;
      }));
}

} // namespace dragonflylock
