#ifndef DRAGONFLYLOCK_SCHEDULING_INTERNAL_JOBFEED_H
#define DRAGONFLYLOCK_SCHEDULING_INTERNAL_JOBFEED_H

#include "global/iclock.h"
#include "scheduling/storetypes.h"

#include <functional>
#include <memory>

namespace dragonflylock {

class IStore;

/// Follows the changes of all jobs while this node owns a pool.
class JobFeed : public std::enable_shared_from_this<JobFeed> {
public:
  using RowSink = std::function<void(const StoreRow &)>;
  using Reload = std::function<void()>;

  /// \param OnHistoryLost is called where changes were missed; the jobs are
  /// to be read again, and start() called again.
  JobFeed(IStore &Store, const IClock &Clock, RowSink Sink,
          Reload OnHistoryLost);

  /// Follows from \p After on, unless it follows already.
  void start(StoreVersion After);
  void stop() { IsRunning_ = false; }
  void tick();

private:
  void onChanges(const StoreChanges &Changes);

  IStore &Store_;
  const IClock &Clock_;
  RowSink Sink_;
  Reload OnHistoryLost_;
  bool IsRunning_ = false;
  bool IsBusy_ = false;
  TimePoint NotBefore_;
  StoreVersion Version_ = 0;
};

} // namespace dragonflylock

#endif
