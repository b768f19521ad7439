#ifndef DRAGONFLYLOCK_EMULATOR_INTERNAL_IDLECAPACITYCHECKER_H
#define DRAGONFLYLOCK_EMULATOR_INTERNAL_IDLECAPACITYCHECKER_H

#include "global/iclock.h"
#include "scheduling/schedulingtypes.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace dragonflylock {

class FaultInjector;
class InvariantChecker;
class ModelWorkers;
class Simulation;
struct ObservedJob;

/// Reports accepted jobs that have nothing running for 3 s while a task's turn
/// has come, there is capacity for it twice over, and less than half of the
/// pool's capacity is in use. Only time without faults nearby counts.
class IdleCapacityChecker {
public:
  IdleCapacityChecker(Simulation &Sim, InvariantChecker &Checker,
                      ModelWorkers &Workers, const FaultInjector &Faults)
      : Simulation_(Sim), Checker_(Checker), Workers_(Workers),
        Faults_(Faults) {}

  /// Checks all jobs now and again at intervals.
  void check();

private:
  bool isHalfEmpty(const std::string &Pool) const;
  /// \returns the step of a task whose turn has come, if the job has nothing
  /// running.
  std::optional<std::uint32_t> waitingStep(const ObservedJob &Job,
                                           const std::string &Id) const;
  bool hasCapacityTwice(const std::string &Pool, const StepSpec &Step) const;

  Simulation &Simulation_;
  InvariantChecker &Checker_;
  ModelWorkers &Workers_;
  const FaultInjector &Faults_;
  /// By job: since when it has waited beside idle capacity.
  std::map<std::string, TimePoint> WaitingSince_;
  std::set<std::string> Reported_;
};

} // namespace dragonflylock

#endif
