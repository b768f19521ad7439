#ifndef DRAGONFLYLOCK_SCHEDULING_ISTORE_H
#define DRAGONFLYLOCK_SCHEDULING_ISTORE_H

#include "scheduling/storetypes.h"

#include <chrono>
#include <functional>
#include <string>

namespace dragonflylock {

/// Asynchronous access to the platform's transactional tables. Every callback
/// runs on the thread that makes the scheduling decisions.
class IStore {
public:
  using TransactionCallback =
      std::function<void(const StoreTransactionResult &)>;
  using RangeCallback = std::function<void(const StoreRange &)>;
  using ChangesCallback = std::function<void(const StoreChanges &)>;

  virtual ~IStore() = default;
  /// Applies all changes of \p Transaction, or none if an expectation fails.
  virtual void transact(StoreTransaction Transaction,
                        TransactionCallback Callback) = 0;
  /// Reads the rows of one part whose keys are at least \p From and, if \p To
  /// is not empty, less than \p To.
  /// \param MaxRows the maximum number of rows to return, up to MaxPageRows.
  virtual void readRange(const std::string &Table, const std::string &Part,
                         const std::string &From, const std::string &To,
                         std::size_t MaxRows, RangeCallback Callback) = 0;
  /// Waits up to \p Timeout for changes of a table that are newer than \p
  /// After.
  virtual void awaitChanges(const std::string &Table, StoreVersion After,
                            std::chrono::milliseconds Timeout,
                            ChangesCallback Callback) = 0;
};

} // namespace dragonflylock

#endif
