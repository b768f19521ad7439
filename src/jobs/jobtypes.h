#ifndef DRAGONFLYLOCK_JOBS_JOBTYPES_H
#define DRAGONFLYLOCK_JOBS_JOBTYPES_H

#include "http/httptypes.h"

#include <cstdint>
#include <string>

namespace dragonflylock {

/// State of a job.
enum class JobState {
  /// No entry instance runs it.
  Queued,
  /// Its holder runs it.
  Running,
  /// It ended with a response, which is stored.
  Answered,
  /// It ended without a response; Failure_ holds the reason.
  Failed,
  Cancelled,
};

/// The table row of an asynchronous job.
struct JobRecord {
  JobState State_ = JobState::Queued;
  /// The request as the caller sent it.
  HttpRequest Request_;
  /// Digest of the request, by which a repeat is recognised.
  std::string Fingerprint_;
  /// Whether the request may run again if it may have run before.
  bool IsIdempotent_ = false;
  /// The entry instance that holds the job's lease.
  std::string Holder_;
  /// Incremented each time that an entry instance acquires the job.
  std::uint64_t Epoch_ = 0;
  /// Incremented each time that the holder renews its lease.
  std::uint64_t Renewals_ = 0;
  /// Number of runs that ended without a response and could be repeated safely.
  std::uint64_t Attempts_ = 0;
  /// Wall-clock time at which the job ended, in milliseconds since the Unix
  /// epoch.
  std::int64_t EndedMs_ = 0;
  /// Kind of the failure, if the job failed.
  std::string Failure_;
  /// "not-run" or "unknown", if the job failed or was cancelled.
  std::string Outcome_;
  HttpAnswer Answer_;
};

} // namespace dragonflylock

#endif
