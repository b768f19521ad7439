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
/// Time in which a backlog is to be worked off once machines have come.
constexpr Seconds ClearTime{1.5};
/// Backlog, as time of the whole pool, that is worked off without more
/// machines.
constexpr Seconds TolerableBacklog{0.5};
/// A machine goes to the spare pool when it has been idle for as long as two
/// moves take: the way there and back.
constexpr int MovesOfRelease = 2;

double usable(const PoolLoad &Load) {
  return std::max(0.0,
                  (static_cast<double>(Load.Machines_) - Load.Lasting_) *
                      Packing);
}

} // namespace

std::uint32_t CapacityPlanner::missing(const PoolLoad &Load) const {
  double Delay = Seconds(MoveTime_ + RegistrationTime).count();
  double Now = usable(Load);
  double Backlog =
      std::max(0.0, Load.Backlog_ + (Load.Arriving_ - Now) * Delay);
  if (Backlog <= Now * TolerableBacklog.count())
    return 0;
  double Wanted = Load.Arriving_ + Backlog / ClearTime.count();
  return static_cast<std::uint32_t>(
      std::ceil(std::max(0.0, (Wanted - Now) / Packing)));
}

std::uint32_t CapacityPlanner::dispensable(const PoolLoad &Load) const {
  double Needed =
      std::max(Load.Arriving_, Load.Backlog_ / ClearTime.count()) / Packing +
      Load.Lasting_;
  double Left = static_cast<double>(Load.Machines_) - std::ceil(Needed);
  return static_cast<std::uint32_t>(std::max(0.0, Left));
}

std::chrono::milliseconds CapacityPlanner::releaseAfter() const {
  return MoveTime_ * MovesOfRelease;
}

} // namespace dragonflylock
