#include "jobs/jobstatemachine.h"

namespace dragonflylock {
namespace {

constexpr const char *NotRun = "not-run";
constexpr const char *Unknown = "unknown";

JobRecord failed(JobRecord Row, const std::string &Failure,
                 const std::string &Outcome) {
  Row.State_ = JobState::Failed;
  Row.Failure_ = Failure;
  Row.Outcome_ = Outcome;
  return Row;
}

} // namespace

JobStateMachine::JobStateMachine(std::string Self) : Self_(std::move(Self)) {}

bool JobStateMachine::hasEnded(const JobRecord &Row) {
  return Row.State_ != JobState::Queued && Row.State_ != JobState::Running;
}

bool JobStateMachine::hasLeaseExpired(const JobRecord &Row,
                                      std::optional<Observation> &Observed,
                                      TimePoint Now) const {
  bool IsUnchanged = Observed && Observed->Epoch_ == Row.Epoch_ &&
                     Observed->Renewals_ == Row.Renewals_;
  if (!IsUnchanged)
    Observed = Observation{Row.Epoch_, Row.Renewals_, Now};
  return Row.State_ == JobState::Running &&
         Now - Observed->Since_ >= JobLeaseDuration;
}

JobRecord JobStateMachine::acquire(const JobRecord &Row) const {
  if (Row.State_ == JobState::Running && !Row.IsIdempotent_)
    return failed(Row, "holder-lost", Unknown);
  JobRecord Next = Row;
  Next.State_ = JobState::Running;
  Next.Holder_ = Self_;
  ++Next.Epoch_;
  return Next;
}

JobRecord JobStateMachine::renew(const JobRecord &Row) const {
  JobRecord Next = Row;
  ++Next.Renewals_;
  return Next;
}

JobRecord JobStateMachine::finish(const JobRecord &Row,
                                  const JobRunResult &RunResult) const {
  JobRecord Next = Row;
  if (RunResult.IsAnswered_) {
    Next.State_ = JobState::Answered;
    Next.Answer_ = RunResult.Answer_;
    return Next;
  }
  bool MayHaveRun = RunResult.Outcome_ != NotRun;
  if (MayHaveRun && !Row.IsIdempotent_)
    return failed(Next, RunResult.Failure_, Unknown);
  ++Next.Attempts_;
  if (Next.Attempts_ >= MaxJobAttempts)
    return failed(Next, RunResult.Failure_, RunResult.Outcome_);
  Next.State_ = JobState::Queued;
  Next.Holder_.clear();
  return Next;
}

std::optional<JobRecord> JobStateMachine::cancel(const JobRecord &Row) const {
  if (hasEnded(Row))
    return std::nullopt;
  JobRecord Next = Row;
  Next.State_ = JobState::Cancelled;
  Next.Outcome_ =
      Row.State_ == JobState::Queued && Row.Epoch_ == 0 ? NotRun : Unknown;
  return Next;
}

} // namespace dragonflylock
