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

/// Follows the job rows of a set of queues: reads all rows of each queue's part
/// once, and waits for changes of the tables that hold the parts.
class JobFollower : public std::enable_shared_from_this<JobFollower> {
public:
  using RowSink = std::function<void(const StoreRow &)>;

  /// \param Sink receives every row; some rows are delivered more than once.
  JobFollower(IStore &Store, const IClock &Clock, ILogger &Logger,
              RowSink Sink);

  /// Starts to follow those of the queues that are not followed yet.
  void follow(const std::set<std::string> &Queues);
  /// Sends the requests for pages and changes that are due.
  void tick();
  /// \returns whether all rows of every followed queue have been read.
  bool isLoaded() const;
  /// \returns the time since the store last reported the changes of the table
  /// for which that was longest ago.
  std::chrono::nanoseconds changesAge() const;
  /// Adds to \p Event how much has been read and how long the pages took.
  void describe(LogEvent &Event) const;

private:
  struct QueueLoad {
    bool IsLoaded_ = false;
    /// Key at which the next page starts.
    std::string NextKey_;
    /// Version of the store at the first page.
    std::optional<StoreVersion> FirstVersion_;
    /// Changes received before the last page, to be delivered again after it.
    std::vector<StoreRow> ChangesDuringLoad_;
  };
  struct FollowedTable {
    std::map<std::string, QueueLoad> Parts_;
    bool IsReading_ = false;
    /// Number of rows requested with the current page.
    std::size_t RequestedRows_ = 0;
    /// Key at which that page starts.
    std::string RequestedFrom_;
    bool IsPolling_ = false;
    /// Number of times that the load of the parts was restarted.
    std::uint64_t LoadGeneration_ = 0;
    TimePoint ReadStart_;
    TimePoint PollStart_;
    /// When changes were last received, or the table was first followed.
    TimePoint ChangesReceivedAt_;
    TimePoint NextRead_;
    TimePoint NextPoll_;
    ChangesTimeout ChangesTimeout_;
    /// Version up to which changes are known; unset before the first page.
    std::optional<StoreVersion> Version_;
  };

  /// \returns the number of tables with queues that are not fully read yet.
  std::size_t loadingTables() const;
  void readPage(const std::string &Table, FollowedTable &State);
  void onRead(const std::string &Table, const std::string &Queue,
              const StoreRange &Read);
  void pollChanges(const std::string &Table, FollowedTable &State);
  /// Delivers a changed row to the sink, and again once its queue has been
  /// read if that is not complete yet.
  void onChange(FollowedTable &State, const StoreRow &Row);
  void onChanges(const std::string &Table, const StoreChanges &Changes);
  void restartLoad(FollowedTable &State);

  IStore &Store_;
  const IClock &Clock_;
  ILogger &Logger_;
  RowSink Sink_;
  std::map<std::string, FollowedTable> Tables_;
  /// Shared by all tables, because their pages use the same link.
  ReadWindow ReadWindow_;
  std::uint64_t Pages_ = 0;
  std::uint64_t Rows_ = 0;
  /// Total size of the values of these rows.
  std::uint64_t Bytes_ = 0;
  std::uint64_t ChangedRows_ = 0;
  std::uint64_t ChangedBytes_ = 0;
  /// Sum of the times from the request for a page to its response.
  std::chrono::nanoseconds TotalReadTime_{0};
};

} // namespace dragonflylock

#endif
