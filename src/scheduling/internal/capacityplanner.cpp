#include "scheduling/capacityplanner.h"

#include <algorithm>
#include <cmath>

namespace dragonflylock {
namespace {

using Seconds = std::chrono::duration<double>;

/// Share of a machine's room that tasks of different sizes fill.
constexpr double PackingRatio = 0.85;
/// Time from a worker's start until it is registered and takes tasks.
constexpr Seconds RegistrationTime{0.4};
/// A machine goes to the spare pool when it has been idle for as long as two
/// moves take: the way there and back.
constexpr int MovesPerRoundTrip = 2;

double usableCapacity(const PoolLoad &Load) {
  return std::max(
      0.0, (static_cast<double>(Load.Machines_) - Load.LongRunningLoad_) *
               PackingRatio);
}

} // namespace

std::uint32_t CapacityPlanner::missingMachines(const PoolLoad &Load) const {
  double Usable = usableCapacity(Load);
  double Needed =
      std::max(Load.ArrivalLoad_, Load.RunningLoad_) + Load.WaitingLoad_;
  // A gang or a large task may find no room though the pool has enough in all.
  bool IsFragmented = Load.LongestWait_ > MoveTime_ * MovesPerRoundTrip;
  if (Needed <= Usable)
    return IsFragmented ? 1 : 0;
  // What gathers until machines come is to be worked off as well.
  double Delay =
      Seconds(MoveTime_ + RegistrationTime) / Seconds(BacklogClearTime);
  Needed += std::max(0.0, Load.ArrivalLoad_ - Usable) * Delay;
  return static_cast<std::uint32_t>(
      std::ceil((Needed - Usable) / PackingRatio));
}

std::uint32_t CapacityPlanner::surplusMachines(const PoolLoad &Load) const {
  double Needed =
      std::max(Load.ArrivalLoad_, Load.RunningLoad_) + Load.WaitingLoad_;
  double Used = Load.LongRunningLoad_ + std::ceil(Needed / PackingRatio);
  double Retained = std::max(Used, static_cast<double>(Load.HomeMachines_));
  return static_cast<std::uint32_t>(
      std::max(0.0, static_cast<double>(Load.Machines_) - Retained));
}

std::chrono::milliseconds CapacityPlanner::releaseDelay() const {
  return MoveTime_ * MovesPerRoundTrip;
}

} // namespace dragonflylock
