#include "telemetry/ratelimitedlogger.h"
#include "global/logevent.h"

#include <utility>

namespace dragonflylock {
namespace {

constexpr std::chrono::seconds WindowLength{1};

} // namespace

void RateLimitedLogger::write(LogLevel Level, const LogEvent &Event) {
  if (Level == LogLevel::Debug) {
    // Debug lines are written only if an operator enabled them, so none is
    // suppressed.
    Inner_.write(Level, Event);
    return;
  }
  const TimePoint Now = Clock_.now();
  std::uint64_t Suppressed = 0;
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    Window &Each = Windows_[Event.name()];
    if (Now >= Each.Start_ + WindowLength) {
      Each.Start_ = Now;
      Each.Written_ = 0;
      Suppressed = std::exchange(Each.Suppressed_, 0);
    }
    if (Each.Written_ >= LinesPerSecond_) {
      ++Each.Suppressed_;
      return;
    }
    ++Each.Written_;
  }
  if (Suppressed > 0)
    Inner_.write(LogLevel::Warning, LogEvent("log.folded")
                                        .with("folded", Event.name())
                                        .with("lines", Suppressed));
  Inner_.write(Level, Event);
}

} // namespace dragonflylock
