#include "scheduling/capacityplanner.h"

#include <algorithm>
#include <cmath>

namespace dragonflylock {
namespace {

using Seconds = std::chrono::duration<double>;

/// Share of a machine's capacity that tasks of different sizes can fill.
constexpr double PackingRatio = 0.85;
/// Time from the start of a worker until it is registered and accepts tasks.
constexpr Seconds RegistrationTime{0.4};
/// A machine is returned to the spare pool once it has been idle for as long
/// as the move there and the move back would take.
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
  // Fragmentation may leave no place for a gang or a large task even though
  // the total free capacity suffices.
  bool IsFragmented = Load.LongestWait_ > MoveTime_ * MovesPerRoundTrip;
  if (Needed <= Usable)
    return IsFragmented ? 1 : 0;
  // Includes the backlog that accumulates until the machines arrive.
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
