#ifndef DRAGONFLYLOCK_SCHEDULING_INTERNAL_WORKERCHOOSER_H
#define DRAGONFLYLOCK_SCHEDULING_INTERNAL_WORKERCHOOSER_H

#include "scheduling/placement.h"
#include "scheduling/schedulingtypes.h"

#include <string>
#include <vector>

namespace dragonflylock {

class ActiveJob;
class AdviceCache;
class WorkerSession;
struct PoolState;
struct WorkerRequirements;

/// Selects workers of a pool for tasks that are to start. Works in rounds:
/// beginRound reads the state of the workers once, and each start is then
/// deducted from their free resources.
class WorkerChooser {
public:
  WorkerChooser(PoolState &Pool, AdviceCache &Advice)
      : Pool_(Pool), Advice_(Advice) {}

  /// \returns whether the worker may get start orders now.
  static bool isUsable(const WorkerSession &Session, const PoolState &Pool);
  /// Reads the state of the pool's workers. Called before tasks are placed, and
  /// again when workers may have changed.
  void beginRound();
  /// Deducts a started task from the free resources of its worker.
  void onStarted(const WorkerSession &Session, const StepSpec &Step);
  /// \returns whether any worker meets the requirements with the resources that
  /// are left.
  bool hasResourcesFor(const WorkerRequirements &Need) const;
  /// \returns a worker for the task, or null if no worker may run it now.
  /// \param OnlyOnDataRack whether the worker must be on the rack that holds
  /// the data of the step.
  WorkerSession *choose(const ActiveJob &Job, const TaskName &Name,
                        bool OnlyOnDataRack = false);
  /// \returns whether a usable worker of this round is on the rack.
  bool hasWorkerOnRack(const std::string &Rack) const;
  /// \returns a worker for each of a step's tasks, or nothing if they do not
  /// all fit now.
  /// \param OnOneRack whether all workers must be on the same rack.
  std::vector<WorkerSession *> chooseAll(const ActiveJob &Job,
                                         const std::vector<TaskName> &Names,
                                         bool OnOneRack);
  /// \returns whether all tasks would fit if the pool ran nothing but
  /// long-running tasks.
  bool couldFitLater(const ActiveJob &Job, const std::vector<TaskName> &Names,
                     bool OnOneRack);

private:
  /// Candidate workers for a step, with the data that placement needs.
  struct CandidateSet {
    std::vector<PlacementCandidate> Candidates_;
    std::vector<WorkerSession *> Sessions_;
    /// Workers about which the advice service has not been asked yet.
    std::vector<WorkerSession *> WithoutAdvice_;
  };

  static void updateCandidate(const WorkerSession &Session,
                              PlacementCandidate &Candidate);
  /// Updates the fields of the round's candidates that depend on the task.
  /// \param CountsRunningTasks whether resources in use by runs that may end
  /// count as well. If not, workers with too few free resources are excluded.
  void evaluateFor(const ActiveJob &Job, const TaskName &Name,
                   bool CountsRunningTasks = false);
  void updateMaxFree();
  /// Keeps only the workers on a rack.
  static void filterByRack(CandidateSet &Set, const std::string &Rack);
  /// Keeps only workers for which there is a ticket. Among those that have not
  /// been asked about, workers with enough free resources come first, because
  /// one call to the advice service cannot name them all.
  void filterByAdvice(CandidateSet &Set, const StepSpec &Step,
                      const TaskName &Name) const;
  std::vector<WorkerSession *> placeAll(const StepSpec &Step, CandidateSet Set,
                                        std::size_t Tasks) const;
  std::vector<WorkerSession *> placeOnOneRack(const StepSpec &Step,
                                              const CandidateSet &Set,
                                              std::size_t Tasks) const;

  PoolState &Pool_;
  AdviceCache &Advice_;
  CandidateSet Round_;
  /// For each kind of resource, the most that is free on any worker.
  Resources MaxFree_;
};

} // namespace dragonflylock

#endif
