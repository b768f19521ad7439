#ifndef DRAGONFLYLOCK_EMULATOR_INTERNAL_PENDINGCOUNTCHECKER_H
#define DRAGONFLYLOCK_EMULATOR_INTERNAL_PENDINGCOUNTCHECKER_H

#include "global/iclock.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace dragonflylock {

class EmulatedNode;
class FaultInjector;
class InvariantChecker;
class Simulation;

/// Reports nodes that give a wrong number of pending jobs of a queue for 3 s.
/// Only time without faults nearby counts.
class PendingCountChecker {
public:
  using Nodes = std::vector<std::unique_ptr<EmulatedNode>>;

  /// \param Queues the queues to check.
  PendingCountChecker(Simulation &Sim, InvariantChecker &Checker,
                      const Nodes &AllNodes, const FaultInjector &Faults,
                      std::vector<std::string> Queues)
      : Simulation_(Sim), Checker_(Checker), Nodes_(AllNodes), Faults_(Faults),
        Queues_(std::move(Queues)) {}

  /// Checks all nodes now and again at intervals.
  void check();

private:
  /// The smallest and the largest true number of pending jobs at one time. They
  /// differ by the jobs of which callers don't know whether they are stored or
  /// cancelled.
  struct Range {
    TimePoint At_;
    std::uint64_t Min_ = 0;
    std::uint64_t Max_ = 0;
  };

  void count(const std::string &Queue);
  /// \returns whether \p Count was true at a time that a count may date from.
  bool isPlausible(const std::string &Queue, std::uint64_t Count) const;

  Simulation &Simulation_;
  InvariantChecker &Checker_;
  const Nodes &Nodes_;
  const FaultInjector &Faults_;
  std::vector<std::string> Queues_;
  /// By queue: the true numbers of the last seconds, oldest first.
  std::map<std::string, std::deque<Range>> Counts_;
  /// By node and queue: since when the number has been wrong.
  std::map<std::pair<std::string, std::string>, TimePoint> WrongSince_;
};

} // namespace dragonflylock

#endif
