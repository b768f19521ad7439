#ifndef DRAGONFLYLOCK_SCHEDULING_ACTIVEJOB_H
#define DRAGONFLYLOCK_SCHEDULING_ACTIVEJOB_H

#include "scheduling/jobprogress.h"
#include "scheduling/jobrowcodec.h"
#include "scheduling/schedulingtypes.h"
#include "scheduling/storetypes.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace dragonflylock {

class IJobObserver;

/// What the owner of a pool knows of a task's current run.
enum class TaskPhase {
  /// Not started, or to be started again.
  Waiting,
  /// A start was ordered and not answered yet.
  Starting,
  Running,
  /// A stop was ordered.
  Stopping,
  /// May run on a worker that can't be asked.
  Uncertain,
  Done,
};

/// The current run of one task.
struct TaskRun {
  TaskPhase Phase_ = TaskPhase::Waiting;
  /// The last run number used.
  RunNumber Run_ = 0;
  /// Lifetime of the worker; empty while waiting.
  std::string Worker_;
  /// Whether a worker refused the last run before it began.
  bool WasRefused_ = false;
  /// Worker on which the last run failed; another one is preferred.
  std::string LastFailedWorker_;
  /// Earliest time of the next start.
  TimePoint NotBefore_;
  /// Whether a run under an earlier owner may still exist on a worker that
  /// has not been asked yet.
  bool MayHaveInheritedRun_ = false;
  /// Share of full speed that the worker reported last, 0 to 100.
  std::uint32_t Percent_ = 0;
  /// Since when the task has worked at full speed.
  TimePoint FullSpeedSince_;

  /// \returns whether the task may be started at \p Now, once its step may.
  bool mayStart(TimePoint Now) const {
    return Phase_ == TaskPhase::Waiting && !MayHaveInheritedRun_ &&
           NotBefore_ <= Now;
  }
};

/// What the tasks of one step of one occurrence share.
struct StepRun {
  /// Run number of all members of a gang; 0 before the first start.
  RunNumber Run_ = 0;
  /// When the gang was started last.
  TimePoint StartedAt_;
  /// Since when the step could have started but did not fit.
  TimePoint CapacityWaitSince_;
};

/// A job that has not ended, as the owner of its pool holds it.
class ActiveJob {
public:
  ActiveJob(std::string Id, SubmittedJob Submission);

  const std::string &id() const { return Id_; }
  const SubmittedJob &submission() const { return Submission_; }
  const StepSpec &step(const TaskName &Name) const {
    return Submission_.Spec_.Steps_[Name.Step_];
  }
  const JobProgress &progress() const { return Progress_; }
  /// \returns the progress, to be changed at once.
  JobProgress &mutableProgress() {
    notifyObserver();
    return Progress_;
  }
  /// \returns whether no task may run any more.
  bool isOver() const { return IsCancelled_ || isFinal(Progress_.state()); }
  /// \returns what the tasks of the task's step share.
  StepRun &stepRun(const TaskName &Name) {
    return StepRuns_[{Name.Occurrence_, Name.Step_}];
  }
  const TaskRun &run(const TaskName &Name) const;
  /// \returns the task's run, to be changed at once.
  TaskRun &mutableRun(const TaskName &Name);

  /// Calls \p Visit with the name and the run of every task, which it may
  /// change.
  template <typename Visitor> void forEachMutableTask(Visitor &&Visit) {
    notifyObserver();
    visitTasks(Runs_, Visit);
  }

  /// Calls \p Visit with the name and the run of every task.
  template <typename Visitor> void forEachTask(Visitor &&Visit) const {
    visitTasks(Runs_, Visit);
  }

