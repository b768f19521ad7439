#include "scheduling/internal/loadmeter.h"
#include "customers/icustomerlimits.h"
#include "global/iclock.h"
#include "scheduling/internal/poolstate.h"
#include "scheduling/placement.h"

#include <algorithm>
#include <map>
#include <string>

namespace dragonflylock {
namespace {

using Seconds = std::chrono::duration<double>;

/// Maximum age at which a job counts as newly arrived.
constexpr std::chrono::milliseconds ArrivalWindow{1000};

bool isReady(const WorkerSession &Session) {
  return Session.IsListed_ && !Session.isBeingDrained() &&
         Session.entry().State_ == WorkerState::Ready;
}

/// Counts the pool's ready machines in \p Load.
/// \returns their mean capacity.
Resources countMachines(PoolLoad &Load, const PoolState &Pool) {
  Resources Sum;
  for (const auto &[Lifetime, Session] : Pool.Sessions_) {
    if (!isReady(*Session))
      continue;
    Sum += Session->entry().Capacity_;
    ++Load.Machines_;
  }
  if (Load.Machines_ == 0)
    return {};
  std::int64_t Count = Load.Machines_;
  return {Sum.CpuMillis_ / Count, Sum.MemoryMb_ / Count, Sum.Gpus_ / Count};
}

double machineShareOf(std::int64_t Amount, std::int64_t MeanCapacity) {
  return MeanCapacity > 0
             ? static_cast<double>(Amount) / static_cast<double>(MeanCapacity)
             : 0;
}

/// \returns the largest share of a machine's resources that a task of the
/// step takes.
double machineShareOf(const StepSpec &Step, const Resources &MeanCapacity) {
  const Resources Required = requiredResources(Step);
  return std::max({machineShareOf(Required.CpuMillis_, MeanCapacity.CpuMillis_),
                   machineShareOf(Required.MemoryMb_, MeanCapacity.MemoryMb_),
                   machineShareOf(Required.Gpus_, MeanCapacity.Gpus_)});
}

double secondsOf(const StepSpec &Step) {
  return Seconds(Step.Estimate_).count();
}

/// \returns the capacity, in machines, that each waiting task of the step needs
/// so that such tasks end within CapacityPlanner::BacklogClearTime.
double machinesPerWaitingTask(const StepSpec &Step,
                              const Resources &MeanCapacity) {
  double Clear = Seconds(CapacityPlanner::BacklogClearTime).count();
  return machineShareOf(Step, MeanCapacity) *
         std::min(1.0, secondsOf(Step) / Clear);
}

/// Finds out how much of the waiting work the limits of customers admit. Work
/// that waits for its customer's limit needs no machines.
class LimitCheck {
public:
  explicit LimitCheck(const PoolState &Pool) : Pool_(Pool) {}

  /// \param Tasks number of startable tasks of the step.
  /// \returns how many of these tasks the limit of the job's customer admits in
  ///   addition to the tasks of earlier calls; for a gang, all or none.
  std::size_t countAdmitted(const ActiveJob &Job, const StepSpec &Step,
                            std::size_t Tasks) {
    const std::string &Customer = Job.submission().Spec_.Customer_;
    if (Pool_.Limits_ == nullptr || Customer.empty() || Tasks == 0)
      return Tasks;
    const Resources PerTask = requiredResources(Step);
    auto Known = Expected_.try_emplace(Customer, Pool_.Usage_.of(Customer));
    Resources &Running = Known.first->second;
    std::size_t Admitted = 0;
    for (std::size_t Part = Tasks; Part > 0;) {
      const Resources Needed = times(PerTask, Part);
      if (Pool_.Limits_->hasRoom(Customer, Running, Needed)) {
        Running += Needed;
        Admitted += Part;
        Part = std::min(Part, Tasks - Admitted);
      } else {
        Part = Step.IsGang_ ? 0 : Part / 2;
      }
    }
    return Admitted;
  }

private:
  static Resources times(const Resources &PerTask, std::size_t Tasks) {
    const auto Count = static_cast<std::int64_t>(Tasks);
    return {PerTask.CpuMillis_ * Count, PerTask.MemoryMb_ * Count,
            PerTask.Gpus_ * Count};
  }

