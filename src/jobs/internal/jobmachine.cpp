#include "jobs/jobmachine.h"

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

JobMachine::JobMachine(std::string Self) : Self_(std::move(Self)) {}

bool JobMachine::hasEnded(const JobRecord &Row) {
  return Row.State_ != JobState::Queued && Row.State_ != JobState::Running;
}

bool JobMachine::isHolderGone(const JobRecord &Row,
                              std::optional<Observation> &Seen,
                              TimePoint Now) const {
  bool IsUnchanged =
      Seen && Seen->Epoch_ == Row.Epoch_ && Seen->Renewals_ == Row.Renewals_;
  if (!IsUnchanged)
    Seen = Observation{Row.Epoch_, Row.Renewals_, Now};
  return Row.State_ == JobState::Running && Now - Seen->Since_ >= JobLease;
}

JobRecord JobMachine::takeUp(const JobRecord &Row) const {
  if (Row.State_ == JobState::Running && !Row.IsIdempotent_)
    return failed(Row, "holder-lost", Unknown);
  JobRecord Next = Row;
  Next.State_ = JobState::Running;
  Next.Holder_ = Self_;
  ++Next.Epoch_;
  return Next;
}

JobRecord JobMachine::renew(const JobRecord &Row) const {
  JobRecord Next = Row;
  ++Next.Renewals_;
  return Next;
}

JobRecord JobMachine::finish(const JobRecord &Row, const JobRunEnd &End) const {
  JobRecord Next = Row;
  if (End.IsAnswered_) {
    Next.State_ = JobState::Answered;
    Next.Answer_ = End.Answer_;
    return Next;
  }
  bool MayHaveRun = End.Outcome_ != NotRun;
  if (MayHaveRun && !Row.IsIdempotent_)
    return failed(Next, End.Failure_, Unknown);
  ++Next.Attempts_;
  if (Next.Attempts_ >= MostJobAttempts)
    return failed(Next, End.Failure_, End.Outcome_);
  Next.State_ = JobState::Queued;
  Next.Holder_.clear();
  return Next;
}

std::optional<JobRecord> JobMachine::cancel(const JobRecord &Row) const {
  if (hasEnded(Row))
    return std::nullopt;
  JobRecord Next = Row;
  Next.State_ = JobState::Cancelled;
  Next.Outcome_ =
      Row.State_ == JobState::Queued && Row.Epoch_ == 0 ? NotRun : Unknown;
  return Next;
}

} // namespace dragonflylock
