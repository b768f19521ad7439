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
  /// \returns the row, nothing where it is absent, or a PlatformErrc.
  virtual Result<std::optional<TableRow>> read(const RowKey &Row) = 0;
  /// \param Since the revision up to which the caller knows the table; 0 for
  /// the whole table.
  /// \returns what has changed since, or a PlatformErrc.
  virtual Result<TableChanges> readChanges(const std::string &Table,
                                           TableRevision Since) = 0;
  /// \returns at most \p Count rows, those that were written longest ago
  /// first, or a PlatformErrc.
  virtual Result<std::vector<TableRow>> readOldest(const std::string &Table,
                                                   std::size_t Count) = 0;
  /// Performs all of \p Writes, or none where a condition does not hold.
  /// \returns the new version of each row, PlatformErrc::ConditionFailed,
  /// PlatformErrc::Unavailable (nothing was written) or
  /// PlatformErrc::AnswerLost (read back to learn what happened).
  virtual Result<std::vector<RowVersion>>
  transact(const std::vector<RowWrite> &Writes) = 0;
};

} // namespace dragonflylock

#endif
