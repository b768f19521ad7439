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
struct RoomNeed;

/// Finds workers of a pool for tasks that are to start. Works in rounds: the
/// workers are looked through once, and what is started is taken off their
/// room.
class WorkerChooser {
public:
  WorkerChooser(PoolState &Pool, AdviceCache &Advice)
      : Pool_(Pool), Advice_(Advice) {}

  /// Looks through the pool's workers; to be called before tasks are placed,
  /// and again once workers may have changed.
  void beginRound();
  /// Notes that a task was started.
  void onStarted(const WorkerSession &Session, const StepSpec &Step);
  /// \returns whether any worker has such room left.
  bool hasRoomFor(const RoomNeed &Need) const;
  /// \returns a worker for the task, or null where none may run it now.
  /// \param OnlyOnDataRack whether the worker must be where the data is.
  WorkerSession *choose(const ActiveJob &Job, const TaskName &Name,
                        bool OnlyOnDataRack = false);
  /// \returns whether a worker of the rack takes tasks.
  bool hasWorkerOn(const std::string &Rack) const;
  /// \returns a worker for each of a step's tasks, or nothing where they do
  /// not all fit now.
  /// \param OnOneRack whether all must be on the same rack.
  std::vector<WorkerSession *> chooseAll(const ActiveJob &Job,
                                         const std::vector<TaskName> &Names,
                                         bool OnOneRack);
  /// \returns whether all tasks would fit if the pool ran lasting tasks only.
  bool mayFitLater(const ActiveJob &Job, const std::vector<TaskName> &Names,
                   bool OnOneRack);

private:
  /// Workers that may be asked to run a step, with what placement needs.
  struct Choice {
    std::vector<PlacementCandidate> Candidates_;
    std::vector<WorkerSession *> Sessions_;
    /// Workers that the advice service has not been asked about.
    std::vector<WorkerSession *> Unasked_;
  };

  bool isUsable(const WorkerSession &Session) const;
  static void describe(const WorkerSession &Session,
                       PlacementCandidate &Candidate);
  /// Fills in what the round's candidates are to this task.
  /// \param MayEnd whether room counts that runs may leave; without it, workers
  ///   that have too little are barred.
  void fitTo(const ActiveJob &Job, const TaskName &Name, bool MayEnd = false);
  void noteLargest();
  /// Leaves only workers of a rack.
  static void keepRack(Choice &Among, const std::string &Rack);
  /// Leaves only workers with a ticket. Of the others, those with room come
  /// first, since not all can be asked in one call.
  void keepAllowed(Choice &Among, const StepSpec &Step,
                   const TaskName &Name) const;
  std::vector<WorkerSession *> placeAll(const StepSpec &Step, Choice Among,
                                        std::size_t Tasks) const;
  std::vector<WorkerSession *> placeOnOneRack(const StepSpec &Step,
                                              const Choice &Among,
                                              std::size_t Tasks) const;

  PoolState &Pool_;
  AdviceCache &Advice_;
  Choice Round_;
  /// The most room of each kind on any worker.
  Resources Largest_;
};

} // namespace dragonflylock

#endif
