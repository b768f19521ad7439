#include "scheduling/internal/readlog.h"
#include "global/ilogger.h"
#include "global/logevent.h"

namespace dragonflylock::readlog {
namespace {

std::chrono::microseconds rounded(std::chrono::nanoseconds Time) {
  return std::chrono::duration_cast<std::chrono::microseconds>(Time);
}

} // namespace

void logPageFailure(ILogger &Logger, const StoreKey &From, std::size_t Rows,
                    StoreOutcome Outcome, std::chrono::nanoseconds Took) {
  Logger.write(LogLevel::Warning, LogEvent("rows.unread")
                                      .with("table", From.Table_)
                                      .with("part", From.Part_)
                                      .with("from", From.Key_)
                                      .with("rows", std::uint64_t{Rows})
                                      .with("outcome", nameOf(Outcome))
                                      .with("took", rounded(Took)));
}

void logChangesFailure(ILogger &Logger, const std::string &Table,
                       StoreVersion After, StoreOutcome Outcome,
                       std::chrono::nanoseconds Took) {
  Logger.write(LogLevel::Warning, LogEvent("changes.unread")
                                      .with("table", Table)
                                      .with("after", After)
                                      .with("outcome", nameOf(Outcome))
                                      .with("took", rounded(Took)));
}

} // namespace dragonflylock::readlog
