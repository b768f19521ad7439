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

/// State of a task's current run, as the pool owner knows it.
enum class TaskPhase {
  /// Not started yet, or waiting for a restart.
  Waiting,
  /// A start order was sent and has not been answered yet.
  Starting,
  Running,
  /// A stop order was sent.
  Stopping,
  /// The outcome of the start order is unknown, so the worker may have the
  /// run.
  Uncertain,
  Done,
};

/// The current run of one task.
struct TaskRun {
  TaskPhase Phase_ = TaskPhase::Waiting;
  /// The highest run number used so far.
  RunNumber Run_ = 0;
  /// Lifetime of the worker that may have the run; empty if there is none.
  std::string Worker_;
  /// Whether a worker refused to start the last run.
  bool WasRefused_ = false;
  /// Starts in a row that workers refused because they know of a run with a
  /// higher number.
  std::uint32_t StaleStarts_ = 0;
  /// Lifetime of the worker on which a run failed last; placement prefers
  /// another worker.
  std::string LastFailedWorker_;
  /// When this owner last ordered a start.
  TimePoint StartedAt_;
  /// Runs in a row that ended soon after their start; counted for long-running
  /// tasks only.
  std::uint32_t ShortRuns_ = 0;
  /// Earliest time of the next start.
  TimePoint NotBefore_;
  /// Value of ActiveJob::changeCount() that includes the last recorded crash of
  /// the task's worker, if there were several. This change is stored before the
  /// task starts again, since the next owner has to know of the crashes.
  std::uint64_t CrashChange_ = 0;
  /// Whether a run that a previous owner started may still exist on a worker
  /// that has not been asked yet.
  bool MayHaveInheritedRun_ = false;
  /// Number of workers that may still carry out a start without a response; see
  /// LateStarts.
  std::uint32_t LateStarts_ = 0;
  /// Speed that the worker reported last, in percent of full speed.
  std::uint32_t Percent_ = 0;
  /// Since when the task has been running at full speed.
  TimePoint FullSpeedSince_;

  /// \returns whether the task may be running without being listed.
  bool mayRunUnlisted() const {
    return MayHaveInheritedRun_ || LateStarts_ > 0;
  }
  /// \returns whether the task may be started at \p Now if its step is ready.
  /// \param StoredChangeCount the job's changes that are stored.
  bool mayStart(TimePoint Now, std::uint64_t StoredChangeCount) const {
    return Phase_ == TaskPhase::Waiting && !mayRunUnlisted() &&
           NotBefore_ <= Now && CrashChange_ <= StoredChangeCount;
  }
};

/// State that all tasks of one step of one occurrence share.
struct StepRun {
  /// Run number of all members of a gang; 0 before the first start.
  RunNumber Run_ = 0;
  /// Time of the gang's last start.
  TimePoint StartedAt_;
  /// Time of the first attempt to place tasks of a gang or of a step with a
  /// data rack; cleared when the gang starts.
  TimePoint CapacityWaitSince_;
};

/// A job in the memory of its pool's owner, from its submission until its end
/// is stored and none of its runs exists any more.
class ActiveJob {
public:
  /// \param SubmissionVersion version of the row with the submission.
  ActiveJob(std::string Id, SubmittedJob Submission,
            StoreVersion SubmissionVersion = 0);

  const std::string &id() const { return Id_; }
  const SubmittedJob &submission() const { return Submission_; }
  StoreVersion submissionVersion() const { return SubmissionVersion_; }
  const StepSpec &step(const TaskName &Name) const {
    return Submission_.Spec_.Steps_[Name.Step_];
  }
  const JobProgress &progress() const { return Progress_; }
  /// Notifies the observer that the job is about to change.
  /// \returns the progress, which the caller may change.
  JobProgress &mutableProgress() {
    notifyObserver();
    return Progress_;
  }
  /// \returns whether the job was cancelled or has ended, so that none of its
  /// tasks may run any more.
  bool isOver() const { return IsCancelled_ || isFinal(Progress_.state()); }
  /// \returns the shared state of the task's step.
  StepRun &stepRun(const TaskName &Name) {
    return StepRuns_[{Name.Occurrence_, Name.Step_}];
  }
  const TaskRun &run(const TaskName &Name) const;
  /// Notifies the observer that the job is about to change.
  /// \returns the task's run, which the caller may change.
  TaskRun &mutableRun(const TaskName &Name);

  /// Notifies the observer, then calls \p Visit with the name of every task and
  /// its run, which \p Visit may change.
  template <typename Visitor> void forEachMutableTask(Visitor &&Visit) {
    notifyObserver();
    visitTasks(Runs_, Visit);
  }

  /// Calls \p Visit with the name and the run of every task.
  template <typename Visitor> void forEachTask(Visitor &&Visit) const {
    visitTasks(Runs_, Visit);
  }

