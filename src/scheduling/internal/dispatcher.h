#ifndef DRAGONFLYLOCK_SCHEDULING_INTERNAL_DISPATCHER_H
#define DRAGONFLYLOCK_SCHEDULING_INTERNAL_DISPATCHER_H

#include "global/iclock.h"
#include "scheduling/concurrencylimiter.h"
#include "scheduling/internal/workerchooser.h"
#include "scheduling/workercalls.h"

#include <memory>
#include <string>
#include <vector>

namespace dragonflylock {

class ActiveJob;
class AdviceCache;
class RunTracker;
class WorkerSession;
struct StepRun;
struct PoolState;

/// Starts the tasks of a pool in the order of their jobs' urgency, and stops
/// runs that are no longer wanted.
class Dispatcher : public std::enable_shared_from_this<Dispatcher> {
public:
  Dispatcher(PoolState &Pool, RunTracker &Runs, AdviceCache &Advice)
      : Pool_(Pool), Runs_(Runs), Advice_(Advice), Chooser_(Pool, Advice) {}

  /// Starts as many waiting tasks as fit on the workers and as the limit on
  /// outstanding start orders admits.
  void dispatch();
  /// Sends stop orders for the runs of ended jobs, for further runs of tasks
  /// that are done, and for long-running tasks on draining workers.
  void stopUnwanted();
  /// Sends a stop order for a run.
  void stop(WorkerSession &Session, const TaskName &Name, RunNumber Run);
  /// \returns the number of start orders without a response.
  std::size_t outstandingStarts() const { return StartLimiter_.inFlight(); }
  /// \returns the maximum number of start orders without a response.
  std::size_t startLimit() const { return StartLimiter_.limit(); }
  /// Treats all runs of a worker that has gone down as ended.
  void releaseAllRuns(WorkerSession &Session);

private:
  /// \returns whether less urgent jobs may start tasks in this round as well.
  bool dispatchJob(ActiveJob &Job);
  /// Asks the limit of the job's customer for the start of \p Tasks tasks of
  /// the step of \p Name. A refusal is passed on to the scan.
  /// \returns whether they may start.
  bool isWithinLimit(const ActiveJob &Job, const TaskName &Name,
                     std::size_t Tasks);
  /// \returns whether the job leaves free resources to a gang, for which it is
  /// kept back for a limited time.
  bool isHeldBack(ActiveJob &Job) const;
  /// Starts a whole gang, or starts again the members that workers have
  /// refused.
  /// \returns whether less urgent jobs may start tasks in this round as well.
  bool dispatchGang(ActiveJob &Job, const std::vector<TaskName> &Waiting);
  bool startWholeGang(ActiveJob &Job, const std::vector<TaskName> &Members);
  void startMissingMembers(ActiveJob &Job,
                           const std::vector<TaskName> &Waiting);
  /// \returns whether the tasks of the step may still wait for their preferred
  /// rack: waiting must not take longer than the extra run time elsewhere.
  bool mayWaitForRack(const StepSpec &Step, const StepRun &StepState) const;
  /// \returns a worker for a task that does not belong to a gang, or null.
  WorkerSession *workerFor(ActiveJob &Job, const TaskName &Name);
  void start(ActiveJob &Job, const TaskName &Name, WorkerSession &Session,
             RunNumber Number);
  /// \returns a run number higher than those of all earlier runs of the task.
  RunNumber nextRunNumber(const ActiveJob &Job, const TaskName &Name) const;
  /// Called with the response to a start order that was sent at \p Sent.
  void onStarted(const std::string &Lifetime, const TaskName &Name,
                 RunNumber Run, TimePoint Sent, const OrderAnswer &Answer);
  void recordResponse(TimePoint Sent, OrderOutcome Outcome);
  /// \returns whether \p Starts more start orders may be sent now. If not, the
  /// rest of the round is postponed.
  bool admits(std::size_t Starts);
  void onStopped(const std::string &Lifetime, const TaskName &Name,
                 RunNumber Run, const OrderAnswer &Answer);
  void onStartRefused(WorkerSession &Session, const TaskName &Name,
                      OrderOutcome Outcome);
  bool isUnwanted(const WorkerSession &Session, const TaskName &Name);

  PoolState &Pool_;
  RunTracker &Runs_;
  AdviceCache &Advice_;
  WorkerChooser Chooser_;
  TimePoint NextStopScanAt_;
  ConcurrencyLimiter StartLimiter_;
  /// Stop orders have their own limit, so that starts and stops do not delay
  /// each other.
  ConcurrencyLimiter StopLimiter_;
  /// Whether the last dispatch round ended early at the limit on outstanding
  /// start orders.
  bool WasLimited_ = false;
  /// Whether resources are kept for a gang in this round.
  bool IsReserving_ = false;
};

} // namespace dragonflylock

#endif
