#ifndef DRAGONFLYLOCK_FLEET_RETENTIONSWEEPER_H
#define DRAGONFLYLOCK_FLEET_RETENTIONSWEEPER_H

#include "global/result.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace dragonflylock {

class IClock;
class ITableService;
struct TableRow;

/// Removes the rows of a table whose retention period has expired.
///
/// It reads the least recently written rows in small batches, so that its cost
/// depends on the number of rows removed and not on the size of the table.
class RetentionSweeper {
public:
  /// Reads from a row when it was last used.
  /// \returns calendar time in milliseconds since 1970; nothing if the row must
  /// be kept.
  using LastUseReader = std::optional<std::int64_t> (*)(const TableRow &Row);

  /// \param Table, Clock must outlive the sweeper.
  /// \param Name the name of the table to sweep.
  RetentionSweeper(ITableService &Table, const IClock &Clock, std::string Name,
                   LastUseReader LastUsedMs);

  /// Removes the expired rows of one batch.
  /// \returns the number of rows removed, or a PlatformErrc. If the number is
  /// BatchSize, there may be more expired rows.
  Result<std::size_t> sweepOnce(std::chrono::milliseconds Retention);

  /// The number of rows read per sweep.
  static constexpr std::size_t BatchSize = 64;

private:
  ITableService &Table_;
  const IClock &Clock_;
  std::string Name_;
  LastUseReader LastUsedMs_;
};

} // namespace dragonflylock

#endif
