#ifndef DRAGONFLYLOCK_SCHEDULING_TABLEFOLLOWER_H
#define DRAGONFLYLOCK_SCHEDULING_TABLEFOLLOWER_H

#include "global/iclock.h"
#include "scheduling/storetypes.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace dragonflylock {

class ChangesTimeout;
class ILogger;
class IStore;
class ReadWindow;

/// Follows one part of a table: reads all its rows, then waits for changes.
/// Reads all rows again if the store no longer has the history of changes.
class TableFollower : public std::enable_shared_from_this<TableFollower> {
public:
  /// Receives rows; if \p IsSnapshot is set, no other rows exist in the part.
  using RowSink =
      std::function<void(const std::vector<StoreRow> &Rows, bool IsSnapshot)>;

  /// \param Part the part to read; changes of other parts are ignored.
  /// \param BatchDelay time between a response and the next request for
  /// changes, in which changes accumulate.
  /// \param Wait time for which the store is asked to wait for changes; a
  /// default if absent.
  TableFollower(IStore &Store, const IClock &Clock, ILogger &Logger,
                std::string Table, std::string Part,
                std::chrono::milliseconds BatchDelay, RowSink Sink,
                std::optional<std::chrono::milliseconds> Wait = std::nullopt);

  ~TableFollower();

  /// Sends the next request if it is due.
  void tick();
  /// \returns when the store last answered successfully.
  TimePoint lastResponse() const { return LastResponse_; }
  /// \returns a time before which all changes are known. It is older than the
  /// last response if that was read late, for example after a suspension.
  TimePoint currentAsOf() const { return CurrentAsOf_; }
  /// \returns a time before which all changes are certainly known: when the
  /// last call that the store answered was sent. Unlike currentAsOf(), it is
  /// not moved by a response that was under way for long.
  TimePoint provenAsOf() const { return ProvenAsOf_; }
  /// \returns whether all rows of the part have been read once.
  bool isLoaded() const { return IsLoaded_; }

private:
  /// \returns the key at which the next page starts.
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
  /// Time that the last request for changes asked the store to wait.
  std::chrono::milliseconds Wait_{0};
  TimePoint NextCall_;
  TimePoint LastResponse_;
  TimePoint CurrentAsOf_;
  TimePoint ProvenAsOf_;
  StoreVersion Version_ = 0;
  std::unique_ptr<ReadWindow> ReadWindow_;
  std::unique_ptr<ChangesTimeout> ChangesTimeout_;
  /// Number of rows requested with the current page.
  std::size_t RequestedRows_ = 0;
  /// Rows of the pages that have been read so far.
  std::vector<StoreRow> LoadedRows_;
  StoreVersion FirstPageVersion_ = 0;
  TimePoint FirstPageStart_;
};

} // namespace dragonflylock

#endif
