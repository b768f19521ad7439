#ifndef DRAGONFLYLOCK_SCHEDULING_INTERNAL_PENDINGREPORTER_H
#define DRAGONFLYLOCK_SCHEDULING_INTERNAL_PENDINGREPORTER_H

#include "admission/backlogpublication.h"
#include "scheduling/controlrows.h"
#include "scheduling/versionedrowwriter.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace dragonflylock {

class IClock;

/// Writes the pending jobs and the backlogs of the pools that this node owns,
/// until the stored rows agree with them.
class PendingReporter : public std::enable_shared_from_this<PendingReporter> {
public:
  using StoredCallback = std::function<void(const std::string &, StoreVersion,
                                            const PendingRow &)>;

  /// \param OnStored called with the pool, the version and the row that was
  ///   written.
  PendingReporter(IStore &Store, const IClock &Clock, StoredCallback OnStored);

  /// Writes the row if it differs from the last one or its backlog is due.
  /// Nothing is written while another write for the pool has no response.
  void report(const std::string &Pool, const PendingRow &Row);
  /// Called for a row that was read. If it is not what was reported last, the
  /// next report is written.
  /// \returns false if the row is older than one that is known.
  bool onRow(const std::string &Pool, const StoreRow &Stored,
             const PendingRow &Read);
  /// Called when this node no longer owns the pool.
  void forget(const std::string &Pool);

private:
  struct PoolState {
    /// The row that was written last, or is being written; absent if the stored
    /// one may differ.
    std::optional<PendingRow> Last_;
    BacklogPublication Backlog_;
    bool IsWriting_ = false;
  };

  void onWritten(const std::string &Pool, const PendingRow &Row,
                 const StoreTransactionResult &Result);

  const IClock &Clock_;
  VersionedRowWriter Writer_;
  StoredCallback OnStored_;
  std::map<std::string, PoolState> Pools_;
};

} // namespace dragonflylock

#endif
