#ifndef DRAGONFLYLOCK_SCHEDULING_INTERNAL_JOBFOLLOWER_H
#define DRAGONFLYLOCK_SCHEDULING_INTERNAL_JOBFOLLOWER_H

#include "global/iclock.h"
#include "scheduling/storetypes.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace dragonflylock {

class IStore;

/// Keeps up with the rows of some queues' jobs: reads each queue's part whole
/// once, and waits for changes of the tables that hold them.
class JobFollower : public std::enable_shared_from_this<JobFollower> {
public:
  using RowSink = std::function<void(const StoreRow &)>;

  /// \param Sink receives every row, some more than once.
  JobFollower(IStore &Store, const IClock &Clock, RowSink Sink);

  /// Adds the queues that are not followed yet.
  void follow(const std::set<std::string> &Queues);
  /// Starts, or goes on with, what is due.
  void tick();
  /// \returns whether every queue that is followed has been read once.
  bool isLoaded() const;

private:
  struct QueuePart {
    bool IsRead_ = false;
    /// Where the next page starts.
    std::string From_;
    /// The store's version at the first page.
    std::optional<StoreVersion> FirstVersion_;
    /// Changes that came before the last page, to be given again after it.
    std::vector<StoreRow> Early_;
  };
  struct FollowedTable {
    std::map<std::string, QueuePart> Parts_;
    bool IsReading_ = false;
    bool IsAwaiting_ = false;
    /// Counts how often the parts were begun anew.
    std::uint64_t Pass_ = 0;
    TimePoint NextRead_;
    TimePoint NextAwait_;
    /// Up to which changes are known; absent before the first read.
    std::optional<StoreVersion> Version_;
  };

  void read(const std::string &Table, FollowedTable &State);
  void onRead(const std::string &Table, const std::string &Queue,
              const StoreRange &Read);
  void await(const std::string &Table, FollowedTable &State);
  /// Gives a changed row to the sink, and again once its queue has been read.
  void onChange(FollowedTable &State, const StoreRow &Row);
  void onChanges(const std::string &Table, const StoreChanges &Changes);
  void readAgain(FollowedTable &State);

  IStore &Store_;
  const IClock &Clock_;
  RowSink Sink_;
  std::map<std::string, FollowedTable> Tables_;
};

} // namespace dragonflylock

#endif
