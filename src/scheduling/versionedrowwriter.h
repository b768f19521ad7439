#ifndef DRAGONFLYLOCK_SCHEDULING_VERSIONEDROWWRITER_H
#define DRAGONFLYLOCK_SCHEDULING_VERSIONEDROWWRITER_H

#include "scheduling/istore.h"
#include "scheduling/storetypes.h"

#include <map>
#include <memory>
#include <string>

namespace dragonflylock {

/// Writes rows under the condition that they still have the version that is
/// known here. A write without a response may be applied seconds later; the
/// condition keeps it from replacing a newer value. Not thread-safe.
class VersionedRowWriter {
public:
  /// \param Store must outlive the writer and its calls.
  explicit VersionedRowWriter(IStore &Store);

  /// Writes the row, unless it has changed since its version was learned. The
  /// result teaches its current version, so that the caller can write again.
  void write(const StoreKey &Row, std::string Value,
             IStore::TransactionCallback Done);
  /// Learns the version of a row that was read.
  /// \returns false if the row is older than what is known.
  bool onRow(const StoreRow &Row);

private:
  using Versions = std::map<StoreKey, StoreVersion>;

  IStore &Store_;
  /// Shared with the calls, which may outlive the writer.
  std::shared_ptr<Versions> Versions_;
};

} // namespace dragonflylock

#endif
