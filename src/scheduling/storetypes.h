#ifndef DRAGONFLYLOCK_SCHEDULING_STORETYPES_H
#define DRAGONFLYLOCK_SCHEDULING_STORETYPES_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace dragonflylock {

/// A version of the whole store; each transaction makes the next one, and
/// each row carries that of its last change.
using StoreVersion = std::uint64_t;

/// Rows that one read answers with at most.
inline constexpr std::size_t MaxPageRows = 500;

/// Names a row. Rows of one part can be changed together.
struct StoreKey {
  std::string Table_;
  std::string Part_;
  std::string Key_;

  bool operator==(const StoreKey &) const = default;
  bool operator<(const StoreKey &Other) const {
    return std::tie(Table_, Part_, Key_) <
           std::tie(Other.Table_, Other.Part_, Other.Key_);
  }
};

/// A row as it was read.
struct StoreRow {
  StoreKey Name_;
  /// Raw bytes.
  std::string Value_;
  StoreVersion Version_ = 0;
  /// Whether a change removed the row.
  bool IsRemoved_ = false;
};

/// The version that a row must have for a transaction to apply; 0 stands for
/// a row that does not exist.
struct StoreExpectation {
  StoreKey Name_;
  StoreVersion Version_ = 0;
};

/// A new value of a row.
struct StorePut {
  StoreKey Name_;
  std::string Value_;
};

/// Changes of rows of one part that are applied together.
struct StoreTransaction {
  std::vector<StoreExpectation> Expected_;
  std::vector<StorePut> Puts_;
  std::vector<StoreKey> Removals_;
};

/// How a call to the store ended.
enum class StoreOutcome {
  Done,
  /// An expectation failed; nothing was written.
  ConditionFailed,
  /// The store refused or was not reached; nothing was written.
  NotDone,
  /// The call may have taken effect, or may still do so.
  Unknown,
  /// The requested history is no longer available.
  HistoryLost,
};

/// \returns the outcome's name in logs and metrics.
const char *nameOf(StoreOutcome Outcome);

/// The end of a transaction.
struct StoreTransactionResult {
  StoreOutcome Outcome_ = StoreOutcome::Unknown;
  /// Version of the rows written.
  StoreVersion Version_ = 0;
  /// The expected rows as they are, where an expectation failed.
  std::vector<StoreRow> Current_;
};

/// Rows of a range, as of one moment.
struct StoreRange {
  StoreOutcome Outcome_ = StoreOutcome::Unknown;
  std::vector<StoreRow> Rows_;
  bool HasMore_ = false;
  /// Newest version of the store.
  StoreVersion Version_ = 0;
};

/// Changes of a table since a version.
struct StoreChanges {
  StoreOutcome Outcome_ = StoreOutcome::Unknown;
  std::vector<StoreRow> Rows_;
  /// Where to go on from.
  StoreVersion Version_ = 0;
  /// Whether an answer whose end did not come in time had begun to arrive.
  bool HasPartialResponse_ = false;
};

} // namespace dragonflylock

#endif
