#ifndef DRAGONFLYLOCK_SCHEDULING_TABLEFOLLOWER_H
#define DRAGONFLYLOCK_SCHEDULING_TABLEFOLLOWER_H

#include "global/iclock.h"
#include "scheduling/storetypes.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace dragonflylock {

class ChangesTimeout;
class ILogger;
class IStore;
class ReadWindow;

/// Keeps up with one part of a table: reads it whole, then waits for changes;
/// reads it whole again where the store's history is lost.
class TableFollower : public std::enable_shared_from_this<TableFollower> {
public:
  /// Receives rows; \p IsSnapshot tells that rows not among them do not exist.
  using RowSink =
      std::function<void(const std::vector<StoreRow> &Rows, bool IsSnapshot)>;

  /// \param Part the part to read; changes of other parts are passed over.
  /// \param BatchDelay time between two answers, in which changes gather.
  TableFollower(IStore &Store, const IClock &Clock, ILogger &Logger,
                std::string Table, std::string Part,
                std::chrono::milliseconds BatchDelay, RowSink Sink);

  ~TableFollower();

  /// Starts, or goes on with, what is due.
  void tick();
  /// \returns when the store last answered.
  TimePoint lastResponse() const { return LastResponse_; }
  /// \returns whether the table was read whole.
  bool isLoaded() const { return IsLoaded_; }

private:
  /// \returns where the next page starts.
  std::string nextKey() const;
  void readPage();
  void onRead(const StoreRange &Read);
  void pollChanges();
  void onChanges(const StoreChanges &Changes);

  IStore &Store_;
  const IClock &Clock_;
  ILogger &Logger_;
  std::string Table_;
  std::string Part_;
  std::chrono::milliseconds BatchDelay_;
  RowSink Sink_;
  bool IsBusy_ = false;
  bool IsLoaded_ = false;
  bool NeedsFullRead_ = true;
  TimePoint CallStart_;
  TimePoint NextCall_;
  TimePoint LastResponse_;
  StoreVersion Version_ = 0;
  std::unique_ptr<ReadWindow> ReadWindow_;
  std::unique_ptr<ChangesTimeout> ChangesTimeout_;
  /// Rows that the page under way asked for.
  std::size_t RequestedRows_ = 0;
  /// Rows of the pages read so far.
  std::vector<StoreRow> LoadedRows_;
  StoreVersion FirstPageVersion_ = 0;
};

} // namespace dragonflylock

#endif
