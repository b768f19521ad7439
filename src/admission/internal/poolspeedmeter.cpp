#include "admission/poolspeedmeter.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace dragonflylock {
namespace {

/// Time in which the weight of an observation falls to 1/e.
constexpr double MemoryMs = 3000;
/// Time of the whole pool that the declared run times count for at the start,
/// so that the first few tasks do not decide alone.
constexpr double InitialWeightMs = 500;
/// Bounds of the ratio of declared to actual run times.
constexpr double LowestRatio = 0.2;
constexpr double HighestRatio = 4;
/// Least utilization that is taken into account. Where less is used, the work
/// that waits needs workers with certain labels, and other work would start.
constexpr double LowestUtilization = 0.5;
/// Waiting work, in milliseconds of the whole pool, from which on unused cores
/// count as unusable. Below it, tasks may just have ended.
constexpr double FullPoolMs = 500;

} // namespace

void PoolSpeedMeter::observe(TimePoint Now, const FinishedWork &Finished,
                             double Cores, double BusyCores,
                             std::int64_t Waiting) {
  const double Passed =
      std::chrono::duration<double, std::milli>(Now - LastAt_).count();
  if (HasLast_ && Passed > 0) {
    const double Kept = std::exp(-Passed / MemoryMs);
    Declared_ = Declared_ * Kept +
                static_cast<double>(Finished.Declared_ - Last_.Declared_);
    Occupied_ = Occupied_ * Kept +
                static_cast<double>(Finished.Occupied_ - Last_.Occupied_);
    const bool IsFull = static_cast<double>(Waiting) >= FullPoolMs * Cores;
    const double Used =
        IsFull && Cores > 0 ? std::min(1.0, BusyCores / Cores) : 1.0;
    Utilization_ = Utilization_ * Kept + Used * (1 - Kept);
  }
  Last_ = Finished;
  LastAt_ = Now;
  HasLast_ = true;
}

double PoolSpeedMeter::ratioOf(double Cores) const {
  const double Initial = std::max(1.0, Cores * InitialWeightMs);
  const double Ratio = (Declared_ + Initial) / (Occupied_ + Initial);
  return std::clamp(Ratio, LowestRatio, HighestRatio);
}

double PoolSpeedMeter::speedOf(double Cores) const {
  return Cores * ratioOf(Cores) * std::max(Utilization_, LowestUtilization);
}

} // namespace dragonflylock
