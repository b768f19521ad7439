#include "telemetry/countinglogger.h"
#include "global/logevent.h"
#include "metrics/inodemetrics.h"

namespace dragonflylock {

void CountingLogger::write(LogLevel Level, const LogEvent &Event) {
  Metrics_.eventLogged(Event.name());
  Inner_.write(Level, Event);
}

} // namespace dragonflylock
