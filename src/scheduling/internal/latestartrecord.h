#ifndef DRAGONFLYLOCK_SCHEDULING_INTERNAL_LATESTARTRECORD_H
#define DRAGONFLYLOCK_SCHEDULING_INTERNAL_LATESTARTRECORD_H

#include "global/iclock.h"
#include "scheduling/controlrows.h"

#include <memory>
#include <optional>

namespace dragonflylock {

struct PoolState;
struct StorePut;
struct StoreRange;
struct StoreTransactionResult;

/// Stores which starts may still be carried out, so that the next owner of the
/// pool waits for them as well.
class LateStartRecord : public std::enable_shared_from_this<LateStartRecord> {
public:
  explicit LateStartRecord(PoolState &Pool) : Pool_(Pool) {}

  /// Reads the row once, then writes it at intervals if it has to change.
  /// \param AreJobsLoaded whether the inherited starts are known to the pool.
  void tick(bool AreJobsLoaded);
  /// \returns whether the row of the previous owner was read.
  bool isLoaded() const { return IsLoaded_; }
  /// \returns the row to store when the pool is released; std::nullopt if it
  /// need not change.
  std::optional<StorePut> rowForRelease() const;

private:
  void load();
  void onLoaded(const StoreRange &Read);
  void write(LateStartsRow Next);
  void onWritten(const LateStartsRow &Written,
                 const StoreTransactionResult &Result);

  PoolState &Pool_;
  bool IsLoaded_ = false;
  bool IsBusy_ = false;
  TimePoint NextCall_;
  TimePoint LoadStart_;
  StoreVersion RowVersion_ = 0;
  LateStartsRow Stored_;
};

} // namespace dragonflylock

#endif