  /// Calls \p Visit with the number and the runs of each step of each
  /// occurrence.
  template <typename Visitor> void forEachStep(Visitor &&Visit) const {
    for (const auto &Steps : Runs_)
      for (std::uint32_t S = 0; S < Steps.size(); ++S)
        Visit(S, Steps[S]);
  }
  /// Calls \p Visit with the number and the runs of each step of which tasks
  /// may start at \p Wall, and \p VisitDue with the due time of the next
  /// occurrence.
  template <typename Visitor, typename DueVisitor>
  void forEachReadyStep(std::chrono::milliseconds Wall, Visitor &&Visit,
                        DueVisitor &&VisitDue) const {
    for (std::uint32_t K = 0; K < Runs_.size(); ++K) {
      if (Wall < dueTime(K)) {
        VisitDue(dueTime(K));
        return;
      }
      for (std::uint32_t S = 0; S < Runs_[K].size(); ++S)
        if (isStepReady(K, S, Wall))
          Visit(S, Runs_[K][S]);
    }
  }
  /// \returns when the occurrence is due; zero where there is no due time.
  std::chrono::milliseconds dueTime(std::uint32_t Occurrence) const {
    const JobSpec &Spec = Submission_.Spec_;
    return Spec.OccurrenceCount_ > 0
               ? Spec.FirstDue_ + Occurrence * Spec.Interval_
               : std::chrono::milliseconds(0);
  }
  /// \returns whether the step may start: what it follows has ended and its
  /// occurrence is due at \p Wall.
  bool isStepReady(std::uint32_t Occurrence, std::uint32_t Step,
                   std::chrono::milliseconds Wall) const;
  /// \returns all tasks of the step of \p Member and its occurrence.
  std::vector<TaskName> tasksOfStep(const TaskName &Member) const;
  /// \returns the tasks that may be started at \p Now.
  std::vector<TaskName> startableTasks(TimePoint Now,
                                       std::chrono::milliseconds Wall) const;
  /// \returns their number.
  std::size_t countStartableTasks(TimePoint Now,
                                  std::chrono::milliseconds Wall) const;
  /// \returns the number of runs that may exist on workers.
  std::size_t runCount() const;
  /// \returns whether any task has been started or has ended.
  bool hasStarted() const;
  /// \returns the declared run time of the longest chain of steps: of all
  /// steps, or of those that have not ended.
  std::chrono::milliseconds criticalPathTime(bool OnlyRemaining) const;
  /// \returns the declared work left, in core-milliseconds.
  std::int64_t remainingWork() const;
  /// \returns whether a step runs until the job is cancelled.
  bool isLongRunning() const;

  /// Takes in the state of the progress row, whose facts are added.
  void mergeProgress(const JobProgress &Read, StoreVersion Version);

  /// Notes whether a task that may start found no room.
  void updateCapacityWait(bool IsMissing, TimePoint Now) {
    if (!IsMissing)
      CapacityWaitSince_.reset();
    else if (!CapacityWaitSince_)
      CapacityWaitSince_ = Now;
  }
  /// \returns since when no task that may start has found room.
  std::optional<TimePoint> capacityWaitSince() const {
    return CapacityWaitSince_;
  }

  /// Notes that the progress must be stored.
  void markDirty() {
    notifyObserver();
    ++ChangeCount_;
  }
  bool isDirty() const { return ChangeCount_ > StoredChangeCount_; }
  std::uint64_t changeCount() const { return ChangeCount_; }
  std::uint64_t storedChangeCount() const { return StoredChangeCount_; }
  void setStoredChangeCount(std::uint64_t Count) {
    notifyObserver();
    StoredChangeCount_ = Count;
  }

  StoreVersion progressVersion() const { return ProgressVersion_; }
  void setProgressVersion(StoreVersion Version) { ProgressVersion_ = Version; }

  bool isCancelled() const { return IsCancelled_; }
  void cancel() {
    notifyObserver();
    IsCancelled_ = true;
  }

  /// Has \p Value told of changes; it must outlive the job.
  void setObserver(IJobObserver &Value) { Observer_ = &Value; }

private:
  template <typename Tasks, typename Visitor>
  void visitTasks(Tasks &All, Visitor &Visit) const {
    TaskName Name{Id_};
    for (auto &Steps : All) {
      Name.Step_ = 0;
      for (auto &Runs : Steps) {
        Name.Index_ = 0;
        for (auto &Run : Runs) {
          Visit(std::as_const(Name), Run);
          ++Name.Index_;
        }
        ++Name.Step_;
      }
      ++Name.Occurrence_;
    }
  }
  void notifyObserver();

  std::string Id_;
  SubmittedJob Submission_;
  JobProgress Progress_;
  StoreVersion ProgressVersion_ = 0;
  std::uint64_t ChangeCount_ = 0;
  std::uint64_t StoredChangeCount_ = 0;
  bool IsCancelled_ = false;
  IJobObserver *Observer_ = nullptr;
  std::optional<TimePoint> CapacityWaitSince_;
  /// By occurrence, step and index.
  std::vector<std::vector<std::vector<TaskRun>>> Runs_;
  /// By occurrence and step.
  std::map<std::pair<std::uint32_t, std::uint32_t>, StepRun> StepRuns_;
};

} // namespace dragonflylock

#endif
