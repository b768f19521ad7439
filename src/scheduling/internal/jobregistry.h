#ifndef DRAGONFLYLOCK_SCHEDULING_INTERNAL_JOBREGISTRY_H
#define DRAGONFLYLOCK_SCHEDULING_INTERNAL_JOBREGISTRY_H

#include "scheduling/schedulingtypes.h"
#include "scheduling/storetypes.h"

#include <deque>
#include <set>
#include <string>

namespace dragonflylock {

class ActiveJob;
class RunTracker;
struct PoolState;

/// Creates and updates the jobs of a pool from their rows in the store, and
/// removes the jobs that have ended.
class JobRegistry {
public:
  JobRegistry(PoolState &Pool, RunTracker &Runs) : Pool_(Pool), Runs_(Runs) {}

  /// Applies a row; ignores rows of jobs of other pools.
  void onRow(const StoreRow &Row);
  /// Removes the jobs whose end is stored and which have no runs on workers
  /// from memory. Deletes the rows of ended jobs after the retention period.
  /// \returns whether a job was removed from memory.
  bool removeEndedJobs();

private:
  struct EndedJob {
    std::string Job_;
    std::string Queue_;
    /// Version of its submission row.
    StoreVersion Submission_ = 0;
    TimePoint RemoveAt_;
  };

  void onSubmission(const std::string &Id, const StoreRow &Row);
  void onProgress(ActiveJob &Job, const StoreRow &Row);
  void onCancellation(ActiveJob &Job);
  /// Ignores the job's rows from now on and removes them after the retention
  /// period.
  void removeRowsLater(const std::string &Id, const std::string &Queue,
                       StoreVersion Submission);
  void removeOldRows();

  PoolState &Pool_;
  RunTracker &Runs_;
  /// Jobs that have been removed from memory, but whose rows may still be
  /// reported.
  std::set<std::string> EndedIds_;
  std::deque<EndedJob> EndedJobs_;
};

} // namespace dragonflylock

#endif
