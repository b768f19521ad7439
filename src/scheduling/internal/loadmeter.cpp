#include "scheduling/internal/loadmeter.h"
#include "global/iclock.h"
#include "scheduling/internal/poolstate.h"
#include "scheduling/placement.h"

#include <algorithm>

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

void addTasks(PoolLoad &Load, const ActiveJob &Job,
              const Resources &MeanCapacity, const PoolState &Pool) {
  const std::vector<StepSpec> &Steps = Job.submission().Spec_.Steps_;
  Job.forEachStep([&](std::uint32_t Number, const std::vector<TaskRun> &Runs) {
    const StepSpec &Step = Steps[Number];
    const double Share = machineShareOf(Step, MeanCapacity);
    for (const TaskRun &Run : Runs) {
      if (Step.IsLongRunning_)
        Load.LongRunningLoad_ += Share;
      else if (!Run.Worker_.empty())
        Load.RunningLoad_ += Share;
    }
  });
  const TimePoint Now = Pool.Clock_.now();
  Job.forEachReadyStep(
      Pool.wallTime(),
      [&](std::uint32_t Number, const std::vector<TaskRun> &Runs) {
        if (Steps[Number].IsLongRunning_)
          return;
        const double MachinesNeeded =
            machinesPerWaitingTask(Steps[Number], MeanCapacity);
        for (const TaskRun &Run : Runs)
          Load.WaitingLoad_ +=
              Run.mayStart(Now, Job.storedChangeCount()) ? MachinesNeeded : 0;
      },
      [](std::chrono::milliseconds) {});
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
  for (const auto &[Id, Job] : Pool.Jobs_) {
    if (Job->isOver())
      continue;
    addTasks(Load, *Job, MeanCapacity, Pool);
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
