#include "routing/outlierdetector.h"

#include <algorithm>

namespace dragonflylock {
namespace {

/// Weight of the latest result in the moving average of failures.
constexpr double SmoothingFactor = 0.2;
/// Results needed before an instance can be ejected.
constexpr std::uint64_t MinResults = 8;
/// Failure rate from which an instance counts as failing nearly every request.
constexpr double OutlierFailureRate = 0.8;
/// Mean failure rate of the other instances from which a failure is attributed
/// to a common cause, not to the single instance.
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
  // After the readmission, a few results decide whether the instance is ejected
  // again.
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
