#ifndef DRAGONFLYLOCK_SCHEDULING_JOBPROGRESS_H
#define DRAGONFLYLOCK_SCHEDULING_JOBPROGRESS_H

#include "scheduling/schedulingtypes.h"

#include <string>
#include <vector>

namespace dragonflylock {

/// What must outlive every process of one task.
struct TaskProgress {
  bool IsDone_ = false;
  /// Starts whose end was a failure, without repetitions.
  std::vector<RunNumber> FailedRuns_;
  /// Where the next run resumes; empty for the beginning.
  std::string Checkpoint_;

  bool operator==(const TaskProgress &) const = default;
  /// Notes a failed run once, however often it is reported.
  void recordFailure(RunNumber Run);
};

/// What must outlive every process of a job: its ends, failures and state.
class JobProgress {
public:
  JobProgress() = default;
  /// \param Spec gives the number of occurrences, steps and tasks.
  explicit JobProgress(const JobSpec &Spec);

  /// \returns the task's progress; the name must be within the job's sizes.
  TaskProgress &task(const TaskName &Name);
  const TaskProgress &task(const TaskName &Name) const;
  /// \returns whether the job has such a task.
  bool contains(const TaskName &Name) const;
  /// \returns whether all tasks of the step have ended as done.
  bool isStepDone(std::uint32_t Occurrence, std::uint32_t Step) const;
  /// \returns whether all tasks of all occurrences have ended as done.
  bool areAllDone() const;

  JobPhase state() const { return State_; }
  void setState(JobPhase State) { State_ = State; }

  /// Adds what \p Other knows: facts are only ever added, so that the result
  /// of two writers does not depend on their order.
  void merge(const JobProgress &Other);

  /// \returns a compact text for a row.
  std::string encode() const;
  /// Reads such a text.
  /// \returns whether it could be read; nothing changes where it could not.
  bool decode(const std::string &Text);

private:
  using StepTasks = std::vector<TaskProgress>;

  JobPhase State_ = JobPhase::Queued;
  /// By occurrence and step.
  std::vector<std::vector<StepTasks>> Tasks_;
};

} // namespace dragonflylock

#endif
