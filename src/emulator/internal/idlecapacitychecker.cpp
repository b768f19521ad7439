#include "emulator/internal/idlecapacitychecker.h"
#include "emulator/internal/faultinjector.h"
#include "emulator/invariantchecker.h"
#include "emulator/modelworkers.h"
#include "emulator/simulation.h"
#include "scheduling/placement.h"

#include <algorithm>

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds CheckInterval{250};
constexpr milliseconds MaxWait{3000};
/// Time after the end of a fault from which on waiting counts.
constexpr milliseconds CalmDelay{4000};

bool hasLabel(const WorkerEntry &Worker, const std::string &Label) {
  return Label.empty() ||
         std::find(Worker.Labels_.begin(), Worker.Labels_.end(), Label) !=
             Worker.Labels_.end();
}

bool isSound(const ModelWorker &Worker, const std::string &Pool) {
  return Worker.IsUp_ && Worker.Entry_.Pool_ == Pool &&
         Worker.Entry_.State_ == WorkerState::Ready &&
         Worker.UnreachableFrom_.empty();
}

bool isStepDone(const ObservedJob &Job, const TaskName &First) {
  TaskName Task = First;
  for (Task.Index_ = 0; Task.Index_ < Job.Spec_.Steps_[Task.Step_].TaskCount_;
       ++Task.Index_)
    if (!Job.CompletedTasks_.contains(Task))
      return false;
  return true;
}

} // namespace

void IdleCapacityChecker::check() {
  Simulation_.schedule(CheckInterval, [this] { check(); });
  const TimePoint Now = Simulation_.now();
  bool IsCalm = Now >= Faults_.lastFaultEnd() + CalmDelay;
  if (!IsCalm)
    WaitingSince_.clear();
  for (const auto &[Id, Job] : Checker_.jobs()) {
    bool MustRun =
        IsCalm && Job.IsAccepted_ && Job.UnsettledCancellations_ == 0 &&
        Job.CancelledAt_ == TimePoint() && !Job.WasReportedCompleted_ &&
        !Job.WasReportedFailed_ && !Job.NeedsAdvice_;
    auto Step = MustRun ? waitingStep(Job, Id) : std::nullopt;
    if (!Step || !isHalfEmpty(Job.Pool_) ||
        !hasCapacityTwice(Job.Pool_, Job.Spec_.Steps_[*Step])) {
      WaitingSince_.erase(Id);
      continue;
    }
    TimePoint Since = WaitingSince_.try_emplace(Id, Now).first->second;
    if (Now >= Since + MaxWait && Reported_.insert(Id).second)
      Simulation_.reportViolation("LOST", Id + " has nothing running of step " +
                                              std::to_string(*Step) +
                                              " beside idle capacity");
  }
}

bool IdleCapacityChecker::isHalfEmpty(const std::string &Pool) const {
  Resources Used;
  Resources Total;
  for (const auto &[Id, Worker] : Workers_.workers()) {
    if (!isSound(Worker, Pool))
      continue;
    Total += Worker.Entry_.Capacity_;
    Used += Workers_.usedResources(Worker);
  }
  return Used.CpuMillis_ * 2 < Total.CpuMillis_ &&
         Used.MemoryMb_ * 2 < Total.MemoryMb_;
}

std::optional<std::uint32_t>
IdleCapacityChecker::waitingStep(const ObservedJob &Job,
                                 const std::string &Id) const {
  for (const auto &[Task, Workers] : Job.Running_)
    if (!Workers.empty())
      return std::nullopt;
  const JobSpec &Spec = Job.Spec_;
  auto Wall = milliseconds(millisecondsSinceEpoch(Simulation_.wallNow()));
  for (std::uint32_t K = 0; K < Spec.occurrences(); ++K) {
    if (Spec.OccurrenceCount_ > 0 && Wall < Spec.FirstDue_ + K * Spec.Interval_)
      return std::nullopt;
    for (std::uint32_t S = 0; S < Spec.Steps_.size(); ++S) {
      const auto &After = Spec.Steps_[S].After_;
      bool IsReady =
          std::all_of(After.begin(), After.end(), [&](std::uint32_t Earlier) {
            return isStepDone(Job, {Id, K, Earlier, 0});
          });
      if (IsReady && !isStepDone(Job, {Id, K, S, 0}))
        return S;
    }
  }
  return std::nullopt;
}

bool IdleCapacityChecker::hasCapacityTwice(const std::string &Pool,
                                           const StepSpec &Step) const {
  const Resources Need = requiredResources(Step);
  std::uint32_t Places = 0;
  for (const auto &[Id, Worker] : Workers_.workers()) {
    if (!isSound(Worker, Pool) || !hasLabel(Worker.Entry_, Step.RequiredLabel_))
      continue;
    Resources Free = Worker.Entry_.Capacity_;
    Free -= Workers_.usedResources(Worker);
    std::uint32_t Here = 0;
    while (Free.canFit(Need) &&
           (Step.MaxPerWorker_ == 0 || Here < Step.MaxPerWorker_) &&
           Here < Step.TaskCount_) {
      Free -= Need;
      ++Here;
    }
    Places += Here;
  }
  return Places >= 2 * (Step.IsGang_ ? Step.TaskCount_ : 1);
}

} // namespace dragonflylock