  const PoolState &Pool_;
  /// What each customer would run if the admitted tasks had started.
  std::map<std::string, Resources> Expected_;
};

/// \returns whether the limit of the job's customer keeps some of its tasks
/// waiting.
bool addTasks(PoolLoad &Load, const ActiveJob &Job,
              const Resources &MeanCapacity, const PoolState &Pool,
              LimitCheck &Limits) {
  const std::vector<StepSpec> &Steps = Job.submission().Spec_.Steps_;
  bool IsLimited = false;
  Job.forEachStep([&](std::uint32_t Number, const std::vector<TaskRun> &Runs) {
    const StepSpec &Step = Steps[Number];
    const double Share = machineShareOf(Step, MeanCapacity);
    const auto Placed = static_cast<std::size_t>(
        std::count_if(Runs.begin(), Runs.end(), [](const TaskRun &Run) {
          return !Run.Worker_.empty() || Run.mayRunUnlisted();
        }));
    if (Step.IsLongRunning_) {
      const std::size_t Waiting = Runs.size() - Placed;
      const std::size_t Admitted = Limits.countAdmitted(Job, Step, Waiting);
      IsLimited = IsLimited || Admitted < Waiting;
      Load.LongRunningLoad_ += static_cast<double>(Placed + Admitted) * Share;
      return;
    }
    for (const TaskRun &Run : Runs)
      Load.RunningLoad_ += Run.Worker_.empty() ? 0 : Share;
  });
  const TimePoint Now = Pool.Clock_.now();
  Job.forEachReadyStep(
      Pool.wallTime(),
      [&](std::uint32_t Number, const std::vector<TaskRun> &Runs) {
        if (Steps[Number].IsLongRunning_)
          return;
        const double MachinesNeeded =
            machinesPerWaitingTask(Steps[Number], MeanCapacity);
        const auto Startable = static_cast<std::size_t>(
            std::count_if(Runs.begin(), Runs.end(), [&](const TaskRun &Run) {
              return Run.mayStart(Now, Job.storedChangeCount());
            }));
        const std::size_t Admitted =
            Limits.countAdmitted(Job, Steps[Number], Startable);
        IsLimited = IsLimited || Admitted < Startable;
        Load.WaitingLoad_ += static_cast<double>(Admitted) * MachinesNeeded;
      },
      [](std::chrono::milliseconds) {});
  return IsLimited;
}

} // namespace

double machineSecondsOf(const ActiveJob &Job, const Resources &MeanCapacity) {
  double Work = 0;
  for (const StepSpec &Step : Job.submission().Spec_.Steps_)
    if (!Step.IsLongRunning_)
      Work += Step.TaskCount_ * secondsOf(Step) *
              machineShareOf(Step, MeanCapacity);
  return Work;
}

Resources meanCapacityOf(const PoolState &Pool) {
  PoolLoad Ignored;
  return countMachines(Ignored, Pool);
}

double measureUnstartedLoad(const PoolState &Pool) {
  const Resources MeanCapacity = meanCapacityOf(Pool);
  double Load = 0;
  for (const auto &[Id, Job] : Pool.Jobs_) {
    if (Job->isOver())
      continue;
    const std::vector<StepSpec> &Steps = Job->submission().Spec_.Steps_;
    double Largest = 0;
    double Occurrence = 0;
    Job->forEachStep([&](std::uint32_t Number,
                         const std::vector<TaskRun> &Runs) {
      const StepSpec &Step = Steps[Number];
      if (Number == 0)
        Occurrence = 0;
      if (Step.IsLongRunning_)
        return;
      const double Needed = Step.IsGang_
                                ? machineShareOf(Step, MeanCapacity)
                                : machinesPerWaitingTask(Step, MeanCapacity);
      for (const TaskRun &Run : Runs)
        Occurrence += Run.Phase_ == TaskPhase::Waiting ? Needed : 0;
      Largest = std::max(Largest, Occurrence);
    });
    Load += Largest;
  }
  return Load;
}

PoolLoad measureLoad(const PoolState &Pool) {
  PoolLoad Load;
  const Resources MeanCapacity = countMachines(Load, Pool);
  const std::chrono::milliseconds Wall = Pool.wallTime();
  LimitCheck Limits(Pool);
  for (const auto &[Id, Job] : Pool.Jobs_) {
    if (Job->isOver())
      continue;
    if (addTasks(Load, *Job, MeanCapacity, Pool, Limits))
      continue;
    if (auto Since = Job->capacityWaitSince())
      Load.LongestWait_ =
          std::max(Load.LongestWait_,
                   std::chrono::duration_cast<std::chrono::milliseconds>(
                       Pool.Clock_.now() - *Since));
    bool IsNew =
        std::chrono::abs(Wall - Job->submission().AcceptedAt_) < ArrivalWindow;
    if (IsNew && Job->submission().Spec_.OccurrenceCount_ == 0)
      Load.ArrivalLoad_ +=
          machineSecondsOf(*Job, MeanCapacity) / Seconds(ArrivalWindow).count();
  }
  return Load;
}

} // namespace dragonflylock
