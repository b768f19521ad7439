#ifndef DRAGONFLYLOCK_SCHEDULING_STORETYPES_H
#define DRAGONFLYLOCK_SCHEDULING_STORETYPES_H

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace dragonflylock {

/// A version of the whole store. Each transaction creates the next version, and
/// each row carries the version of its last change.
using StoreVersion = std::uint64_t;

/// Maximum number of rows that one read returns.
inline constexpr std::size_t MaxPageRows = 500;

/// Identifies a row. A transaction can change several rows of one part.
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

/// A row as read from the store.
struct StoreRow {
  StoreKey Name_;
  /// Raw bytes.
  std::string Value_;
  StoreVersion Version_ = 0;
  /// Whether the row was removed by the change.
  bool IsRemoved_ = false;
};

/// The version that a row must have for a transaction to be applied; 0 if the
/// row must not exist.
struct StoreExpectation {
  StoreKey Name_;
  StoreVersion Version_ = 0;
};

/// A new value of a row.
struct StorePut {
  StoreKey Name_;
  std::string Value_;
};

/// Changes to rows of one part that are applied atomically.
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
  /// The store refused the call or was not reached; nothing was written.
  NotDone,
  /// The result is not known: the call may have taken effect, or may still take
  /// effect.
  Unknown,
  /// The requested history of changes is no longer available.
  HistoryLost,
};

/// \returns the name of the outcome in logs and metrics.
const char *nameOf(StoreOutcome Outcome);

/// The result of a transaction.
struct StoreTransactionResult {
  StoreOutcome Outcome_ = StoreOutcome::Unknown;
  /// Version of the written rows.
  StoreVersion Version_ = 0;
  /// The current state of the expected rows if an expectation failed.
  std::vector<StoreRow> Current_;
  /// Time of the store's steady clock at the transaction, if it tells.
  std::optional<std::chrono::milliseconds> Now_ = std::nullopt;
};

/// Rows of a key range, all read at one point in time.
struct StoreRange {
  StoreOutcome Outcome_ = StoreOutcome::Unknown;
  std::vector<StoreRow> Rows_;
  bool HasMore_ = false;
  /// Newest version of the store when the rows were read.
  StoreVersion Version_ = 0;
  /// Time of the store's steady clock then, if it tells.
  std::optional<std::chrono::milliseconds> Now_ = std::nullopt;
};

/// Changes of a table after a version.
struct StoreChanges {
  StoreOutcome Outcome_ = StoreOutcome::Unknown;
  std::vector<StoreRow> Rows_;
  /// Version after which to ask for the next changes.
  StoreVersion Version_ = 0;
  /// Whether a response that did not arrive completely in time had begun to
  /// arrive.
  bool HasPartialResponse_ = false;
};

} // namespace dragonflylock

#endif
