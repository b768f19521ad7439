#include "scheduling/internal/loadmeter.h"
#include "global/iclock.h"
#include "scheduling/internal/poolstate.h"
#include "scheduling/placement.h"

#include <algorithm>

namespace dragonflylock {
namespace {

using Seconds = std::chrono::duration<double>;

/// Age up to which a job counts as arriving.
constexpr std::chrono::milliseconds ArrivalWindow{1000};

bool isReady(const WorkerSession &Session) {
  return Session.IsListed_ && !Session.isBeingEmptied() &&
         Session.entry().State_ == WorkerState::Ready;
}

/// Counts the pool's machines into \p Load.
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

double shareOf(std::int64_t Wanted, std::int64_t Unit) {
  return Unit > 0 ? static_cast<double>(Wanted) / static_cast<double>(Unit) : 0;
}

double shareOf(const StepSpec &Step, const Resources &Unit) {
  const Resources Room = roomOf(Step);
  return std::max({shareOf(Room.CpuMillis_, Unit.CpuMillis_),
                   shareOf(Room.MemoryMb_, Unit.MemoryMb_),
                   shareOf(Room.Gpus_, Unit.Gpus_)});
}

double secondsOf(const StepSpec &Step) {
  return Seconds(Step.Estimate_).count();
}

/// \returns the job's work in machine-seconds.
double workOf(const ActiveJob &Job, const Resources &Unit) {
  double Work = 0;
  for (const StepSpec &Step : Job.submission().Spec_.Steps_)
    if (!Step.IsLongRunning_)
      Work += Step.TaskCount_ * secondsOf(Step) * shareOf(Step, Unit);
  return Work;
}

/// \returns the room in which tasks of the step, once they may start, end in
/// time.
double waitingRoomOf(const StepSpec &Step, const Resources &Unit) {
  double Clear = Seconds(CapacityPlanner::ClearTime).count();
  return shareOf(Step, Unit) * std::min(1.0, secondsOf(Step) / Clear);
}

void addTasks(PoolLoad &Load, const ActiveJob &Job, const Resources &Unit,
              const PoolState &Pool) {
  const std::vector<StepSpec> &Steps = Job.submission().Spec_.Steps_;
  Job.forEachStep([&](std::uint32_t Number, const std::vector<TaskRun> &Runs) {
    const StepSpec &Step = Steps[Number];
    const double Share = shareOf(Step, Unit);
    for (const TaskRun &Run : Runs) {
      if (Step.IsLongRunning_)
        Load.Lasting_ += Share;
      else if (!Run.Worker_.empty())
        Load.Running_ += Share;
    }
  });
  const TimePoint Now = Pool.Clock_.now();
  Job.forEachReadyStep(
      Pool.wallTime(),
      [&](std::uint32_t Number, const std::vector<TaskRun> &Runs) {
        if (Steps[Number].IsLongRunning_)
          return;
        const double Room = waitingRoomOf(Steps[Number], Unit);
        for (const TaskRun &Run : Runs)
          Load.Waiting_ += Run.mayStart(Now) ? Room : 0;
      },
      [](std::chrono::milliseconds) {});
}

} // namespace

PoolLoad measureLoad(const PoolState &Pool) {
  PoolLoad Load;
  const Resources Unit = countMachines(Load, Pool);
  const std::chrono::milliseconds Wall = Pool.wallTime();
  for (const auto &[Id, Job] : Pool.Jobs_) {
    if (Job->isOver())
      continue;
    addTasks(Load, *Job, Unit, Pool);
    if (auto Since = Job->capacityWaitSince())
      Load.LongestWait_ =
          std::max(Load.LongestWait_,
                   std::chrono::duration_cast<std::chrono::milliseconds>(
                       Pool.Clock_.now() - *Since));
    bool IsNew =
        std::chrono::abs(Wall - Job->submission().AcceptedAt_) < ArrivalWindow;
    if (IsNew && Job->submission().Spec_.OccurrenceCount_ == 0)
      Load.Arriving_ += workOf(*Job, Unit) / Seconds(ArrivalWindow).count();
  }
  return Load;
}

} // namespace dragonflylock
