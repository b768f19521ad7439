#ifndef DRAGONFLYLOCK_FLEET_FLEETCONTROLLER_H
#define DRAGONFLYLOCK_FLEET_FLEETCONTROLLER_H

#include "fleet/fleetreader.h"
#include "fleet/fleettransitions.h"
#include "fleet/quiescencetracker.h"
#include "global/result.h"

#include <cstdint>
#include <set>
#include <string>

namespace dragonflylock {

class FleetConfiguration;
class IClock;
class IPlatform;
class ITraceSink;

/// Controls moves and maintenance of instances: starts what operators request
/// and completes what has been started. Any number of controllers may run
/// concurrently. Each change is a conditional transaction, so that of two
/// conflicting changes only one takes effect.
class FleetController {
public:
  /// All arguments must outlive the controller. Not thread-safe.
  FleetController(IPlatform &Platform, const IClock &Clock, ITraceSink &Trace);

  /// Runs one control round: completes the moves and drains of quiescent
  /// instances and advances the maintenance wave.
  /// \returns a PlatformErrc if the rows could not be read or new pool members
  /// could not be stored.
  Result<void> runRound(const FleetConfiguration &Fleet);

  /// Starts moving \p Instance to the pool \p Target.
  /// \returns a FleetErrc or PlatformErrc if the move was not started.
  Result<void> beginMove(const FleetConfiguration &Fleet,
                         const std::string &Instance, const std::string &Target,
                         const std::string &Operator);
  /// Starts maintenance of \p Instance outside a wave.
  Result<void> beginMaintenance(const FleetConfiguration &Fleet,
                                const std::string &Instance,
                                const std::string &Operator);
  /// Removes the registration of an entry instance that will not come back, so
  /// that moves no longer wait for its acknowledgements.
  Result<void> unregisterEntry(const std::string &Entry,
                               const std::string &Operator);
  /// Starts a maintenance wave over all instances.
  /// \returns the wave's id, FleetErrc::WaveActive, or a PlatformErrc.
  Result<std::string> startWave(const std::string &Operator,
                                const std::string &Reason);
  /// Halts a running wave, or resumes a halted one.
  /// \returns FleetErrc::NoSuchWave if the wave is not in state \p From, or a
  /// PlatformErrc.
  Result<void> setWaveState(WaveState From, WaveState To,
                            const std::string &Operator,
                            const std::string &Reason);
  /// Updates view() from the platform.
  Result<void> refresh() { return Reader_.refresh(); }
  /// \returns the rows and the instance list as of the last refresh.
  const FleetView &view() const { return Reader_.view(); }

private:
  Result<void> beginLeaving(const FleetConfiguration &Fleet,
                            const std::string &Instance,
                            const std::string &Target,
                            const std::string &Operator);
  /// Adds instances that are missing from their pool's row to its members.
  Result<void> enrolAll();
  /// \returns whether any transaction was attempted, so that view() may be
  /// outdated.
  bool finishLeavingInstances(const FleetConfiguration &Fleet);
  void advanceWave(const FleetConfiguration &Fleet);
  Result<void> commit(const FleetChange &Change, const std::string &Operator);
  Result<void> commitWave(const WaveRow &Next, const std::string &Operator);
  RowWrite audit(const std::string &Operator, const std::string &Subject,
                 const std::string &Detail) const;
  std::int64_t nowMs() const;

  IPlatform &Platform_;
  const IClock &Clock_;
  ITraceSink &Trace_;
  FleetReader Reader_;
  QuiescenceTracker Quiescence_;
  /// Instances whose reboot the platform has accepted, with the epoch of their
  /// row.
  std::set<std::pair<std::string, std::uint64_t>> Rebooted_;
};

} // namespace dragonflylock

#endif
