#ifndef DRAGONFLYLOCK_TELEMETRY_COUNTINGLOGGER_H
#define DRAGONFLYLOCK_TELEMETRY_COUNTINGLOGGER_H

#include "global/ilogger.h"

namespace dragonflylock {

class INodeMetrics;

/// Forwards events to another logger and counts them in the metrics, including
/// events below the level of that logger.
class CountingLogger : public ILogger {
public:
  /// \param Inner, Metrics must outlive this object.
  CountingLogger(ILogger &Inner, INodeMetrics &Metrics)
      : Inner_(Inner), Metrics_(Metrics) {}

  void write(LogLevel Level, const LogEvent &Event) override;

private:
  ILogger &Inner_;
  INodeMetrics &Metrics_;
};

} // namespace dragonflylock

#endif
