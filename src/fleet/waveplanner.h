#ifndef DRAGONFLYLOCK_FLEET_WAVEPLANNER_H
#define DRAGONFLYLOCK_FLEET_WAVEPLANNER_H

#include "fleet/fleettransitions.h"
#include "fleet/fleettypes.h"

#include <optional>
#include <string>
#include <vector>

namespace dragonflylock {

class FleetConfiguration;

/// What a controller does next for the maintenance wave.
struct WavePlan {
  /// Changes to try, each on its own.
  std::vector<FleetChange> Changes_;
  /// Instances that are out and have not been rebooted yet.
  std::vector<std::string> Reboots_;
  /// Why the wave has to halt, if it has to.
  std::optional<std::string> HaltReason_;
  /// Whether every instance has been maintained.
  bool IsFinished_ = false;
};

/// Plans a maintenance wave: takes instances out as far as each pool's budget
/// allows, and brings back those that have returned.
class WavePlanner {
public:
  /// \param Fleet the configuration in force; must outlive the planner.
  explicit WavePlanner(const FleetConfiguration &Fleet);

  /// \returns what to do next.
  /// \param NowMs calendar time in milliseconds since 1970.
  WavePlan plan(const FleetView &View, std::int64_t NowMs) const;

private:
  void planInstance(const FleetView &View, std::int64_t NowMs,
                    const std::string &Instance, WavePlan &Plan) const;
  void planOutOfService(const FleetView &View, std::int64_t NowMs,
                        const std::string &Instance, WavePlan &Plan) const;
  void planServing(const FleetView &View, std::int64_t NowMs,
                   const std::string &Instance, WavePlan &Plan) const;

  const FleetConfiguration &Fleet_;
};

} // namespace dragonflylock

#endif
