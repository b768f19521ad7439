#ifndef DRAGONFLYLOCK_EMULATOR_INTERNAL_FAULTINJECTOR_H
#define DRAGONFLYLOCK_EMULATOR_INTERNAL_FAULTINJECTOR_H

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

/// Plays faults of all kinds at times that the seed picks.
class FaultInjector {
public:
  using Nodes = std::vector<std::unique_ptr<EmulatedNode>>;

  FaultInjector(Simulation &Sim, ModelStore &Store, ModelWorkers &Workers,
                Nodes &AllNodes)
      : Simulation_(Sim), Store_(Store), Workers_(Workers), Nodes_(AllNodes) {}

  /// Plans \p Count faults between \p From and \p From + \p Duration.
  void scheduleFaults(std::uint32_t Count, std::chrono::milliseconds From,
                      std::chrono::milliseconds Duration);
  /// Kills all nodes, which are started again after \p Duration.
  void killAllNodes(std::chrono::milliseconds Duration);
  /// \returns what was played.
  const std::vector<std::string> &injectedFaults() const {
    return InjectedFaults_;
  }

private:
  void injectFault();
  void injectNodeFault(std::int64_t Kind, std::chrono::milliseconds Duration);
  void injectStoreFault(std::int64_t Kind, std::chrono::milliseconds Duration);
  void injectWorkerFault(std::int64_t Kind, std::chrono::milliseconds Duration);
  void record(const std::string &What, std::chrono::milliseconds Duration);
  EmulatedNode &pickNode();

  Simulation &Simulation_;
  ModelStore &Store_;
  ModelWorkers &Workers_;
  Nodes &Nodes_;
  std::vector<std::string> InjectedFaults_;
};

} // namespace dragonflylock

#endif
