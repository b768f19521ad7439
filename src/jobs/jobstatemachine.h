#ifndef DRAGONFLYLOCK_JOBS_JOBSTATEMACHINE_H
#define DRAGONFLYLOCK_JOBS_JOBSTATEMACHINE_H

#include "global/iclock.h"
#include "jobs/jobtypes.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace dragonflylock {

/// How long a job's row must stand unchanged before its holder counts as
/// gone. Each entry instance observes this by its own monotonic clock.
inline constexpr std::chrono::seconds JobLeaseDuration{6};
/// How often a holder renews its lease.
inline constexpr std::chrono::seconds JobRenewalInterval{2};
/// Offers in vain after which a job ends.
inline constexpr std::uint64_t MaxJobAttempts = 5;

/// How one run of a job ended.
struct JobRunResult {
  /// Whether there is an answer of an endpoint.
  bool IsAnswered_ = false;
  HttpAnswer Answer_;
  /// Kind of the failure, and "not-run" or "unknown".
  std::string Failure_;
  std::string Outcome_;
};

/// The changes of a job's row: pure functions from one row to the next. Each
/// is written under the condition that the row is as it was read, so that of
/// two entry instances that race one has no effect.
class JobStateMachine {
public:
  /// \param Self the name of this entry instance.
  explicit JobStateMachine(std::string Self);

  /// Notes the row as read, and tells whether it has stood for
  /// JobLeaseDuration. \param Observed what was noted of this job before; is
  /// updated.
  struct Observation {
    std::uint64_t Epoch_ = 0;
    std::uint64_t Renewals_ = 0;
    TimePoint Since_;
  };
  bool hasLeaseExpired(const JobRecord &Row,
                       std::optional<Observation> &Observed,
                       TimePoint Now) const;

  /// \returns the row by which this entry instance takes up a queued job, or
  /// one whose holder is gone. A job that is not idempotent and may have run
  /// ends as unknown instead.
  JobRecord acquire(const JobRecord &Row) const;
  /// \returns the row with a renewed lease.
  JobRecord renew(const JobRecord &Row) const;
  /// \returns the row after a run: answered, queued again, or failed.
  JobRecord finish(const JobRecord &Row, const JobRunResult &RunResult) const;
  /// \returns the cancelled row, nothing where the job has ended.
  std::optional<JobRecord> cancel(const JobRecord &Row) const;

  /// \returns whether the job has ended.
  static bool hasEnded(const JobRecord &Row);

private:
  std::string Self_;
};

} // namespace dragonflylock

#endif
