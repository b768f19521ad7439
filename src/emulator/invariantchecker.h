#ifndef DRAGONFLYLOCK_EMULATOR_INVARIANTCHECKER_H
#define DRAGONFLYLOCK_EMULATOR_INVARIANTCHECKER_H

#include "scheduling/machinetypes.h"
#include "scheduling/schedulingtypes.h"
#include "scheduling/workercalls.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace dragonflylock {

class Simulation;

/// One job as its callers and the workers have observed it.
struct ObservedJob {
  JobSpec Spec_;
  std::string Queue_;
  std::string Pool_;
  /// Whether starts must carry a ticket.
  bool NeedsAdvice_ = false;
  bool IsAccepted_ = false;
  /// Number of attempts to submit the job that were not refused (or not yet).
  /// The job may be stored while there are any.
  std::uint32_t UnrefusedSubmissions_ = 0;
  bool WasReportedCompleted_ = false;
  bool WasReportedFailed_ = false;
  TimePoint CancelledAt_;
  /// Number of cancellations without a definite response. One of them may be
  /// stored.
  std::uint32_t UnsettledCancellations_ = 0;
  /// Tasks of which a run ended as done.
  std::set<TaskName> CompletedTasks_;
  /// When the scheduler first acknowledged the end of a done task. The end of a
  /// member of a gang counts for all.
  std::map<TaskName, TimePoint> AcknowledgedAt_;
  /// Number of starts of each task.
  std::map<TaskName, std::uint32_t> Starts_;
  /// For each run that ended as done, by lifetime of the worker: the starts of
  /// the task, or of all members of its gang, up to then.
  std::map<std::pair<TaskName, std::string>, std::map<RunNumber, std::uint32_t>>
      StartsBeforeDone_;
  /// When the job was first reported to a caller as completed.
  TimePoint CompletedAt_;
  std::map<TaskName, std::set<RunNumber>> Failures_;
  std::map<TaskName, std::set<RunNumber>> AcknowledgedFailures_;
  /// The task that crashes each worker that starts it, if there is one.
  std::optional<TaskName> DeadlyTask_;
  /// Number of workers that crashed while they ran the task.
  std::map<TaskName, std::uint32_t> Crashes_;
  /// Number of starts of the deadly task after MaxCrashes crashes.
  std::uint32_t StartsAfterCrashes_ = 0;
  /// When each task was last started.
  std::map<TaskName, TimePoint> StartedAt_;
  /// Tasks with a disruption budget that a machine order ended; each counts as
  /// disrupted until it runs at full speed again.
  std::set<TaskName> DisruptedTasks_;
  /// Lifetimes of the workers on which each task runs now.
  std::map<TaskName, std::multiset<std::string>> Running_;
};

/// Orders and maintenance of one machine as the platform has observed them.
struct ObservedMachine {
  std::string Holder_;
  FencingToken Token_ = 0;
  TimePoint OrderedAt_;
  /// Waves for which the machine was maintained.
  std::set<std::uint64_t> MaintainedForWaves_;
  TimePoint DownUntil_;
  /// The wave for which it is or was down last.
  std::uint64_t DownForWave_ = 0;
};

/// Checks the invariants of the scheduler against what callers, workers and the
/// platform observe, and reports each violation to the simulation.
class InvariantChecker {
public:
  explicit InvariantChecker(Simulation &Sim) : Simulation_(Sim) {}

  ObservedJob &job(const std::string &Id) { return Jobs_[Id]; }
  const std::map<std::string, ObservedJob> &jobs() const { return Jobs_; }
  /// Whether the emulation has neither random faults nor a maintenance wave;
  /// only then is an incomplete gang a violation.
  bool HasNoDisruptions_ = false;
  /// \returns whether no fault is active or has been shortly before; some rules
  /// hold only then.
  std::function<bool()> IsCalm_ = [] { return true; };
  /// Number of failed runs after which a task must not start again.
  std::uint32_t MaxFailedRuns_ = 4;

  /// Called when a worker crashes while it runs the task.
  void onCrash(const TaskName &Task) { ++Jobs_[Task.Job_].Crashes_[Task]; }
  /// \param OrderedAt when the order was sent, which may be carried out late.
  void onStart(const WorkerEntry &Worker, const TaskName &Task,
               const std::string &Payload, TimePoint OrderedAt);
  void onEnd(const std::string &Worker, const TaskName &Task, RunNumber Run,
             EndKind Kind);
  /// Called when the scheduler acknowledges the end of a run to the worker, if
  /// the lease of the worker has not expired in between.
  void onEndAcknowledged(const std::string &Worker, const TaskName &Task,
                         RunNumber Run, EndKind Kind);
  /// Called when a member of a gang has timed out waiting for the others.
  void onGangIncomplete(const TaskName &Task);
  /// Called for each attempt to submit the job \p Id that a caller sends.
  void onSubmitted(const std::string &Id);
  /// Called when one of the attempts to submit the job \p Id was refused. A job
  /// that has started must not be left without an unrefused attempt.
  void onRefused(const std::string &Id);
  void onAccepted(const std::string &Id);
  /// Called for each cancellation of the job \p Id that a caller sends.
  void onCancellationSent(const std::string &Id);
  /// Called when a cancellation of the job \p Id has had a definite response.
  /// \param IsCancelled whether the response acknowledges the cancellation.
  void onCancellationSettled(const std::string &Id, bool IsCancelled);
  void onStateReported(const std::string &Id, JobPhase State);
  /// Checks that nodes don't send conflicting orders for a machine: an older
  /// fencing token, the token of another holder, or an order within the lease
  /// time of another holder.
  void checkOrderHolder(const MachineOrder &Order);
  /// Executes a maintenance order with \p TakeDown, unless the machine has been
  /// maintained for this wave.
  /// \param TakeDown returns whether the machine was up and has gone down.
  MachineOutcome
  onMaintenance(const MachineOrder &Order, std::uint64_t Wave,
                const std::function<bool(const std::string &)> &TakeDown);
  /// Checks that an order that ends the tasks \p Ended together respects their
  /// disruption budgets.
  void checkBudgets(const std::set<TaskName> &Ended);
  /// By wave: number of machines that may be down for it at the same time.
  std::map<std::uint64_t, std::uint32_t> MaxMachinesDown_;
  /// Checks that every accepted job that can't have been cancelled was reported
  /// as ended or, if it has long-running tasks, that all of them run.
  void checkAllJobsEnded();
  /// \returns the number of jobs that were reported to callers as completed.
  std::size_t completedCount() const;

private:
  bool mayHaveFailed(const ObservedJob &Job) const;
  /// \returns the failed runs that count for the task: its own and, in a gang,
  /// those of all members.
  static std::set<RunNumber>
  failuresOf(const ObservedJob &Job, const TaskName &Task,
             const std::map<TaskName, std::set<RunNumber>> &Failures);
  void checkStepOrder(const ObservedJob &Job, const TaskName &Task);
  void checkPlacement(const ObservedJob &Job, const TaskName &Task,
                      const WorkerEntry &Worker);
  void checkDueTime(const ObservedJob &Job, const TaskName &Task);
  void checkDuplicateStart(const ObservedJob &Job, const TaskName &Task,
                           TimePoint OrderedAt);
  /// \returns the number of starts of the task or, if it is a member of a gang,
  /// of all members.
  static std::uint32_t startsOf(const ObservedJob &Job, const TaskName &Task);

  Simulation &Simulation_;
  std::map<std::string, ObservedJob> Jobs_;
  std::map<std::string, ObservedMachine> Machines_;
};

} // namespace dragonflylock

#endif
