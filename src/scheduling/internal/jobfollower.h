#ifndef DRAGONFLYLOCK_SCHEDULING_INTERNAL_JOBFOLLOWER_H
#define DRAGONFLYLOCK_SCHEDULING_INTERNAL_JOBFOLLOWER_H

#include "global/iclock.h"
#include "scheduling/internal/changestimeout.h"
#include "scheduling/internal/readwindow.h"
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

class ILogger;
class IStore;
class LogEvent;

/// Keeps up with the rows of some queues' jobs: reads each queue's part whole
/// once, and waits for changes of the tables that hold them.
class JobFollower : public std::enable_shared_from_this<JobFollower> {
public:
  using RowSink = std::function<void(const StoreRow &)>;

  /// \param Sink receives every row, some more than once.
  JobFollower(IStore &Store, const IClock &Clock, ILogger &Logger,
              RowSink Sink);

  /// Adds the queues that are not followed yet.
  void follow(const std::set<std::string> &Queues);
  /// Starts, or goes on with, what is due.
  void tick();
  /// \returns whether every queue that is followed has been read once.
  bool isLoaded() const;
  /// Adds to \p Event what has been read and how long its pages took.
  void describe(LogEvent &Event) const;

private:
  struct QueueLoad {
    bool IsLoaded_ = false;
    /// Where the next page starts.
    std::string NextKey_;
    /// The store's version at the first page.
    std::optional<StoreVersion> FirstVersion_;
    /// Changes that came before the last page, to be given again after it.
    std::vector<StoreRow> ChangesDuringLoad_;
  };
  struct FollowedTable {
    std::map<std::string, QueueLoad> Parts_;
    bool IsReading_ = false;
    /// Rows that the page under way asked for.
    std::size_t RequestedRows_ = 0;
    /// Where that page starts.
    std::string RequestedFrom_;
    bool IsPolling_ = false;
    /// Counts how often the parts were begun anew.
    std::uint64_t LoadGeneration_ = 0;
    TimePoint ReadStart_;
    TimePoint PollStart_;
    TimePoint NextRead_;
    TimePoint NextPoll_;
    ChangesTimeout ChangesTimeout_;
    /// Up to which changes are known; absent before the first read.
    std::optional<StoreVersion> Version_;
  };

  /// \returns how many tables have queues that are not read yet.
  std::size_t loadingTables() const;
  void readPage(const std::string &Table, FollowedTable &State);
  void onRead(const std::string &Table, const std::string &Queue,
              const StoreRange &Read);
  void pollChanges(const std::string &Table, FollowedTable &State);
  /// Gives a changed row to the sink, and again once its queue has been read.
  void onChange(FollowedTable &State, const StoreRow &Row);
  void onChanges(const std::string &Table, const StoreChanges &Changes);
  void restartLoad(FollowedTable &State);

  IStore &Store_;
  const IClock &Clock_;
  ILogger &Logger_;
  RowSink Sink_;
  std::map<std::string, FollowedTable> Tables_;
  /// Shared by all tables, whose pages come by the same link.
  ReadWindow ReadWindow_;
  std::uint64_t Pages_ = 0;
  std::uint64_t Rows_ = 0;
  /// Bytes of the values of these rows.
  std::uint64_t Bytes_ = 0;
  std::uint64_t ChangedRows_ = 0;
  std::uint64_t ChangedBytes_ = 0;
  /// Sum of the times from the request for a page to its answer.
  std::chrono::nanoseconds TotalReadTime_{0};
};

} // namespace dragonflylock

#endif
