#ifndef DRAGONFLYLOCK_JOBS_JOBSTATEMACHINE_H
#define DRAGONFLYLOCK_JOBS_JOBSTATEMACHINE_H

#include "global/iclock.h"
#include "jobs/jobtypes.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace dragonflylock {

/// A running job's lease expires when its row has not been renewed for this
/// time. Each entry instance measures it by its own monotonic clock.
inline constexpr std::chrono::seconds JobLeaseDuration{6};
/// Interval at which the holder of a job renews its lease.
inline constexpr std::chrono::seconds JobRenewalInterval{2};
/// Number of unsuccessful runs after which a job fails.
inline constexpr std::uint64_t MaxJobAttempts = 5;

/// Result of one run of a job.
struct JobRunResult {
  /// Whether an endpoint answered; the response is in Answer_.
  bool IsAnswered_ = false;
  HttpAnswer Answer_;
  /// Kind of the failure, if there is no response.
  std::string Failure_;
  /// "not-run" or "unknown", if there is no response.
  std::string Outcome_;
};

/// State transitions of a job, as pure functions from its current row to the
/// next. The new row is written on condition that the row has not changed since
/// it was read, so that only one of two racing entry instances succeeds.
class JobStateMachine {
public:
  /// \param Self the name of this entry instance.
  explicit JobStateMachine(std::string Self);

  /// The lease of a job as last read, and when it was first seen in that state.
  struct Observation {
    std::uint64_t Epoch_ = 0;
    std::uint64_t Renewals_ = 0;
    TimePoint Since_;
  };
  /// \returns whether the job is running and its lease has not been renewed for
  /// JobLeaseDuration.
  /// \param Observed the last observation of this job; is updated if the lease
  /// has changed.
  bool hasLeaseExpired(const JobRecord &Row,
                       std::optional<Observation> &Observed,
                       TimePoint Now) const;

  /// \returns the row by which this entry instance acquires a queued job, or a
  /// running job whose lease has expired. A running job that is not idempotent
  /// fails with outcome "unknown" instead, since it may have run.
  JobRecord acquire(const JobRecord &Row) const;
  /// \returns the row with a renewed lease.
  JobRecord renew(const JobRecord &Row) const;
  /// \returns the row after a run: answered, queued again, or failed.
  JobRecord finish(const JobRecord &Row, const JobRunResult &RunResult) const;
  /// \returns the cancelled row, std::nullopt if the job has already ended.
  std::optional<JobRecord> cancel(const JobRecord &Row) const;

  /// \returns whether the job is answered, failed or cancelled.
  static bool hasEnded(const JobRecord &Row);

private:
  std::string Self_;
};

} // namespace dragonflylock

#endif
