#ifndef DRAGONFLYLOCK_SCHEDULING_INTERNAL_JOBRANK_H
#define DRAGONFLYLOCK_SCHEDULING_INTERNAL_JOBRANK_H

#include <cstdint>

namespace dragonflylock {

class ActiveJob;

/// Whether a job can still meet its objective.
enum class Lateness : std::uint8_t {
  InTime,
  Late,
  /// The job will end after three times its objective and is worth nothing any
  /// more. Told apart only where jobs are refused under pressure.
  Worthless,
};

/// A job's position in the dispatch order of its pool; the smallest goes first.
/// Long-running jobs come before those that end by themselves.
struct JobRank {
  bool IsBatch_ = false;
  std::uint32_t Priority_ = 0;
  Lateness Lateness_ = Lateness::InTime;
  std::int64_t Urgency_ = 0;
  ActiveJob *Job_ = nullptr;

  bool operator<(const JobRank &Other) const;
};

} // namespace dragonflylock

#endif
