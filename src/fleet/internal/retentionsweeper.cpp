#include "fleet/retentionsweeper.h"
#include "global/iclock.h"
#include "platformservices/itableservice.h"

namespace dragonflylock {

RetentionSweeper::RetentionSweeper(ITableService &Table, const IClock &Clock,
                                   std::string Name, LastUseReader LastUsedMs)
    : Table_(Table), Clock_(Clock), Name_(std::move(Name)),
      LastUsedMs_(LastUsedMs) {}

Result<std::size_t>
RetentionSweeper::sweepOnce(std::chrono::milliseconds Retention) {
  auto Rows = Table_.readOldest(Name_, BatchSize);
  if (!Rows)
    return Rows.error();
  std::int64_t NowMs = millisecondsSinceEpoch(Clock_.wallNow());
  std::vector<RowWrite> Removals;
  for (const TableRow &Row : Rows.value()) {
    auto LastUsed = LastUsedMs_(Row);
    bool IsOld = LastUsed && NowMs - *LastUsed > Retention.count();
    if (IsOld)
      Removals.push_back(
          {{Name_, Row.Key_}, RowCondition::at(Row.Version_), std::nullopt});
  }
  if (Removals.empty())
    return std::size_t{0};
  // If any row was written concurrently, the transaction fails and the whole
  // batch is left for the next sweep.
  auto Written = Table_.transact(Removals);
  if (!Written)
    return Written.error();
  return Removals.size();
}

} // namespace dragonflylock
