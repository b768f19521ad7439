#include "configuration/startupgate.h"

#include <algorithm>

namespace dragonflylock {
namespace {

/// How long a starting instance waits for peers that are silent.
constexpr std::chrono::seconds SilentPeerLimit{2};

} // namespace

StartupGate::StartupGate(std::size_t Peers, TimePoint StartedAt)
    : Peers_(Peers), StartedAt_(StartedAt) {}

void StartupGate::onPeer(const std::string &Name,
                         ConfigurationVersion Version) {
  Heard_.insert(Name);
  Highest_ = std::max(Highest_, Version);
}

bool StartupGate::opensFor(ConfigurationVersion Version, TimePoint Now) {
  if (IsOpen_)
    return true;
  bool HasWaited = Now - StartedAt_ >= SilentPeerLimit;
  bool HasHeardAll = Heard_.size() >= Peers_;
  IsOpen_ = Version > 0 && Version >= Highest_ && (HasHeardAll || HasWaited);
  return IsOpen_;
}

} // namespace dragonflylock
