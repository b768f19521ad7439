#include "scheduling/internal/jobregistry.h"
#include "global/ilogger.h"
#include "global/logevent.h"
#include "scheduling/internal/poolstate.h"
#include "scheduling/internal/runtracker.h"
#include "scheduling/istore.h"
#include "scheduling/jobrows.h"

#include <algorithm>

namespace dragonflylock {
namespace {

/// Time for which rows are kept beyond the status retention of an ended job,
/// since nodes learn of its end at different times.
constexpr std::chrono::milliseconds RetentionMargin{10000};

} // namespace

void JobRegistry::onRow(const StoreRow &Row) {
  std::string Id = jobrows::jobOf(Row.Name_);
  auto Kind = jobrows::kindOf(Row.Name_);
  if (!Kind || Row.IsRemoved_ || EndedIds_.contains(Id))
    return;
  if (*Kind == JobRowKind::Submission) {
    onSubmission(Id, Row);
    return;
  }
  ActiveJob *Job = Pool_.job(Id);
  if (Job == nullptr)
    return;
  if (*Kind == JobRowKind::Progress)
    onProgress(*Job, Row);
  else
    onCancellation(*Job);
}

void JobRegistry::onSubmission(const std::string &Id, const StoreRow &Row) {
  if (Pool_.job(Id) != nullptr)
    return;
  auto Stored = jobrowcodec::decode(Row.Value_);
  if (!Stored) {
    if (auto Withdrawn = jobrowcodec::decodeWithdrawn(Row.Value_)) {
      if (Withdrawn->Pool_ == Pool_.Pool_)
        removeRowsLater(Id, Withdrawn->Queue_, Row.Version_);
      return;
    }
    Pool_.Logger_.write(LogLevel::Error,
                        LogEvent("job.unreadable")
                            .with("job", Id)
                            .with("error", Stored.error().message()));
    return;
  }
  if (Stored.value().Pool_ != Pool_.Pool_)
    return;
  Pool_.addJob(
      std::make_unique<ActiveJob>(Id, std::move(Stored).value(), Row.Version_));
  Pool_.LatestSubmission_ = std::max(Pool_.LatestSubmission_, Row.Version_);
  Pool_.NeedsDispatch_ = true;
}

void JobRegistry::onProgress(ActiveJob &Job, const StoreRow &Row) {
  if (Row.Version_ <= Job.progressVersion())
    return;
  JobProgress Read(Job.submission().Spec_);
  if (Read.decode(Row.Value_)) {
    Job.mergeProgress(Read, Row.Version_);
    // The progress that two owners recorded may only together complete or fail
    // the job.
    Runs_.updateJobState(Job);
    return;
  }
  Pool_.Logger_.write(LogLevel::Error,
                      LogEvent("progress.unreadable").with("job", Job.id()));
  Job.setProgressVersion(Row.Version_);
}

void JobRegistry::onCancellation(ActiveJob &Job) {
  if (Job.isCancelled())
    return;
  Job.cancel();
  Runs_.updateJobState(Job);
  Pool_.NeedsDispatch_ = true;
}

bool JobRegistry::removeEndedJobs() {
  Pool_.Index_.refresh();
  const JobIndex::JobSet Removable = Pool_.Index_.removable();
  for (ActiveJob *Job : Removable) {
    removeRowsLater(Job->id(), Job->submission().Queue_,
                    Job->submissionVersion());
    Pool_.removeJob(*Job);
  }
  removeOldRows();
  return !Removable.empty();
}

void JobRegistry::removeRowsLater(const std::string &Id,
                                  const std::string &Queue,
                                  StoreVersion Submission) {
  EndedIds_.insert(Id);
  EndedJobs_.push_back({Id, Queue, Submission,
                        Pool_.Clock_.now() + Pool_.Settings_.StatusRetention_ +
                            RetentionMargin});
}

void JobRegistry::removeOldRows() {
  if (EndedJobs_.empty() || EndedJobs_.front().RemoveAt_ > Pool_.Clock_.now() ||
      !Pool_.holdsLease())
    return;
  EndedJob Oldest = EndedJobs_.front();
  EndedJobs_.pop_front();
  EndedIds_.erase(Oldest.Job_);
  StoreTransaction Transaction;
  // The id may be in use again when a late removal is applied.
  Transaction.Expected_ = {
      {jobrows::keyOf(Oldest.Queue_, Oldest.Job_, JobRowKind::Submission),
       Oldest.Submission_}};
  for (JobRowKind Kind :
       {JobRowKind::Submission, JobRowKind::Progress, JobRowKind::Cancellation})
    Transaction.Removals_.push_back(
        jobrows::keyOf(Oldest.Queue_, Oldest.Job_, Kind));
  // If the removal fails, a later owner loads the job as ended and removes its
  // rows.
  Pool_.Store_.transact(std::move(Transaction),
                        [](const StoreTransactionResult &) {});
}

} // namespace dragonflylock
