#ifndef DRAGONFLYLOCK_SCHEDULING_INTERNAL_PROGRESSWRITER_H
#define DRAGONFLYLOCK_SCHEDULING_INTERNAL_PROGRESSWRITER_H

#include "scheduling/storetypes.h"

#include "global/iclock.h"

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace dragonflylock {

class ActiveJob;
class RunTracker;
struct PoolState;

/// Stores the progress of jobs in batches, with at most one transaction of each
/// partition in flight. Failed transactions are retried; rows that another
/// owner has changed are merged first.
class ProgressWriter : public std::enable_shared_from_this<ProgressWriter> {
public:
  ProgressWriter(PoolState &Pool, RunTracker &Runs)
      : Pool_(Pool), Runs_(Runs) {}

  /// Starts transactions for jobs whose progress has changed.
  void flush();

private:
  /// Most rows of one transaction. The store accepts 100 entries, and each row
  /// counts twice, as an expectation and as a new value.
  static constexpr std::size_t MaxBatchRows = 50;

  /// Ids of a transaction's jobs, each with the change count that it stores.
  using Batch = std::vector<std::pair<std::string, std::uint64_t>>;
  struct PartitionState {
    bool IsBusy_ = false;
    /// Most rows of the next transaction; fewer after a failed one, since it
    /// may have been too large for the store or the link.
    std::size_t MaxRows_ = MaxBatchRows;
    TimePoint NotBefore_;
  };

  void send(const std::string &Part, const std::vector<ActiveJob *> &Jobs);
  void onResult(const std::string &Part, const Batch &Sent,
                const StoreTransactionResult &End);
  void onStored(const Batch &Sent, StoreVersion Version);
  void onConflict(const Batch &Sent, const StoreTransactionResult &End);
  void acknowledgeStoredEnds(const ActiveJob &Job);

  PoolState &Pool_;
  RunTracker &Runs_;
  std::map<std::string, PartitionState> Parts_;
};

} // namespace dragonflylock

#endif
