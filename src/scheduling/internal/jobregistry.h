#ifndef DRAGONFLYLOCK_SCHEDULING_INTERNAL_JOBREGISTRY_H
#define DRAGONFLYLOCK_SCHEDULING_INTERNAL_JOBREGISTRY_H

#include "scheduling/schedulingtypes.h"
#include "scheduling/storetypes.h"

#include <deque>
#include <set>
#include <string>

namespace dragonflylock {

class ActiveJob;
class RunBook;
struct PoolState;

/// Turns rows of jobs into the jobs of a pool, and forgets those that have
/// ended.
class JobRegistry {
public:
  JobRegistry(PoolState &Pool, RunBook &Runs) : Pool_(Pool), Runs_(Runs) {}

  /// Takes in a row; rows of other pools' jobs are passed over.
  void onRow(const StoreRow &Row);
  /// Forgets jobs whose end is stored and which run nowhere, and removes the
  /// rows of those that ended long ago.
  /// \returns whether a job was forgotten.
  bool removeEndedJobs();

private:
  struct EndedJob {
    std::string Job_;
    std::string Queue_;
    TimePoint RemoveAt_;
  };

  void onSubmission(const std::string &Id, const StoreRow &Row);
  void onProgress(ActiveJob &Job, const StoreRow &Row);
  void onCancellation(ActiveJob &Job);
  void removeOldRows();

  PoolState &Pool_;
  RunBook &Runs_;
  /// Jobs that have ended here, whose rows may still be reported.
  std::set<std::string> EndedIds_;
  std::deque<EndedJob> EndedJobs_;
};

} // namespace dragonflylock

#endif
