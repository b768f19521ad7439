#ifndef DRAGONFLYLOCK_SCHEDULING_INTERNAL_DISPATCHER_H
#define DRAGONFLYLOCK_SCHEDULING_INTERNAL_DISPATCHER_H

#include "global/iclock.h"
#include "scheduling/internal/workerchooser.h"
#include "scheduling/startwindow.h"
#include "scheduling/workercalls.h"

#include <memory>
#include <string>
#include <vector>

namespace dragonflylock {

class ActiveJob;
class AdviceCache;
class RunBook;
class WorkerSession;
struct StepRun;
struct PoolState;

/// Starts the tasks of a pool in the order of their jobs' urgency, and stops
/// runs that should not go on.
class Dispatcher : public std::enable_shared_from_this<Dispatcher> {
public:
  Dispatcher(PoolState &Pool, RunBook &Runs, AdviceCache &Advice)
      : Pool_(Pool), Runs_(Runs), Advice_(Advice), Chooser_(Pool, Advice) {}

  /// Starts what fits.
  void dispatch();
  /// Stops the runs of ended jobs, copies of done tasks, and lasting tasks on
  /// workers that leave.
  void stopUnwanted();
  /// Orders a run to stop.
  void stop(WorkerSession &Session, const TaskName &Name, RunNumber Run);
  /// Takes all runs of a worker that has gone down as ended.
  void abandon(WorkerSession &Session);

private:
  /// \returns whether less urgent jobs may start tasks as well.
  bool dispatchJob(ActiveJob &Job);
  /// Starts a gang as a whole, or completes one of which a worker has refused
  /// a member.
  /// \returns whether less urgent jobs may start tasks as well.
  bool dispatchGang(ActiveJob &Job, const std::vector<TaskName> &Waiting);
  bool startGang(ActiveJob &Job, const std::vector<TaskName> &Members);
  void completeGang(ActiveJob &Job, const std::vector<TaskName> &Waiting);
  /// \returns whether the step's tasks may still wait for a rack of their
  /// choice, given how much longer they run elsewhere.
  bool mayWaitForRack(const StepSpec &Step, const StepRun &Shared) const;
  /// \returns a worker for a task that is not of a gang, or null.
  WorkerSession *workerFor(ActiveJob &Job, const TaskName &Name);
  void start(ActiveJob &Job, const TaskName &Name, WorkerSession &Session,
             RunNumber Number);
  /// \returns a number above those of all earlier runs of the task.
  RunNumber nextRun(const ActiveJob &Job, const TaskName &Name) const;
  /// Takes the answer to a start that was sent at \p Sent.
  void onStarted(const std::string &Lifetime, const TaskName &Name,
                 RunNumber Run, TimePoint Sent, const OrderAnswer &Answer);
  void noteAnswered(TimePoint Sent, OrderOutcome Outcome);
  /// \returns whether \p Starts more may be sent now; the rest of the round
  ///   is left for later otherwise.
  bool admits(std::size_t Starts);
  void onStopped(const std::string &Lifetime, const TaskName &Name,
                 RunNumber Run, const OrderAnswer &Answer);
  void onStartRefused(WorkerSession &Session, const TaskName &Name,
                      OrderOutcome Outcome);
  bool isUnwanted(const WorkerSession &Session, const TaskName &Name);

  PoolState &Pool_;
  RunBook &Runs_;
  AdviceCache &Advice_;
  WorkerChooser Chooser_;
  TimePoint NextStopLook_;
  StartWindow Window_;
  /// Stops have one of their own, so that neither waits for the other.
  StartWindow StopWindow_;
  /// Whether the last round was left for want of answers.
  bool IsHeldBack_ = false;
};

} // namespace dragonflylock

#endif
