#ifndef DRAGONFLYLOCK_EMULATOR_INTERNAL_RETURNINGWORKERSFAULT_H
#define DRAGONFLYLOCK_EMULATOR_INTERNAL_RETURNINGWORKERSFAULT_H

#include "emulator/randomgenerator.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace dragonflylock {

class EmulatedNode;
class ModelWorkers;
class Simulation;

/// Crashes workers of a rack or a pool at one moment. They come back under
/// their old ids and are cut off soon after, several times in a row, while
/// orders for their former lifetimes are on the way and nodes fail.
class ReturningWorkersFault {
public:
  using Nodes = std::vector<std::unique_ptr<EmulatedNode>>;
  /// Records a fault and its duration.
  using Recorder =
      std::function<void(const std::string &, std::chrono::milliseconds)>;

  ReturningWorkersFault(Simulation &Sim, ModelWorkers &Workers, Nodes &AllNodes,
                        Recorder Record);

  /// Schedules \p Count such faults that begin between \p From and \p From +
  /// \p Duration.
  void schedule(std::uint32_t Count, std::chrono::milliseconds From,
                std::chrono::milliseconds Duration);

private:
  /// Begins the first of several rounds on the same workers.
  void begin();
  void beginRound(const std::vector<std::string> &Ids,
                  std::uint32_t RoundsLeft);
  std::vector<std::string> pickWorkers();
  void crash(const std::string &Id, std::chrono::milliseconds Downtime);
  void cutOff(const std::vector<std::string> &Ids,
              std::chrono::milliseconds Duration);
  /// Kills, freezes or stops a node, in most cases the owner of the pool.
  void failNode(const std::string &Pool);
  EmulatedNode &pickNode(const std::string &Pool);
  std::chrono::milliseconds pickDuration(std::chrono::milliseconds Shortest,
                                         std::chrono::milliseconds Longest);

  Simulation &Simulation_;
  ModelWorkers &Workers_;
  Nodes &Nodes_;
  Recorder Record_;
  RandomGenerator Random_;
  /// Rounds that have begun and not ended; orders are delayed while there are
  /// any.
  std::uint32_t ActiveRounds_ = 0;
};

} // namespace dragonflylock

#endif
