#ifndef DRAGONFLYLOCK_SCHEDULING_ISTORE_H
#define DRAGONFLYLOCK_SCHEDULING_ISTORE_H

#include "scheduling/storetypes.h"

#include <chrono>
#include <functional>
#include <string>

namespace dragonflylock {

/// The platform's transactional table, without waiting for its answers. Every
/// callback runs on the thread that decides.
class IStore {
public:
  using TransactionCallback =
      std::function<void(const StoreTransactionResult &)>;
  using RangeCallback = std::function<void(const StoreRange &)>;
  using ChangesCallback = std::function<void(const StoreChanges &)>;

  virtual ~IStore() = default;
  /// Applies all of \p Transaction, or nothing where an expectation fails.
  virtual void transact(StoreTransaction Transaction,
                        TransactionCallback Callback) = 0;
  /// Reads rows of one part whose keys are at least \p From and, where \p To
  /// is not empty, less than \p To.
  /// \param MaxRows the number of rows to answer with at most, up to
  /// MaxPageRows.
  virtual void readRange(const std::string &Table, const std::string &Part,
                         const std::string &From, const std::string &To,
                         std::size_t MaxRows, RangeCallback Callback) = 0;
  /// Waits, for \p Timeout at most, for changes of a table after a version.
  virtual void awaitChanges(const std::string &Table, StoreVersion After,
                            std::chrono::milliseconds Timeout,
                            ChangesCallback Callback) = 0;
};

} // namespace dragonflylock

#endif
