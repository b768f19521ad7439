#ifndef DRAGONFLYLOCK_PLATFORMSERVICES_ITABLESERVICE_H
#define DRAGONFLYLOCK_PLATFORMSERVICES_ITABLESERVICE_H

#include "global/result.h"
#include "platformservices/platformtypes.h"

#include <optional>
#include <string>
#include <vector>

namespace dragonflylock {

/// The platform's transactional table service.
class ITableService {
public:
  virtual ~ITableService() = default;
  /// \returns the row, nothing if it is absent, or a PlatformErrc.
  virtual Result<std::optional<TableRow>> read(const RowKey &Row) = 0;
  /// \param Since the table revision that the caller has read up to; 0 requests
  /// a snapshot of the table.
  /// \returns the changes after \p Since, a snapshot if the service has no
  /// changes from that revision, or a PlatformErrc.
  virtual Result<TableChanges> readChanges(const std::string &Table,
                                           TableRevision Since) = 0;
  /// \returns at most \p Count rows, least recently written first, or a
  /// PlatformErrc.
  virtual Result<std::vector<TableRow>> readOldest(const std::string &Table,
                                                   std::size_t Count) = 0;
  /// Applies all of \p Writes atomically, or none if a condition does not hold.
  /// \returns the new version of each row, PlatformErrc::ConditionFailed,
  /// PlatformErrc::Unavailable (nothing was written) or
  /// PlatformErrc::AnswerLost (read the rows to learn whether they were
  /// written).
  virtual Result<std::vector<RowVersion>>
  transact(const std::vector<RowWrite> &Writes) = 0;
};

} // namespace dragonflylock

#endif
