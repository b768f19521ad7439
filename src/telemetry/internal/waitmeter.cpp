#include "telemetry/waitmeter.h"
#include "global/ilogger.h"
#include "global/logevent.h"
#include "metrics/inodemetrics.h"

#include <algorithm>
#include <utility>

namespace dragonflylock {
namespace {

constexpr std::chrono::seconds LineInterval{1};
/// Waits below this are ordinary; renewals of leases have several times it.
constexpr std::chrono::milliseconds WorthALine{150};

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
  Longest &Each = Seen_[static_cast<std::size_t>(Place)];
  Each.Time_ = std::max(Each.Time_, Time);
  ++Each.Count_;
}

void WaitMeter::tick() {
  const TimePoint Now = Clock_.now();
  if (Now < NextLine_)
    return;
  NextLine_ = Now + LineInterval;
  std::array<Longest, Places> Seen;
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    Seen = std::exchange(Seen_, {});
  }
  bool IsLate = std::any_of(Seen.begin(), Seen.end(), [](const Longest &Each) {
    return Each.Time_ >= WorthALine;
  });
  if (!IsLate)
    return;
  LogEvent Line("node.late");
  for (std::size_t Place = 0; Place < Places; ++Place) {
    std::string Name = nameOf(static_cast<WaitPlace>(Place));
    Line.with(Name, Seen[Place].Time_)
        .with(Name + "-count", Seen[Place].Count_);
  }
  Logger_.write(LogLevel::Warning, Line);
}

} // namespace dragonflylock
