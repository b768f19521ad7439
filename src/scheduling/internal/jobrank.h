#ifndef DRAGONFLYLOCK_SCHEDULING_INTERNAL_JOBRANK_H
#define DRAGONFLYLOCK_SCHEDULING_INTERNAL_JOBRANK_H

#include <cstdint>

namespace dragonflylock {

class ActiveJob;

/// A job's position in the dispatch order of its pool; the smallest goes first.
/// Long-running jobs come before those that end by themselves.
struct JobRank {
  bool IsBatch_ = false;
  std::uint32_t Priority_ = 0;
  bool IsLate_ = false;
  std::int64_t Urgency_ = 0;
  ActiveJob *Job_ = nullptr;

  bool operator<(const JobRank &Other) const;
};

} // namespace dragonflylock

#endif
