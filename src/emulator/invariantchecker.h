#ifndef DRAGONFLYLOCK_EMULATOR_INVARIANTCHECKER_H
#define DRAGONFLYLOCK_EMULATOR_INVARIANTCHECKER_H

#include "scheduling/machinetypes.h"
#include "scheduling/schedulingtypes.h"
#include "scheduling/workercalls.h"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

namespace dragonflylock {

class Simulation;

/// What callers and workers have seen of one job.
struct ObservedJob {
  JobSpec Spec_;
  std::string Pool_;
  /// Whether starts must carry a ticket.
  bool NeedsAdvice_ = false;
  bool IsAccepted_ = false;
  /// Whether some attempt to hand it in got an answer other than a refusal.
  bool MayBeAccepted_ = false;
  bool WasReportedCompleted_ = false;
  bool WasReportedFailed_ = false;
  TimePoint CancelledAt_;
  /// Whether a cancellation got no answer.
  bool MayBeCancelled_ = false;
  /// Tasks whose run ended as done.
  std::set<TaskName> CompletedTasks_;
  /// When the end of a done task was acknowledged.
  std::map<TaskName, TimePoint> AcknowledgedAt_;
  std::map<TaskName, std::set<RunNumber>> Failures_;
  std::map<TaskName, std::set<RunNumber>> AcknowledgedFailures_;
  /// When each task started last.
  std::map<TaskName, TimePoint> StartedAt_;
  /// Serving tasks that an order took away; they count as away until they
  /// work again.
  std::set<TaskName> DisruptedTasks_;
  /// Workers on which each task runs now.
  std::map<TaskName, std::multiset<std::string>> Running_;
};

/// What the platform has seen of a machine and a maintenance wave.
struct ObservedMachine {
  std::string Holder_;
  FencingToken Token_ = 0;
  TimePoint OrderedAt_;
  /// Waves for which the machine was maintained.
  std::set<std::uint64_t> MaintainedForWaves_;
  TimePoint DownUntil_;
};

/// Checks what must always hold, from what callers and workers see.
class InvariantChecker {
public:
  explicit InvariantChecker(Simulation &Sim) : Simulation_(Sim) {}

  ObservedJob &job(const std::string &Id) { return Jobs_[Id]; }
  const std::map<std::string, ObservedJob> &jobs() const { return Jobs_; }
  /// Whether the day has no faults.
  bool HasNoDisruptions_ = false;
  /// Failed runs of a task after which it must not start again.
  std::uint32_t MostAttempts_ = 4;

  void onStart(const WorkerEntry &Worker, const TaskName &Task,
               const std::string &Payload);
  void onEnd(const std::string &Worker, const TaskName &Task, RunNumber Run,
             EndKind Kind);
  /// The worker was told to forget the end of a run.
  void onEndAcknowledged(const TaskName &Task, RunNumber Run, EndKind Kind);
  /// A member of a gang waited in vain for the others.
  void onGangIncomplete(const TaskName &Task);
  void onAccepted(const std::string &Id);
  void onStateReported(const std::string &Id, JobPhase State);
  /// Checks that orders for a machine come from one node at a time.
  void checkOrderHolder(const MachineOrder &Order);
  /// Carries out a maintenance order by \p TakeDown, unless it has been.
  /// \param TakeDown returns whether the machine was up and has gone down.
  MachineOutcome
  onMaintenance(const MachineOrder &Order, std::uint64_t Wave,
                const std::function<bool(const std::string &)> &TakeDown);
  /// Checks that an order that ends \p Ended at once keeps the budgets.
  void checkBudgets(const std::set<TaskName> &Ended);
  /// Machines that may be down for a wave at the same time.
  std::uint32_t MaxMachinesDown_ = 1;
  /// Checks that every accepted job has ended.
  void checkAllJobsEnded();
  /// \returns the number of jobs that were shown as completed.
  std::size_t completedCount() const;

private:
  bool mayHaveFailed(const ObservedJob &Job) const;
  /// \returns failed runs that count for the task: its own, or those of all
  /// members of its gang.
  static std::set<RunNumber>
  failuresOf(const ObservedJob &Job, const TaskName &Task,
             const std::map<TaskName, std::set<RunNumber>> &Failures);
  void checkStepOrder(const ObservedJob &Job, const TaskName &Task);
  void checkDuplicateStart(const ObservedJob &Job, const TaskName &Task);

  Simulation &Simulation_;
  std::map<std::string, ObservedJob> Jobs_;
  std::map<std::string, ObservedMachine> Machines_;
};

} // namespace dragonflylock

#endif
