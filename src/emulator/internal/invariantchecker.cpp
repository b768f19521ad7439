#include "emulator/invariantchecker.h"
#include "emulator/simulation.h"

#include <algorithm>

namespace dragonflylock {
namespace {

/// Time after the acknowledgement of a cancellation in which starts of the
/// job's tasks may still be ordered.
constexpr std::chrono::milliseconds MaxStartDelayAfterCancel{3000};
/// Time after the acknowledgement of a task's end in which a duplicate of the
/// task may still start.
constexpr std::chrono::milliseconds MaxCopyDelayAfterEnd{1000};
/// Time from the start of a long-running task until it works at full speed.
constexpr std::chrono::milliseconds LongRunningStartup{900};
constexpr std::chrono::milliseconds MaintenanceDuration{2000};
/// Time before its due time at which a task may start.
constexpr std::chrono::milliseconds MaxEarlyStart{250};
/// Minimum time between orders of two nodes for one machine.
constexpr std::chrono::milliseconds MinHolderChangeInterval{3000};

/// Crashes under a task after which its job may be given up.
constexpr std::uint32_t MinCrashesToGiveUp = 2;
/// Crashes under a task after which it may be started fewer than
/// MaxStartsAfterCrashes times more.
constexpr std::uint32_t MaxCrashes = 3;
constexpr std::uint32_t MaxStartsAfterCrashes = 3;

} // namespace

void InvariantChecker::onStart(const WorkerEntry &Worker, const TaskName &Task,
                               const std::string &Payload,
                               TimePoint OrderedAt) {
  auto Found = Jobs_.find(Task.Job_);
  if (Found == Jobs_.end() || Payload != Found->second.Spec_.Payload_) {
    Simulation_.reportViolation(
        "UNASKED", Task.text() + " does not match any submitted job");
    return;
  }
  ObservedJob &Job = Found->second;
  if (Job.UnrefusedSubmissions_ == 0)
    Simulation_.reportViolation(
        "REFUSED", Task.text() + " starts although all attempts to "
                                 "submit its job were refused");
  if (Job.Pool_ != Worker.Pool_)
    Simulation_.reportViolation("ROUTE", Task.text() + " starts in pool " +
                                             Worker.Pool_);
  bool IsCancelled = Job.CancelledAt_ != TimePoint() &&
                     OrderedAt > Job.CancelledAt_ + MaxStartDelayAfterCancel;
  if (IsCancelled)
    Simulation_.reportViolation("UNASKED",
                                Task.text() + " starts after its cancellation");
  if (failuresOf(Job, Task, Job.AcknowledgedFailures_).size() >= MaxFailedRuns_)
    Simulation_.reportViolation(
        "BUDGET", Task.text() + " starts after its last allowed attempt");
  if (Job.DeadlyTask_ == Task && Job.Crashes_[Task] >= MaxCrashes &&
      IsCalm_() && ++Job.StartsAfterCrashes_ == MaxStartsAfterCrashes)
    Simulation_.reportViolation(
        "BUDGET", Task.text() + " goes on crashing the workers that start it");
  checkStepOrder(Job, Task);
  checkDueTime(Job, Task);
  checkPlacement(Job, Task, Worker);
  checkDuplicateStart(Job, Task, OrderedAt);
  ++Job.Starts_[Task];
  Job.StartedAt_[Task] = Simulation_.now();
  Job.Running_[Task].insert(Worker.lifetime());
}

void InvariantChecker::checkStepOrder(const ObservedJob &Job,
                                      const TaskName &Task) {
  for (std::uint32_t Earlier : Job.Spec_.Steps_[Task.Step_].After_)
    for (std::uint32_t Index = 0; Index < Job.Spec_.Steps_[Earlier].TaskCount_;
         ++Index)
      if (!Job.CompletedTasks_.contains(
              {Task.Job_, Task.Occurrence_, Earlier, Index})) {
        Simulation_.reportViolation("ORDER",
                                    Task.text() + " starts before step " +
                                        std::to_string(Earlier) + " has ended");
        return;
      }
}

void InvariantChecker::checkDueTime(const ObservedJob &Job,
                                    const TaskName &Task) {
  std::chrono::milliseconds Wall(millisecondsSinceEpoch(Simulation_.wallNow()));
  if (Job.Spec_.OccurrenceCount_ > 0 &&
      Wall + MaxEarlyStart <
          Job.Spec_.FirstDue_ + Task.Occurrence_ * Job.Spec_.Interval_)
    Simulation_.reportViolation("ORDER", Task.text() + " starts too early");
}

void InvariantChecker::checkPlacement(const ObservedJob &Job,
                                      const TaskName &Task,
                                      const WorkerEntry &Worker) {
  const StepSpec &Step = Job.Spec_.Steps_[Task.Step_];
  const auto &Labels = Worker.Labels_;
  if (!Step.RequiredLabel_.empty() &&
      std::find(Labels.begin(), Labels.end(), Step.RequiredLabel_) ==
          Labels.end())
    Simulation_.reportViolation("ROUTE", Task.text() + " starts on " +
                                             Worker.Id_ + " without its label");
  std::uint32_t OnSameWorker = 0;
  for (const auto &[Other, Workers] : Job.Running_)
    if (Other.Step_ == Task.Step_ && Other.Occurrence_ == Task.Occurrence_ &&
        Workers.contains(Worker.lifetime()))
      ++OnSameWorker;
  if (Step.MaxPerWorker_ > 0 && OnSameWorker >= Step.MaxPerWorker_)
    Simulation_.reportViolation("ROUTE", Task.text() + " joins " +
                                             std::to_string(OnSameWorker) +
                                             " of its step on " + Worker.Id_);
}

void InvariantChecker::checkDuplicateStart(const ObservedJob &Job,
                                           const TaskName &Task,
                                           TimePoint OrderedAt) {
  const StepSpec &Step = Job.Spec_.Steps_[Task.Step_];
  if (Job.CompletedAt_ != TimePoint() &&
      OrderedAt > Job.CompletedAt_ + MaxCopyDelayAfterEnd)
    Simulation_.reportViolation(
        "TWICE", Task.text() + " starts after its job was completed");
  auto Acknowledged = Job.AcknowledgedAt_.find(Task);
  // The rule on copies concerns what a node orders, not how late a worker
  // carries it out.
  bool IsAllowed = Acknowledged == Job.AcknowledgedAt_.end() ||
                   (Step.AllowsDuplicates_ &&
                    OrderedAt <= Acknowledged->second + MaxCopyDelayAfterEnd);
  if (!IsAllowed)
    Simulation_.reportViolation(
        "TWICE", Task.text() + (Step.AllowsDuplicates_ ? " (a copy)" : "") +
                     " starts after its end was acknowledged");
  if (Step.AllowsDuplicates_)
    return;
  auto Running = Job.Running_.find(Task);
  if (Running != Job.Running_.end() && !Running->second.empty())
    Simulation_.reportViolation("TWICE", Task.text() +
                                             " starts while it still runs on " +
                                             *Running->second.begin());
}

void InvariantChecker::onEnd(const std::string &Worker, const TaskName &Task,
                             RunNumber Run, EndKind Kind) {
  ObservedJob &Job = Jobs_[Task.Job_];
  auto &Running = Job.Running_[Task];
  auto Found = Running.find(Worker);
  if (Found != Running.end())
    Running.erase(Found);
  if (Kind == EndKind::Done) {
    Job.CompletedTasks_.insert(Task);
    Job.StartsBeforeDone_[{Task, Worker}][Run] = startsOf(Job, Task);
  }
  if (Kind == EndKind::Failed)
    Job.Failures_[Task].insert(Run);
}

std::uint32_t InvariantChecker::startsOf(const ObservedJob &Job,
                                         const TaskName &Task) {
  bool IsGang = Job.Spec_.Steps_[Task.Step_].IsGang_;
  std::uint32_t Starts = 0;
  for (const auto &[Other, Count] : Job.Starts_) {
    bool IsMember = IsGang && Other.Step_ == Task.Step_ &&
                    Other.Occurrence_ == Task.Occurrence_;
    Starts += Other == Task || IsMember ? Count : 0;
  }
  return Starts;
}

void InvariantChecker::onEndAcknowledged(const std::string &Worker,
                                         const TaskName &Task, RunNumber Run,
                                         EndKind Kind) {
  ObservedJob &Job = Jobs_[Task.Job_];
  const StepSpec &Step = Job.Spec_.Steps_[Task.Step_];
  if (Step.IsLongRunning_)
    return;
  if (Kind == EndKind::Done) {
    TaskName First = Task;
    TaskName Last = Task;
    if (Step.IsGang_) {
      First.Index_ = 0;
      Last.Index_ = Step.TaskCount_ - 1;
    }
    for (TaskName Each = First; Each.Index_ <= Last.Index_; ++Each.Index_)
      Job.AcknowledgedAt_.emplace(Each, Simulation_.now());
    if (!Step.AllowsDuplicates_ &&
        Job.StartsBeforeDone_[{Task, Worker}][Run] < startsOf(Job, Task))
      Simulation_.reportViolation(
          "TWICE", Task.text() + " has started after its end on " + Worker +
                       ", which is acknowledged now");
  }
  if (Kind == EndKind::Failed)
    Job.AcknowledgedFailures_[Task].insert(Run);
}

void InvariantChecker::onSubmitted(const std::string &Id) {
  ++Jobs_[Id].UnrefusedSubmissions_;
}

void InvariantChecker::onRefused(const std::string &Id) {
  ObservedJob &Job = Jobs_[Id];
  --Job.UnrefusedSubmissions_;
  if (Job.UnrefusedSubmissions_ == 0 && !Job.StartedAt_.empty())
    Simulation_.reportViolation(
        "REFUSED", Id + " has started although all attempts to submit it were "
                        "refused");
}

void InvariantChecker::onAccepted(const std::string &Id) {
  Jobs_[Id].IsAccepted_ = true;
}

void InvariantChecker::onCancellationSent(const std::string &Id) {
  ++Jobs_[Id].UnsettledCancellations_;
}

void InvariantChecker::onCancellationSettled(const std::string &Id,
                                             bool IsCancelled) {
  ObservedJob &Job = Jobs_[Id];
  --Job.UnsettledCancellations_;
  if (IsCancelled && Job.CancelledAt_ == TimePoint())
    Job.CancelledAt_ = Simulation_.now();
}

void InvariantChecker::onStateReported(const std::string &Id, JobPhase State) {
  ObservedJob &Job = Jobs_[Id];
  if (State == JobPhase::Failed)
    Job.WasReportedFailed_ = true;
  if (State == JobPhase::Failed && !mayHaveFailed(Job))
    Simulation_.reportViolation("LOST",
                                Id + " is reported as failed without cause");
  if (State != JobPhase::Completed)
    return;
  Job.WasReportedCompleted_ = true;
  if (Job.CompletedAt_ == TimePoint())
    Job.CompletedAt_ = Simulation_.now();
  std::size_t Tasks = 0;
  for (const StepSpec &Step : Job.Spec_.Steps_)
    Tasks += std::size_t{Step.TaskCount_} * Job.Spec_.occurrences();
  if (Job.CompletedTasks_.size() < Tasks)
    Simulation_.reportViolation(
        "MIXED", Id + " is reported as completed before all of its tasks");
}

void InvariantChecker::checkOrderHolder(const MachineOrder &Order) {
  ObservedMachine &Record = Machines_[Order.Machine_];
  bool IsOther = !Record.Holder_.empty() && Record.Holder_ != Order.Holder_;
  bool OrdersOverlap =
      IsOther &&
      Simulation_.now() < Record.OrderedAt_ + MinHolderChangeInterval;
  if (Order.Token_ < Record.Token_ ||
      (Order.Token_ == Record.Token_ && IsOther) || OrdersOverlap)
    Simulation_.reportViolation(
        "ONE", Order.Machine_ + " is ordered by " + Order.Holder_ +
                   " out of turn: stale token or lease of another holder");
  Record.Holder_ = Order.Holder_;
  Record.Token_ = std::max(Record.Token_, Order.Token_);
  Record.OrderedAt_ = Simulation_.now();
}

MachineOutcome InvariantChecker::onMaintenance(
    const MachineOrder &Order, std::uint64_t Wave,
    const std::function<bool(const std::string &)> &TakeDown) {
  checkOrderHolder(Order);
  ObservedMachine &Record = Machines_[Order.Machine_];
  if (Record.MaintainedForWaves_.contains(Wave))
    return MachineOutcome::Accepted;
  auto Down = std::count_if(Machines_.begin(), Machines_.end(),
                            [this, Wave](const auto &Each) {
                              return Each.second.DownForWave_ == Wave &&
                                     Each.second.DownUntil_ > Simulation_.now();
                            });
  if (!TakeDown(Order.Machine_))
    return MachineOutcome::Busy;
  if (Down >= MaxMachinesDown_[Wave])
    Simulation_.reportViolation(
        "LIMIT", Order.Machine_ + " goes down for a wave while " +
                     std::to_string(Down) + " others are down");
  Record.MaintainedForWaves_.insert(Wave);
  Record.DownUntil_ = Simulation_.now() + MaintenanceDuration;
  Record.DownForWave_ = Wave;
  return MachineOutcome::Accepted;
}

void InvariantChecker::checkBudgets(const std::set<TaskName> &Ended) {
  for (const TaskName &Task : Ended) {
    ObservedJob &Job = Jobs_[Task.Job_];
    const StepSpec &Step = Job.Spec_.Steps_[Task.Step_];
    if (!Step.DisruptionBudget_ || Job.CancelledAt_ != TimePoint())
      continue;
    std::erase_if(Job.DisruptedTasks_, [&](const TaskName &Other) {
      return !Job.Running_[Other].empty() &&
             Job.StartedAt_[Other] + LongRunningStartup <= Simulation_.now();
    });
    Job.DisruptedTasks_.insert(Task);
    if (Job.DisruptedTasks_.size() > *Step.DisruptionBudget_)
      Simulation_.reportViolation(
          "AVAIL",
          Task.text() +
              " is ended, which exceeds the disruption budget of its step");
  }
}

std::set<RunNumber> InvariantChecker::failuresOf(
    const ObservedJob &Job, const TaskName &Task,
    const std::map<TaskName, std::set<RunNumber>> &Failures) {
  std::set<RunNumber> Counted;
  const StepSpec &Step = Job.Spec_.Steps_[Task.Step_];
  for (const auto &[Other, Runs] : Failures) {
    bool IsMember = Step.IsGang_ && Other.Step_ == Task.Step_ &&
                    Other.Occurrence_ == Task.Occurrence_;
    if (Other == Task || IsMember)
      Counted.insert(Runs.begin(), Runs.end());
  }
  return Counted;
}

void InvariantChecker::onGangIncomplete(const TaskName &Task) {
  if (HasNoDisruptions_ && Jobs_[Task.Job_].CancelledAt_ == TimePoint())
    Simulation_.reportViolation(
        "GANG", Task.text() + " waited for its gang until the time-out");
}

bool InvariantChecker::mayHaveFailed(const ObservedJob &Job) const {
  bool HasCrashed = std::any_of(
      Job.Crashes_.begin(), Job.Crashes_.end(),
      [](const auto &Each) { return Each.second >= MinCrashesToGiveUp; });
  return HasCrashed ||
         std::any_of(
             Job.Failures_.begin(), Job.Failures_.end(), [&](const auto &Each) {
               return failuresOf(Job, Each.first, Job.Failures_).size() >=
                      MaxFailedRuns_;
             });
}

void InvariantChecker::checkAllJobsEnded() {
  for (const auto &[Id, Job] : Jobs_) {
    bool IsLongRunning =
        std::any_of(Job.Spec_.Steps_.begin(), Job.Spec_.Steps_.end(),
                    [](const StepSpec &Step) { return Step.IsLongRunning_; });
    bool MustComplete = Job.IsAccepted_ && !Job.DeadlyTask_ &&
                        Job.UnsettledCancellations_ == 0 &&
                        Job.CancelledAt_ == TimePoint();
    bool IsGivenUp = Job.WasReportedFailed_ && mayHaveFailed(Job);
    if (MustComplete && IsLongRunning && !IsGivenUp) {
      std::size_t Running = 0;
      for (const auto &[Task, Workers] : Job.Running_)
        Running += Workers.empty() ? 0 : 1;
      if (Running < Job.Spec_.Steps_[0].TaskCount_)
        Simulation_.reportViolation(
            "LOST", Id + " has long-running tasks that do not run");
    }
    if (MustComplete && !IsLongRunning && !Job.WasReportedCompleted_ &&
        !Job.WasReportedFailed_)
      Simulation_.reportViolation("LOST",
                                  Id + " was accepted but has not completed");
  }
}

std::size_t InvariantChecker::completedCount() const {
  return static_cast<std::size_t>(
      std::count_if(Jobs_.begin(), Jobs_.end(), [](const auto &Each) {
        return Each.second.WasReportedCompleted_;
      }));
}

} // namespace dragonflylock
