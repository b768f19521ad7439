#ifndef DRAGONFLYLOCK_TELEMETRY_RATELIMITEDLOGGER_H
#define DRAGONFLYLOCK_TELEMETRY_RATELIMITEDLOGGER_H

#include "global/iclock.h"
#include "global/ilogger.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace dragonflylock {

/// Limits the number of log lines per second for each event name. The first
/// line of an event in a later second is preceded by a log.folded line with the
/// number of suppressed lines. Debug lines are not limited.
class RateLimitedLogger : public ILogger {
public:
  /// \param Inner, Clock must outlive this object.
  /// \param LinesPerSecond maximum for each event name.
  RateLimitedLogger(ILogger &Inner, const IClock &Clock,
                    std::uint64_t LinesPerSecond)
      : Inner_(Inner), Clock_(Clock), LinesPerSecond_(LinesPerSecond) {}

  void write(LogLevel Level, const LogEvent &Event) override;

private:
  struct Window {
    TimePoint Start_;
    std::uint64_t Written_ = 0;
    std::uint64_t Suppressed_ = 0;
  };

  ILogger &Inner_;
  const IClock &Clock_;
  std::uint64_t LinesPerSecond_;
  std::mutex Mutex_;
  std::map<std::string, Window> Windows_;
};

} // namespace dragonflylock

#endif
