#include "scheduling/capacityplanner.h"

#include <algorithm>
#include <cmath>

namespace dragonflylock {
namespace {

using Seconds = std::chrono::duration<double>;

/// Share of a machine's room that tasks of different sizes fill.
constexpr double Packing = 0.85;
/// Time from a worker's start until it is registered and takes tasks.
constexpr Seconds RegistrationTime{0.4};
/// A machine goes to the spare pool when it has been idle for as long as two
/// moves take: the way there and back.
constexpr int MovesOfRelease = 2;

double usable(const PoolLoad &Load) {
  return std::max(0.0, (static_cast<double>(Load.Machines_) - Load.Lasting_) *
                           Packing);
}

} // namespace

std::uint32_t CapacityPlanner::missing(const PoolLoad &Load) const {
  double Now = usable(Load);
  double Needed = std::max(Load.Arriving_, Load.Running_) + Load.Waiting_;
  // A gang or a large task may find no room though the pool has enough in all.
  bool IsStuck = Load.LongestWait_ > MoveTime_ * MovesOfRelease;
  if (Needed <= Now)
    return IsStuck ? 1 : 0;
  // What gathers until machines come is to be worked off as well.
  double Delay = Seconds(MoveTime_ + RegistrationTime) / Seconds(ClearTime);
  Needed += std::max(0.0, Load.Arriving_ - Now) * Delay;
  return static_cast<std::uint32_t>(std::ceil((Needed - Now) / Packing));
}

std::uint32_t CapacityPlanner::surplus(const PoolLoad &Load) const {
  double Needed = std::max(Load.Arriving_, Load.Running_) + Load.Waiting_;
  double Used = Load.Lasting_ + std::ceil(Needed / Packing);
  double Kept = std::max(Used, static_cast<double>(Load.Home_));
  return static_cast<std::uint32_t>(
      std::max(0.0, static_cast<double>(Load.Machines_) - Kept));
}

std::chrono::milliseconds CapacityPlanner::releaseAfter() const {
  return MoveTime_ * MovesOfRelease;
}

} // namespace dragonflylock
