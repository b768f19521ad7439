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

/// Removes rows that are older than the time for which answers are kept.
///
/// It reads the rows that were written longest ago, a few at a time, so that
/// its cost depends on what is removed and not on the size of the table.
class RetentionSweeper {
public:
  /// Tells when a row was last of use.
  /// \returns calendar time in milliseconds since 1970; nothing where the row
  /// must stay.
  using LastUseReader = std::optional<std::int64_t> (*)(const TableRow &Row);

  /// \param Table, Clock must outlive the sweeper.
  /// \param Name the table to sweep.
  RetentionSweeper(ITableService &Table, const IClock &Clock, std::string Name,
                   LastUseReader LastUsedMs);

  /// Removes one group of old rows.
  /// \returns the number of rows removed, or a PlatformErrc. Where it equals
  /// the size of a group, there may be more.
  Result<std::size_t> sweepOnce(std::chrono::milliseconds Retention);

  /// Rows that are read and removed at a time.
  static constexpr std::size_t BatchSize = 64;

private:
  ITableService &Table_;
  const IClock &Clock_;
  std::string Name_;
  LastUseReader LastUsedMs_;
};

} // namespace dragonflylock

#endif
