#include "scheduling/internal/loadmeter.h"
#include "scheduling/internal/poolstate.h"

#include <algorithm>

namespace dragonflylock {
namespace {

using Seconds = std::chrono::duration<double>;

/// Age up to which a job counts as arriving.
constexpr std::chrono::milliseconds ArrivalWindow{1000};
/// A task that runs has half of its time left on average.
constexpr double RunningShare = 0.5;

bool isReady(const WorkerSession &Session) {
  return Session.IsListed_ && !Session.IsReserved_ &&
         Session.entry().State_ == WorkerState::Ready;
}

/// \returns the mean capacity of the pool's machines.
Resources unitOf(const PoolState &Pool) {
  Resources Sum;
  std::int64_t Count = 0;
  for (const auto &[Lifetime, Session] : Pool.Sessions_) {
    if (!isReady(*Session))
      continue;
    Sum += Session->entry().Capacity_;
    ++Count;
  }
  if (Count == 0)
    return {};
  return {Sum.CpuMillis_ / Count, Sum.MemoryMb_ / Count, Sum.Gpus_ / Count};
}

double shareOf(std::int64_t Wanted, std::int64_t Unit) {
  return Unit > 0 ? static_cast<double>(Wanted) / static_cast<double>(Unit) : 0;
}

double shareOf(const StepSpec &Step, const Resources &Unit) {
  double Cpu =
      Step.IsFiller_ ? 0 : shareOf(Step.PerTask_.CpuMillis_, Unit.CpuMillis_);
  return std::max({Cpu, shareOf(Step.PerTask_.MemoryMb_, Unit.MemoryMb_),
                   shareOf(Step.PerTask_.Gpus_, Unit.Gpus_)});
}

/// \returns the job's work in machine-seconds, of occurrences that are due.
/// \param OnlyLeft whether to leave out what has been done.
double workOf(const ActiveJob &Job, const Resources &Unit,
              std::chrono::milliseconds Wall, bool OnlyLeft) {
  const JobSpec &Spec = Job.stored().Spec_;
  double Work = 0;
  Job.forEachTask([&](const TaskName &Name, const TaskRun &Run) {
    const StepSpec &Step = Job.step(Name);
    bool IsDue = Spec.Times_ == 0 ||
                 Wall >= Spec.FirstDue_ + Name.Occurrence_ * Spec.Interval_;
    if (!IsDue || Step.IsLongRunning_)
      return;
    double Left = 1;
    if (OnlyLeft && Run.Phase_ == TaskPhase::Done)
      Left = 0;
    else if (OnlyLeft && Run.Phase_ != TaskPhase::Waiting)
      Left = RunningShare;
    Work += Left * Seconds(Step.Estimate_).count() * shareOf(Step, Unit);
  });
  return Work;
}

double lastingRoomOf(const ActiveJob &Job, const Resources &Unit) {
  double Room = 0;
  Job.forEachTask([&](const TaskName &Name, const TaskRun &) {
    const StepSpec &Step = Job.step(Name);
    if (Step.IsLongRunning_)
      Room += shareOf(Step, Unit);
  });
  return Room;
}

} // namespace

PoolLoad measureLoad(const PoolState &Pool) {
  PoolLoad Load;
  const Resources Unit = unitOf(Pool);
  const std::chrono::milliseconds Wall = Pool.wallTime();
  for (const auto &[Lifetime, Session] : Pool.Sessions_)
    Load.Machines_ += isReady(*Session) ? 1 : 0;
  for (const auto &[Id, Job] : Pool.Jobs_) {
    if (isFinal(Job->progress().state()) || Job->isCancelled())
      continue;
    Load.Lasting_ += lastingRoomOf(*Job, Unit);
    Load.Backlog_ += workOf(*Job, Unit, Wall, /*OnlyLeft=*/true);
    if (std::chrono::abs(Wall - Job->stored().AcceptedAt_) < ArrivalWindow)
      Load.Arriving_ += workOf(*Job, Unit, Wall, /*OnlyLeft=*/false) /
                        Seconds(ArrivalWindow).count();
  }
  return Load;
}

} // namespace dragonflylock
