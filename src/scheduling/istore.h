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
  using TransactionDone = std::function<void(const StoreTransactionEnd &)>;
  using RangeDone = std::function<void(const StoreRange &)>;
  using ChangesDone = std::function<void(const StoreChanges &)>;

  virtual ~IStore() = default;
  /// Applies all of \p Wanted, or nothing where an expectation fails.
  virtual void transact(StoreTransaction Wanted, TransactionDone Done) = 0;
  /// Reads rows of one part whose keys are at least \p From and, where \p To
  /// is not empty, less than \p To.
  /// \param Most the number of rows to answer with at most, up to LargestPage.
  virtual void readRange(const std::string &Table, const std::string &Part,
                         const std::string &From, const std::string &To,
                         std::size_t Most, RangeDone Done) = 0;
  /// Waits, for \p Longest at most, for changes of a table after a version.
  virtual void awaitChanges(const std::string &Table, StoreVersion After,
                            std::chrono::milliseconds Longest,
                            ChangesDone Done) = 0;
};

} // namespace dragonflylock

#endif
