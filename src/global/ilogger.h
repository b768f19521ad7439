#ifndef DRAGONFLYLOCK_GLOBAL_ILOGGER_H
#define DRAGONFLYLOCK_GLOBAL_ILOGGER_H

namespace dragonflylock {

class LogEvent;

/// How much an event matters.
enum class LogLevel { Debug, Info, Warning, Error };

/// Where events are logged.
class ILogger {
public:
  virtual ~ILogger() = default;
  /// Logs \p Event as one line; callable from any thread.
  virtual void write(LogLevel Level, const LogEvent &Event) = 0;
};

} // namespace dragonflylock

#endif