  /// Calls \p Visit with the index and the runs of each step of each
  /// occurrence.
  template <typename Visitor> void forEachStep(Visitor &&Visit) const {
    for (const auto &Steps : Runs_)
      for (std::uint32_t S = 0; S < Steps.size(); ++S)
        Visit(S, Steps[S]);
  }
  /// Calls \p Visit with the index and the runs of each step that is ready at
  /// \p Wall, and \p VisitNextDue with the due time of the first occurrence
  /// that is not due yet.
  template <typename Visitor, typename DueVisitor>
  void forEachReadyStep(std::chrono::milliseconds Wall, Visitor &&Visit,
                        DueVisitor &&VisitNextDue) const {
    for (std::uint32_t K = 0; K < Runs_.size(); ++K) {
      if (Wall < dueTime(K)) {
        VisitNextDue(dueTime(K));
        return;
      }
      for (std::uint32_t S = 0; S < Runs_[K].size(); ++S)
        if (isStepReady(K, S, Wall))
          Visit(S, Runs_[K][S]);
    }
  }
  /// \returns the due time of the occurrence, since 1970; zero if the job has
  /// no due times.
  std::chrono::milliseconds dueTime(std::uint32_t Occurrence) const {
    const JobSpec &Spec = Submission_.Spec_;
    return Spec.OccurrenceCount_ > 0
               ? Spec.FirstDue_ + Occurrence * Spec.Interval_
               : std::chrono::milliseconds(0);
  }
  /// \returns whether all steps that the step depends on are done and its
  /// occurrence is due at \p Wall.
  bool isStepReady(std::uint32_t Occurrence, std::uint32_t Step,
                   std::chrono::milliseconds Wall) const;
  /// \returns all tasks of the same step and occurrence as \p Member.
  std::vector<TaskName> tasksOfStep(const TaskName &Member) const;
  /// \returns the tasks that may be started.
  /// \param Now steady time, for the earliest start of each task.
  /// \param Wall time since 1970, for the due times of occurrences.
  std::vector<TaskName> startableTasks(TimePoint Now,
                                       std::chrono::milliseconds Wall) const;
  /// \returns the number of tasks that startableTasks() would return.
  std::size_t countStartableTasks(TimePoint Now,
                                  std::chrono::milliseconds Wall) const;
  /// \returns the number of runs that may exist on workers.
  std::size_t runCount() const;
  /// Called when a worker has shown that it runs a task of the job.
  void markStarted() { HasRun_ = true; }
  /// \returns whether any task has ever run.
  bool hasStarted() const { return HasRun_ || Progress_.hasStarted(); }
  /// \returns the declared run time of the longest chain of dependent steps.
  /// \param OnlyRemaining leaves out the steps that are done.
  std::chrono::milliseconds criticalPathTime(bool OnlyRemaining) const;
  /// \returns the declared work of all tasks that are not done, in
  /// core-milliseconds.
  std::int64_t remainingWork() const;
  /// \returns whether any step runs until the job is cancelled.
  bool isLongRunning() const;

  /// Merges the progress that was read from the job's row into this one.
  /// \param Version the version of that row.
  void mergeProgress(const JobProgress &Read, StoreVersion Version);

  /// Starts the wait for free resources if \p IsMissing, unless it has started
  /// already; ends it otherwise.
  void updateCapacityWait(bool IsMissing, TimePoint Now) {
    if (!IsMissing) {
      CapacityWaitSince_.reset();
      HeldBackSince_.reset();
    } else if (!CapacityWaitSince_) {
      CapacityWaitSince_ = Now;
    }
  }
  /// Records that resources are kept for other jobs.
  /// \returns since when that has been so, not counting the time before the
  /// job's last start.
  TimePoint holdBack(TimePoint Now) {
    if (!HeldBackSince_)
      HeldBackSince_ = Now;
    return *HeldBackSince_;
  }
  /// \returns since when startable tasks have waited for free resources, or
  /// nothing.
  std::optional<TimePoint> capacityWaitSince() const {
    return CapacityWaitSince_;
  }

  /// Records a change of the progress that must be stored.
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

  /// Sets the observer that is notified before each change; it must outlive the
  /// job.
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
  StoreVersion SubmissionVersion_ = 0;
  JobProgress Progress_;
  StoreVersion ProgressVersion_ = 0;
  std::uint64_t ChangeCount_ = 0;
  std::uint64_t StoredChangeCount_ = 0;
  bool IsCancelled_ = false;
  bool HasRun_ = false;
  IJobObserver *Observer_ = nullptr;
  std::optional<TimePoint> CapacityWaitSince_;
  std::optional<TimePoint> HeldBackSince_;
  /// By occurrence, step and index.
  std::vector<std::vector<std::vector<TaskRun>>> Runs_;
  /// By occurrence and step.
  std::map<std::pair<std::uint32_t, std::uint32_t>, StepRun> StepRuns_;
};

} // namespace dragonflylock

#endif
