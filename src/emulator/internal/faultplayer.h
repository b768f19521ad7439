#ifndef DRAGONFLYLOCK_EMULATOR_INTERNAL_FAULTPLAYER_H
#define DRAGONFLYLOCK_EMULATOR_INTERNAL_FAULTPLAYER_H

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
class FaultPlayer {
public:
  using Nodes = std::vector<std::unique_ptr<EmulatedNode>>;

  FaultPlayer(Simulation &World, ModelStore &Store, ModelWorkers &Workers,
              Nodes &AllNodes)
      : World_(World), Store_(Store), Workers_(Workers), Nodes_(AllNodes) {}

  /// Plans \p Count faults between \p From and \p From + \p Length.
  void plan(std::uint32_t Count, std::chrono::milliseconds From,
            std::chrono::milliseconds Length);
  /// Kills all nodes, which are started again after \p Length.
  void killAll(std::chrono::milliseconds Length);
  /// \returns what was played.
  const std::vector<std::string> &played() const { return Played_; }

private:
  void play();
  void playNodeFault(std::int64_t Kind, std::chrono::milliseconds Length);
  void playStoreFault(std::int64_t Kind, std::chrono::milliseconds Length);
  void playWorkerFault(std::int64_t Kind, std::chrono::milliseconds Length);
  void note(const std::string &What, std::chrono::milliseconds Length);
  EmulatedNode &pickNode();

  Simulation &World_;
  ModelStore &Store_;
  ModelWorkers &Workers_;
  Nodes &Nodes_;
  std::vector<std::string> Played_;
};

} // namespace dragonflylock

#endif
