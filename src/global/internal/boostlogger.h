#ifndef DRAGONFLYLOCK_GLOBAL_INTERNAL_BOOSTLOGGER_H
#define DRAGONFLYLOCK_GLOBAL_INTERNAL_BOOSTLOGGER_H

#include "global/ilogger.h"

#include <memory>
#include <string>

namespace dragonflylock {

/// Logs to standard output through Boost.Log, on a thread of its own. Lines
/// are dropped where too many wait.
class BoostLogger : public ILogger {
public:
  /// \param Lowest events below this level are dropped.
  /// \param Process the process's name, part of each line.
  BoostLogger(LogLevel Lowest, std::string Process);
  /// Writes what waits.
  ~BoostLogger() override;
  void write(LogLevel Level, const LogEvent &Event) override;

private:
  struct Sink;
  LogLevel Lowest_;
  std::string Process_;
  std::unique_ptr<Sink> Sink_;
};

} // namespace dragonflylock

#endif
