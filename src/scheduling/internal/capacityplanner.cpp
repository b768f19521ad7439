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
/// Time from a request until the machine is ordered to move: the store's write,
/// the followers of the row, and the interval of the spare pool's owner.
constexpr std::chrono::milliseconds OrderDelay{500};
/// At 0.022 a second in a pool and 0.025 a move, a machine that is away for
/// three round trips saves about three times what the two moves cost.
constexpr int MinRoundTripsAway = 3;
/// A pool keeps one home machine of this many for unforeseen arrivals.
constexpr std::uint32_t HomePerReserve = 4;

double usableCapacity(const PoolLoad &Load) {
  return std::max(
      0.0, (static_cast<double>(Load.Machines_) - Load.LongRunningLoad_) *
               PackingRatio);
}

std::uint32_t countOf(double Machines) {
  return static_cast<std::uint32_t>(std::max(0.0, std::ceil(Machines)));
}

/// \returns the capacity that accepted work and current arrivals need.
double currentNeed(const PoolLoad &Load) {
  return std::max(Load.ArrivalLoad_, Load.RunningLoad_) + Load.WaitingLoad_;
}

} // namespace

std::uint32_t CapacityPlanner::missingMachines(const PoolLoad &Load) const {
  double Usable = usableCapacity(Load);
  double Needed = currentNeed(Load);
  // No backlog accumulates before a peak whose machines are requested ahead.
  std::uint32_t Ahead = countOf((Load.ForecastLoad_ - Usable) / PackingRatio);
  // Fragmentation may leave no place for a gang or a large task even though
  // the total free capacity suffices.
  bool IsFragmented = Load.LongestWait_ > MoveTime_ * MovesPerRoundTrip;
  if (Needed <= Usable)
    return std::max(Ahead, IsFragmented ? 1U : 0U);
  // Includes the backlog that accumulates until the machines arrive.
  double Delay =
      Seconds(MoveTime_ + RegistrationTime) / Seconds(BacklogClearTime);
  Needed += std::max(0.0, Load.ArrivalLoad_ - Usable) * Delay;
  return std::max(Ahead, countOf((Needed - Usable) / PackingRatio));
}

std::uint32_t CapacityPlanner::surplusMachines(const PoolLoad &Load) const {
  double Needed = std::max(currentNeed(Load), Load.ForecastLoad_);
  double Used = Load.LongRunningLoad_ + std::ceil(Needed / PackingRatio);
  double Retained = std::max(Used, static_cast<double>(Load.HomeMachines_));
  return static_cast<std::uint32_t>(
      std::max(0.0, static_cast<double>(Load.Machines_) - Retained));
}

std::uint32_t CapacityPlanner::returnableMachines(const PoolLoad &Load) const {
  if (Load.HomeMachines_ == 0 || Load.ForecastLoad_ > 0 ||
      Load.LongestWait_.count() > 0)
    return 0;
  const double Needed = std::max(Load.ArrivalLoad_, Load.RunningLoad_) +
                        std::max(Load.WaitingLoad_, Load.UnstartedLoad_);
  const std::uint32_t Retained =
      countOf(Load.LongRunningLoad_ + Needed / PackingRatio) +
      reserveOf(Load.HomeMachines_);
  return Load.Machines_ > Retained ? Load.Machines_ - Retained : 0;
}

std::uint32_t CapacityPlanner::reserveOf(std::uint32_t HomeMachines) {
  return (HomeMachines + HomePerReserve - 1) / HomePerReserve;
}

std::chrono::milliseconds CapacityPlanner::leadTime() const {
  return MoveTime_ +
         std::chrono::duration_cast<std::chrono::milliseconds>(
             RegistrationTime) +
         OrderDelay;
}

std::chrono::milliseconds CapacityPlanner::minIdlePhase() const {
  return MoveTime_ * MovesPerRoundTrip * MinRoundTripsAway;
}

std::chrono::milliseconds CapacityPlanner::releaseDelay() const {
  return MoveTime_ * MovesPerRoundTrip;
}

} // namespace dragonflylock
