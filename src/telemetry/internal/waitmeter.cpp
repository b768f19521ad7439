#include "telemetry/waitmeter.h"
#include "global/ilogger.h"
#include "global/logevent.h"
#include "metrics/inodemetrics.h"

#include <algorithm>
#include <utility>

namespace dragonflylock {
namespace {

constexpr std::chrono::seconds LogInterval{1};
/// Shorter waits are normal; lease renewals tolerate several times this wait.
constexpr std::chrono::milliseconds LogThreshold{150};

const char *nameOf(WaitPlace Place) {
  switch (Place) {
  case WaitPlace::BeforeSending:
    return "before-sending";
  case WaitPlace::BeforeDeciding:
    return "before-deciding";
  case WaitPlace::Deciding:
    return "deciding";
  }
  return "unknown";
}

} // namespace

void WaitMeter::waited(WaitPlace Place, std::chrono::microseconds Time) {
  Metrics_.waited(nameOf(Place), Time);
  std::lock_guard<std::mutex> Lock(Mutex_);
  WaitStatistics &Each = Statistics_[static_cast<std::size_t>(Place)];
  Each.MaxTime_ = std::max(Each.MaxTime_, Time);
  ++Each.Count_;
}

void WaitMeter::tick() {
  const TimePoint Now = Clock_.now();
  if (Now < NextLogAt_)
    return;
  NextLogAt_ = Now + LogInterval;
  std::array<WaitStatistics, PlaceCount> Statistics;
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    Statistics = std::exchange(Statistics_, {});
  }
  bool IsLate = std::any_of(
      Statistics.begin(), Statistics.end(),
      [](const WaitStatistics &Each) { return Each.MaxTime_ >= LogThreshold; });
  if (!IsLate)
    return;
  LogEvent Line("node.late");
  for (std::size_t Place = 0; Place < PlaceCount; ++Place) {
    std::string Name = nameOf(static_cast<WaitPlace>(Place));
    Line.with(Name, Statistics[Place].MaxTime_)
        .with(Name + "-count", Statistics[Place].Count_);
  }
  Logger_.write(LogLevel::Warning, Line);
}

} // namespace dragonflylock
