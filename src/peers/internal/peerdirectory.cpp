#include "peers/peerdirectory.h"

namespace dragonflylock {
namespace {

/// A peer without a heartbeat for this time is not live.
constexpr std::chrono::seconds PeerTimeout{3};

} // namespace

void PeerDirectory::onHeartbeat(const Heartbeat &Message, TimePoint Now) {
  Peers_[Message.Name_] = {Message, Now};
}

std::vector<Heartbeat> PeerDirectory::live(TimePoint Now) const {
  std::vector<Heartbeat> Live;
  for (const auto &[Name, State] : Peers_) {
    if (Now - State.LastHeartbeatAt_ < PeerTimeout)
      Live.push_back(State.LastHeartbeat_);
  }
  return Live;
}

} // namespace dragonflylock
