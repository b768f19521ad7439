#include "emulator/ruleledger.h"
#include "emulator/simulation.h"

#include <algorithm>

namespace dragonflylock {
namespace {

/// Time from the acknowledgement of a cancellation to the last start.
constexpr std::chrono::milliseconds CancelLimit{3000};
/// Time from the acknowledgement of an end to the last start of a copy.
constexpr std::chrono::milliseconds CopyLimit{1000};
/// Time from the start of a lasting task until it works at full speed.
constexpr std::chrono::milliseconds LastingStartup{900};
constexpr std::chrono::milliseconds MaintenanceTime{2000};
/// Least time between orders of two nodes for one machine.
constexpr std::chrono::milliseconds OwnerLease{3000};

} // namespace

void RuleLedger::onStart(const WorkerEntry &Worker, const TaskName &Task,
                         const std::string &Payload) {
  auto Found = Jobs_.find(Task.Job_);
  if (Found == Jobs_.end() || Payload != Found->second.Spec_.Payload_) {
    World_.breaks("UNASKED", Task.text() + " was never submitted so");
    return;
  }
  JobRecord &Job = Found->second;
  if (!Job.MayBeAccepted_)
    World_.breaks("REFUSED", Task.text() + " starts, though all attempts to "
                                           "submit its job were refused");
  if (Job.Pool_ != Worker.Pool_)
    World_.breaks("ROUTE", Task.text() + " starts in pool " + Worker.Pool_);
  bool IsCancelled = Job.CancelledAt_ != TimePoint() &&
                     World_.now() > Job.CancelledAt_ + CancelLimit;
  if (IsCancelled)
    World_.breaks("UNASKED", Task.text() + " starts after its cancellation");
  if (failuresOf(Job, Task, Job.NotedFailures_).size() >= MaxFailedRuns_)
    World_.breaks("BUDGET", Task.text() + " starts after its last attempt");
  checkOrder(Job, Task);
  checkTwice(Job, Task);
  Job.StartedAt_[Task] = World_.now();
  Job.Running_[Task].insert(Worker.lifetime());
}

void RuleLedger::checkOrder(const JobRecord &Job, const TaskName &Task) {
  for (std::uint32_t Earlier : Job.Spec_.Steps_[Task.Step_].After_)
    for (std::uint32_t Index = 0; Index < Job.Spec_.Steps_[Earlier].TaskCount_;
         ++Index)
      if (!Job.Done_.contains({Task.Job_, Task.Occurrence_, Earlier, Index})) {
        World_.breaks("ORDER", Task.text() + " starts before step " +
                                   std::to_string(Earlier) + " has ended");
        return;
      }
}

void RuleLedger::checkTwice(const JobRecord &Job, const TaskName &Task) {
  const StepSpec &Step = Job.Spec_.Steps_[Task.Step_];
  auto Noted = Job.Noted_.find(Task);
  auto Allowed =
      Step.AllowsDuplicates_ ? CopyLimit : std::chrono::milliseconds(0);
  if (Noted != Job.Noted_.end() && World_.now() > Noted->second + Allowed)
    World_.breaks("TWICE", Task.text() + " starts after its end was noted");
  if (Step.AllowsDuplicates_)
    return;
  auto Running = Job.Running_.find(Task);
  if (Running != Job.Running_.end() && !Running->second.empty())
    World_.breaks("TWICE",
                  Task.text() + " still runs on " + *Running->second.begin());
}

void RuleLedger::onEnd(const std::string &Worker, const TaskName &Task,
                       RunNumber Run, EndKind Kind) {
  JobRecord &Job = Jobs_[Task.Job_];
  auto &Running = Job.Running_[Task];
  auto Found = Running.find(Worker);
  if (Found != Running.end())
    Running.erase(Found);
  if (Kind == EndKind::Done)
    Job.Done_.insert(Task);
  if (Kind == EndKind::Failed)
    Job.Failures_[Task].insert(Run);
}

void RuleLedger::onEndNoted(const TaskName &Task, RunNumber Run, EndKind Kind) {
  JobRecord &Job = Jobs_[Task.Job_];
  if (Job.Spec_.Steps_[Task.Step_].IsLongRunning_)
    return;
  if (Kind == EndKind::Done)
    Job.Noted_.emplace(Task, World_.now());
  if (Kind == EndKind::Failed)
    Job.NotedFailures_[Task].insert(Run);
}

void RuleLedger::onAccepted(const std::string &Id) {
  Jobs_[Id].IsAccepted_ = true;
}

void RuleLedger::onShown(const std::string &Id, JobPhase State) {
  JobRecord &Job = Jobs_[Id];
  if (State == JobPhase::Failed)
    Job.IsShownFailed_ = true;
  if (State == JobPhase::Failed && !mayHaveFailed(Job))
    World_.breaks("LOST", Id + " is shown as failed without cause");
  if (State != JobPhase::Completed)
    return;
  Job.IsShownCompleted_ = true;
  std::size_t Tasks = 0;
  for (const StepSpec &Step : Job.Spec_.Steps_)
    Tasks += Step.TaskCount_;
  if (Job.Done_.size() < Tasks)
    World_.breaks("MIXED", Id + " is shown as completed too early");
}

void RuleLedger::checkHolder(const MachineOrder &Order) {
  MachineRecord &Record = Machines_[Order.Machine_];
  bool IsOther = !Record.Holder_.empty() && Record.Holder_ != Order.Holder_;
  bool TakesTurns = IsOther && World_.now() < Record.OrderedAt_ + OwnerLease;
  if (Order.Token_ < Record.Token_ ||
      (Order.Token_ == Record.Token_ && IsOther) || TakesTurns)
    World_.breaks("ONE", Order.Machine_ + " is ordered by " + Order.Holder_ +
                             " out of turn");
  Record.Holder_ = Order.Holder_;
  Record.Token_ = std::max(Record.Token_, Order.Token_);
  Record.OrderedAt_ = World_.now();
}

MachineOutcome
RuleLedger::onMaintenance(const MachineOrder &Order, std::uint64_t Wave,
                          const std::function<bool(const std::string &)> &Act) {
  checkHolder(Order);
  MachineRecord &Record = Machines_[Order.Machine_];
  if (Record.Maintained_.contains(Wave))
    return MachineOutcome::Accepted;
  auto Down = std::count_if(Machines_.begin(), Machines_.end(),
                            [this](const auto &Each) {
                              return Each.second.DownUntil_ > World_.now();
                            });
  if (!Act(Order.Machine_))
    return MachineOutcome::Busy;
  if (Down >= MostDown_)
    World_.breaks("LIMIT", Order.Machine_ + " goes down beside " +
                               std::to_string(Down) + " others");
  Record.Maintained_.insert(Wave);
  Record.DownUntil_ = World_.now() + MaintenanceTime;
  return MachineOutcome::Accepted;
}

void RuleLedger::checkBudgets(const std::set<TaskName> &Ended) {
  for (const TaskName &Task : Ended) {
    JobRecord &Job = Jobs_[Task.Job_];
    const StepSpec &Step = Job.Spec_.Steps_[Task.Step_];
    if (!Step.DisruptionBudget_ || Job.CancelledAt_ != TimePoint())
      continue;
    std::erase_if(Job.TakenAway_, [&](const TaskName &Other) {
      return !Job.Running_[Other].empty() &&
             Job.StartedAt_[Other] + LastingStartup <= World_.now();
    });
    Job.TakenAway_.insert(Task);
    if (Job.TakenAway_.size() > *Step.DisruptionBudget_)
      World_.breaks("AVAIL", Task.text() + " is ended while others are away");
  }
}

std::set<RunNumber> RuleLedger::failuresOf(
    const JobRecord &Job, const TaskName &Task,
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

void RuleLedger::onGangIncomplete(const TaskName &Task) {
  if (IsCalm_ && Jobs_[Task.Job_].CancelledAt_ == TimePoint())
    World_.breaks("GANG", Task.text() + " waited in vain for its gang");
}

bool RuleLedger::mayHaveFailed(const JobRecord &Job) const {
  return std::any_of(
      Job.Failures_.begin(), Job.Failures_.end(), [&](const auto &Each) {
        return failuresOf(Job, Each.first, Job.Failures_).size() >=
               MaxFailedRuns_;
      });
}

void RuleLedger::checkEnd() {
  for (const auto &[Id, Job] : Jobs_) {
    bool IsEndless =
        std::any_of(Job.Spec_.Steps_.begin(), Job.Spec_.Steps_.end(),
                    [](const StepSpec &Step) { return Step.IsLongRunning_; });
    bool IsOwed = Job.IsAccepted_ && !Job.MayBeCancelled_ &&
                  Job.CancelledAt_ == TimePoint();
    if (IsOwed && IsEndless) {
      std::size_t Running = 0;
      for (const auto &[Task, Workers] : Job.Running_)
        Running += Workers.empty() ? 0 : 1;
      if (Running < Job.Spec_.Steps_[0].TaskCount_)
        World_.breaks("LOST", Id + " has lasting tasks that do not run");
    }
    if (IsOwed && !IsEndless && !Job.IsShownCompleted_ && !Job.IsShownFailed_)
      World_.breaks("LOST", Id + " was accepted and has not completed");
  }
}

std::size_t RuleLedger::completed() const {
  return static_cast<std::size_t>(
      std::count_if(Jobs_.begin(), Jobs_.end(), [](const auto &Each) {
        return Each.second.IsShownCompleted_;
      }));
}

} // namespace dragonflylock
