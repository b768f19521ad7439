#ifndef DRAGONFLYLOCK_FLEET_WAVEPLANNER_H
#define DRAGONFLYLOCK_FLEET_WAVEPLANNER_H

#include "fleet/fleettransitions.h"
#include "fleet/fleettypes.h"

#include <optional>
#include <string>
#include <vector>

namespace dragonflylock {

class FleetConfiguration;

/// The next actions of a controller for the maintenance wave.
struct WavePlan {
  /// Changes to commit, each in a transaction of its own.
  std::vector<FleetChange> Changes_;
  /// Instances that are out of service and have not returned from a reboot.
  std::vector<std::string> Reboots_;
  /// The reason why the wave must halt; nothing if it may continue.
  std::optional<std::string> HaltReason_;
  /// Whether the running wave has maintained every listed instance.
  bool IsFinished_ = false;
};

/// Plans a maintenance wave: takes instances out of service as far as each
/// pool's availability budget allows, and returns instances to service after
/// their reboot.
class WavePlanner {
public:
  /// \param Fleet the configuration in force; must outlive the planner.
  explicit WavePlanner(const FleetConfiguration &Fleet);

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
