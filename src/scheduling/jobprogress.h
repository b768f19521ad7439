#ifndef DRAGONFLYLOCK_SCHEDULING_JOBPROGRESS_H
#define DRAGONFLYLOCK_SCHEDULING_JOBPROGRESS_H

#include "scheduling/schedulingtypes.h"

#include <string>
#include <vector>

namespace dragonflylock {

/// Durable progress of one task: it must survive the loss of every process that
/// works on the task.
struct TaskProgress {
  bool IsDone_ = false;
  /// Numbers of the runs that failed, without duplicates.
  std::vector<RunNumber> FailedRuns_;
  /// Numbers of the runs whose worker crashed shortly after it had started
  /// them, without duplicates.
  std::vector<RunNumber> CrashedRuns_;
  /// Checkpoint from which the next run resumes; empty to start from the
  /// beginning.
  std::string Checkpoint_;

  bool operator==(const TaskProgress &) const = default;
  /// Records a failed run once, however often it is reported.
  void recordFailure(RunNumber Run);
  /// Records once that the worker crashed shortly after it had started the run.
  void recordCrash(RunNumber Run);
};

/// Durable progress of a job: its state, and the tasks that are done or have
/// failed. It must survive the loss of every process that works on the job.
class JobProgress {
public:
  JobProgress() = default;
  /// \param Spec gives the number of occurrences, steps and tasks.
  explicit JobProgress(const JobSpec &Spec);

  /// \returns the task's progress. The job must contain the task, see
  /// contains().
  TaskProgress &task(const TaskName &Name);
  const TaskProgress &task(const TaskName &Name) const;
  /// \returns whether the job has a task of that name.
  bool contains(const TaskName &Name) const;
  /// \returns whether all tasks of the step are done.
  bool isStepDone(std::uint32_t Occurrence, std::uint32_t Step) const;
  /// \returns whether all tasks of all occurrences are done.
  bool areAllDone() const;
  /// \returns whether a task is done, has failed or has left a checkpoint. A
  /// run whose worker crashed counts for nothing, as its start may have been
  /// under way.
  bool hasStarted() const;

  JobPhase state() const { return State_; }
  void setState(JobPhase State) { State_ = State; }

  /// Merges \p Other into this progress. Done tasks and failed runs are only
  /// ever added, so that they do not depend on the order of two writers.
  void merge(const JobProgress &Other);

  /// \returns the value of the progress row, as compact JSON.
  std::string encode() const;
  /// Reads a value that encode() wrote.
  /// \returns whether it could be read; if not, the progress is unchanged.
  bool decode(const std::string &Text);

private:
  using StepTasks = std::vector<TaskProgress>;

  JobPhase State_ = JobPhase::Queued;
  /// By occurrence and step.
  std::vector<std::vector<StepTasks>> Tasks_;
};

} // namespace dragonflylock

#endif
