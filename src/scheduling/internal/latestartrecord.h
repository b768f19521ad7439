#ifndef DRAGONFLYLOCK_SCHEDULING_INTERNAL_LATESTARTRECORD_H
#define DRAGONFLYLOCK_SCHEDULING_INTERNAL_LATESTARTRECORD_H

#include "global/iclock.h"
#include "scheduling/controlrows.h"
#include "scheduling/versionedrowwriter.h"

#include <chrono>
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
  /// \param PredecessorEnd time by which the previous owner had certainly
  ///   stopped acting; unset if that is certain only when the row is read.
  LateStartRecord(PoolState &Pool, std::optional<TimePoint> PredecessorEnd);

  /// Reads the row once, then writes it at intervals while it names starts, so
  /// that the time that is left falls, or if it has to change.
  /// \param AreJobsLoaded whether the inherited starts are known to the pool.
  void tick(bool AreJobsLoaded);
  /// \returns whether the row of the previous owner was read.
  bool isLoaded() const { return IsLoaded_; }
  /// \returns the row to store when the pool is released; std::nullopt if it
  /// names no starts before and after.
  std::optional<StorePut> rowForRelease() const;

private:
  /// The store's clock, as of one of its responses.
  struct ClockReading {
    /// Time of the request.
    TimePoint RequestedAt_;
    std::chrono::milliseconds StoreTime_{0};
  };

  void load();
  void onLoaded(const StoreRange &Read);
  void write(const LateStartsRow &Next);
  void onWritten(bool NamesStarts, TimePoint RequestedAt,
                 const StoreTransactionResult &Result);
  /// \returns the starts to store.
  /// \param MinAge time for which a start must have had no response.
  LateStartsRow makeRow(std::chrono::milliseconds MinAge) const;
  void readClock(TimePoint RequestedAt,
                 std::optional<std::chrono::milliseconds> StoreTime);

  PoolState &Pool_;
  const std::optional<TimePoint> PredecessorEnd_;
  bool IsLoaded_ = false;
  bool IsBusy_ = false;
  TimePoint NextCall_;
  TimePoint LoadStart_;
  VersionedRowWriter Writer_;
  /// Whether the stored row may name starts.
  bool MayNameStarts_ = false;
  std::optional<ClockReading> ClockReading_;
};

} // namespace dragonflylock

#endif
