#include "configuration/configurationpull.h"

namespace dragonflylock {
namespace {

/// Time for which the platform is given the chance to deliver.
constexpr std::chrono::milliseconds PlatformChance{1000};
/// An instance without any version asks at this interval.
constexpr std::chrono::milliseconds UrgentInterval{100};

} // namespace

void ConfigurationPull::onPeer(const std::string &Name,
                               ConfigurationVersion Version, TimePoint Now) {
  if (Version <= Highest_)
    return;
  Peer_ = Name;
  Highest_ = Version;
  WaitingSince_ = Now;
}

std::optional<std::string> ConfigurationPull::due(ConfigurationVersion Own,
                                                  TimePoint Now) {
  if (Own >= Highest_)
    return std::nullopt;
  auto Patience = Own == 0 ? UrgentInterval : PlatformChance;
  if (Now - WaitingSince_ < Patience)
    return std::nullopt;
  WaitingSince_ = Now;
  return Peer_;
}

} // namespace dragonflylock
