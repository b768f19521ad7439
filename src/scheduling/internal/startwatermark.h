#ifndef DRAGONFLYLOCK_SCHEDULING_INTERNAL_STARTWATERMARK_H
#define DRAGONFLYLOCK_SCHEDULING_INTERNAL_STARTWATERMARK_H

#include "global/iclock.h"
#include "scheduling/schedulingtypes.h"
#include "scheduling/storetypes.h"

#include <memory>

namespace dragonflylock {

struct PoolState;
struct StoreRange;
struct WatermarkRow;

/// Maintains the stored version up to which the owner may start jobs: a job
/// starts only once a version that is not lower than that of its submission has
/// been stored. So the next owner knows that no later job has been started,
/// even if this one is lost without notice, and starts these jobs at once while
/// some workers are cut off.
///
/// A write covers all jobs that are known when it is sent, so that there is at
/// most one in flight. Jobs only arrive while the store is there.
class StartWatermark : public std::enable_shared_from_this<StartWatermark> {
public:
  /// \param Predecessor token of the previous owner of the pool; 0 if there was
  ///   none or it is not known.
  StartWatermark(PoolState &Pool, FencingToken Predecessor)
      : Pool_(Pool), Predecessor_(Predecessor) {}

  /// Reads the row once, then writes it whenever later jobs have arrived.
  /// \param AreJobsLoaded whether all jobs are known that were submitted before
  ///   this owner acquired the pool.
  void tick(bool AreJobsLoaded);
  bool isLoaded() const { return IsLoaded_; }

private:
  void load();
  void onLoaded(const StoreRange &Read);
  void write();
  void onWritten(const WatermarkRow &Written,
                 const StoreTransactionResult &Result);
  /// Allows the jobs up to the stored version to start.
  void confirm(StoreVersion Stored);

  PoolState &Pool_;
  const FencingToken Predecessor_;
  bool IsLoaded_ = false;
  bool IsBusy_ = false;
  TimePoint NextCall_;
  TimePoint LoadStart_;
  /// Version of the row itself.
  StoreVersion RowVersion_ = 0;
};

} // namespace dragonflylock

#endif
