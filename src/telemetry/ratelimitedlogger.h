#ifndef DRAGONFLYLOCK_TELEMETRY_RATELIMITEDLOGGER_H
#define DRAGONFLYLOCK_TELEMETRY_RATELIMITEDLOGGER_H

#include "global/iclock.h"
#include "global/ilogger.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace dragonflylock {

/// Bounds the volume of the log: of each event at most so many lines are
/// written in a second; the next line tells how many were left out.
class RateLimitedLogger : public ILogger {
public:
  /// \param Inner, Clock must outlive this object.
  /// \param LinesPerSecond of one event.
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
