#ifndef DRAGONFLYLOCK_EMULATOR_INTERNAL_FAULTINJECTOR_H
#define DRAGONFLYLOCK_EMULATOR_INTERNAL_FAULTINJECTOR_H

#include "emulator/internal/returningworkersfault.h"
#include "global/iclock.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace dragonflylock {

class EmulatedNode;
class ModelStore;
class ModelWorkers;
class Simulation;

/// Injects faults into nodes, the store and workers, of kinds and at times that
/// the seed determines.
class FaultInjector {
public:
  using Nodes = std::vector<std::unique_ptr<EmulatedNode>>;

  FaultInjector(Simulation &Sim, ModelStore &Store, ModelWorkers &Workers,
                Nodes &AllNodes);

  /// Schedules \p Count faults that begin between \p From and \p From +
  /// \p Duration.
  void scheduleFaults(std::uint32_t Count, std::chrono::milliseconds From,
                      std::chrono::milliseconds Duration);
  /// Schedules \p Count faults of the kind ReturningWorkersFault that begin
  /// between \p From and \p From + \p Duration.
  void scheduleReturningWorkers(std::uint32_t Count,
                                std::chrono::milliseconds From,
                                std::chrono::milliseconds Duration);
  /// Kills all nodes and restarts each at \p Duration to \p Duration + 500 ms
  /// later.
  void killAllNodes(std::chrono::milliseconds Duration);
  /// \returns the injected faults, with the time and duration of each.
  const std::vector<std::string> &injectedFaults() const {
    return InjectedFaults_;
  }
  /// \returns the time at which the last of the faults injected so far ends.
  TimePoint lastFaultEnd() const { return LastFaultEnd_; }

private:
  /// Time for which the effects of most faults last beyond their duration:
  /// until a cut worker is back in the registry, or a stopped process has been
  /// started.
  static constexpr std::chrono::milliseconds MaxAftermath{5000};

  void injectFault();
  void injectNodeFault(std::int64_t Kind, std::chrono::milliseconds Duration);
  void injectStoreFault(std::int64_t Kind, std::chrono::milliseconds Duration);
  void injectWorkerFault(std::int64_t Kind, std::chrono::milliseconds Duration);
  /// Records a fault.
  /// \param Aftermath time for which its effects last beyond \p Duration.
  void record(const std::string &What, std::chrono::milliseconds Duration,
              std::chrono::milliseconds Aftermath = MaxAftermath);
  EmulatedNode &pickNode();

  Simulation &Simulation_;
  ModelStore &Store_;
  ModelWorkers &Workers_;
  Nodes &Nodes_;
  ReturningWorkersFault ReturningWorkers_;
  std::vector<std::string> InjectedFaults_;
  TimePoint LastFaultEnd_;
};

} // namespace dragonflylock

#endif
