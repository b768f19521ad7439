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

/// Steers moves and maintenance: begins what operators ask for, and completes
/// what has begun. Any number of controllers may run at a time; each change
/// is a conditional transaction, so that of two that race one has no effect.
class FleetController {
public:
  /// All must outlive the controller, which is for use by one thread.
  FleetController(IPlatform &Platform, const IClock &Clock, ITraceSink &Trace);

  /// Performs one round: completes moves of quiet instances and advances the
  /// wave.
  /// \returns a PlatformErrc where the rows could not be read.
  Result<void> runRound(const FleetConfiguration &Fleet);

  /// Begins to move \p Instance to \p Target.
  /// \returns a FleetErrc or PlatformErrc where it did not begin.
  Result<void> beginMove(const FleetConfiguration &Fleet,
                         const std::string &Instance, const std::string &Target,
                         const std::string &Operator);
  /// Begins to maintain \p Instance alone.
  Result<void> beginMaintenance(const FleetConfiguration &Fleet,
                                const std::string &Instance,
                                const std::string &Operator);
  /// Removes the registration of an entry instance that is gone for good, so
  /// that nobody waits for its acknowledgements.
  Result<void> unregisterEntry(const std::string &Entry,
                               const std::string &Operator);
  /// Starts a wave over all instances.
  /// \returns the wave's id, or FleetErrc::WaveActive.
  Result<std::string> startWave(const std::string &Operator,
                                const std::string &Reason);
  /// Halts a running wave, or resumes a halted one.
  /// \returns FleetErrc::NoSuchWave where there is none in that state.
  Result<void> setWaveState(WaveState From, WaveState To,
                            const std::string &Operator,
                            const std::string &Reason);
  /// Reads the rows anew.
  Result<void> refresh() { return Reader_.refresh(); }
  /// \returns the rows as of the last refresh.
  const FleetView &view() const { return Reader_.view(); }

private:
  Result<void> beginLeaving(const FleetConfiguration &Fleet,
                            const std::string &Instance,
                            const std::string &Target,
                            const std::string &Operator);
  Result<void> enrolAll();
  /// \returns whether any row was changed.
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
  /// Instances whose reboot was asked for, with their epoch.
  std::set<std::pair<std::string, std::uint64_t>> Rebooted_;
};

} // namespace dragonflylock

#endif
