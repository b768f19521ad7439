#ifndef DRAGONFLYLOCK_JOBS_JOBTYPES_H
#define DRAGONFLYLOCK_JOBS_JOBTYPES_H

#include "http/httptypes.h"

#include <cstdint>
#include <string>

namespace dragonflylock {

/// How far a job has come.
enum class JobState {
  /// Nobody runs it.
  Queued,
  /// Its holder runs it.
  Running,
  /// Its answer is kept.
  Answered,
  /// It ended without an answer; Failure_ says why.
  Failed,
  Cancelled,
};

/// The row of an asynchronous job.
struct JobRecord {
  JobState State_ = JobState::Queued;
  /// The request as the caller sent it.
  HttpRequest Request_;
  /// Digest of the request, to recognise a repeat.
  std::string Fingerprint_;
  /// Whether it may run again after its holder was lost.
  bool IsIdempotent_ = false;
  /// The entry instance that runs it.
  std::string Holder_;
  /// Higher each time that it is taken up.
  std::uint64_t Epoch_ = 0;
  /// Higher each time that the holder renews its lease.
  std::uint64_t Renewals_ = 0;
  /// How often it was offered to an endpoint in vain.
  std::uint64_t Attempts_ = 0;
  /// Calendar time in milliseconds since 1970 at which the job ended.
  std::int64_t EndedMs_ = 0;
  /// Kind of the failure, and "not-run" or "unknown".
  std::string Failure_;
  std::string Outcome_;
  HttpAnswer Answer_;
};

} // namespace dragonflylock

#endif
