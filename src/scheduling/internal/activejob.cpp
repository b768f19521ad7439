#include "scheduling/activejob.h"
#include "scheduling/internal/ijobobserver.h"

#include <algorithm>

namespace dragonflylock {

ActiveJob::ActiveJob(std::string Id, SubmittedJob Submission,
                     StoreVersion SubmissionVersion)
    : Id_(std::move(Id)), Submission_(std::move(Submission)),
      SubmissionVersion_(SubmissionVersion), Progress_(Submission_.Spec_) {
  std::vector<std::vector<TaskRun>> Steps;
  for (const StepSpec &Step : Submission_.Spec_.Steps_)
    Steps.emplace_back(Step.TaskCount_);
  Runs_.assign(Submission_.Spec_.occurrences(), Steps);
}

void ActiveJob::notifyObserver() {
  if (Observer_ != nullptr)
    Observer_->onJobChanging(*this);
}

TaskRun &ActiveJob::mutableRun(const TaskName &Name) {
  notifyObserver();
  return Runs_[Name.Occurrence_][Name.Step_][Name.Index_];
}

const TaskRun &ActiveJob::run(const TaskName &Name) const {
  return Runs_[Name.Occurrence_][Name.Step_][Name.Index_];
}

bool ActiveJob::isStepReady(std::uint32_t Occurrence, std::uint32_t Step,
                            std::chrono::milliseconds Wall) const {
  const JobSpec &Spec = Submission_.Spec_;
  if (Spec.OccurrenceCount_ > 0 && Wall < dueTime(Occurrence))
    return false;
  const std::vector<std::uint32_t> &After = Spec.Steps_[Step].After_;
  return std::all_of(After.begin(), After.end(), [&](std::uint32_t Earlier) {
    return Progress_.isStepDone(Occurrence, Earlier);
  });
}

std::vector<TaskName> ActiveJob::tasksOfStep(const TaskName &Member) const {
  std::vector<TaskName> Members;
  for (std::uint32_t I = 0; I < Runs_[Member.Occurrence_][Member.Step_].size();
       ++I)
    Members.push_back({Id_, Member.Occurrence_, Member.Step_, I});
  return Members;
}

std::vector<TaskName>
ActiveJob::startableTasks(TimePoint Now, std::chrono::milliseconds Wall) const {
  std::vector<TaskName> Found;
  if (isOver())
    return Found;
  for (std::uint32_t K = 0; K < Runs_.size(); ++K) {
    for (std::uint32_t S = 0; S < Runs_[K].size(); ++S) {
      if (!isStepReady(K, S, Wall))
        continue;
      for (std::uint32_t I = 0; I < Runs_[K][S].size(); ++I) {
        if (Runs_[K][S][I].mayStart(Now, StoredChangeCount_))
          Found.push_back({Id_, K, S, I});
      }
    }
  }
  return Found;
}

std::size_t
ActiveJob::countStartableTasks(TimePoint Now,
                               std::chrono::milliseconds Wall) const {
  std::size_t Count = 0;
  if (isOver())
    return Count;
  forEachReadyStep(
      Wall,
      [&](std::uint32_t, const std::vector<TaskRun> &Runs) {
        Count += static_cast<std::size_t>(std::count_if(
            Runs.begin(), Runs.end(), [Now, this](const TaskRun &Run) {
              return Run.mayStart(Now, StoredChangeCount_);
            }));
      },
      [](std::chrono::milliseconds) {});
  return Count;
}

std::size_t ActiveJob::runCount() const {
  std::size_t Count = 0;
  for (const auto &Steps : Runs_)
    for (const auto &Tasks : Steps)
      Count += static_cast<std::size_t>(
          std::count_if(Tasks.begin(), Tasks.end(), [](const TaskRun &Run) {
            return !Run.Worker_.empty();
          }));
  return Count;
}

std::int64_t ActiveJob::remainingWork() const {
  std::int64_t Work = 0;
  for (const auto &Steps : Runs_)
    for (std::size_t S = 0; S < Steps.size(); ++S) {
      const StepSpec &Step = Submission_.Spec_.Steps_[S];
      auto Left = std::count_if(
          Steps[S].begin(), Steps[S].end(),
          [](const TaskRun &Run) { return Run.Phase_ != TaskPhase::Done; });
      Work += Left * Step.Estimate_.count() * Step.PerTask_.CpuMillis_ / 1000;
    }
  return Work;
}

std::chrono::milliseconds
ActiveJob::criticalPathTime(bool OnlyRemaining) const {
  const auto &Steps = Submission_.Spec_.Steps_;
  std::chrono::milliseconds LongestChain{0};
  for (std::uint32_t K = 0; K < Runs_.size(); ++K) {
    std::vector<std::chrono::milliseconds> FinishTimes(Steps.size());
    for (std::uint32_t S = 0; S < Steps.size(); ++S) {
      for (std::uint32_t Earlier : Steps[S].After_)
        FinishTimes[S] = std::max(FinishTimes[S], FinishTimes[Earlier]);
      if (!OnlyRemaining || !Progress_.isStepDone(K, S))
        FinishTimes[S] += Steps[S].Estimate_;
      LongestChain = std::max(LongestChain, FinishTimes[S]);
    }
  }
  return LongestChain;
}

bool ActiveJob::isLongRunning() const {
  const auto &Steps = Submission_.Spec_.Steps_;
  return std::any_of(Steps.begin(), Steps.end(),
                     [](const StepSpec &Step) { return Step.IsLongRunning_; });
}

void ActiveJob::mergeProgress(const JobProgress &Read, StoreVersion Version) {
  Progress_.merge(Read);
  ProgressVersion_ = Version;
  forEachMutableTask([this](const TaskName &Name, TaskRun &Run) {
    const TaskProgress &Known = Progress_.task(Name);
    if (Known.IsDone_ && Run.Worker_.empty())
      Run.Phase_ = TaskPhase::Done;
  });
}

} // namespace dragonflylock
