#ifndef DRAGONFLYLOCK_PEERS_PEERDIRECTORY_H
#define DRAGONFLYLOCK_PEERS_PEERDIRECTORY_H

#include "global/iclock.h"
#include "peers/peertypes.h"

#include <map>
#include <string>
#include <vector>

namespace dragonflylock {

/// Keeps the last heartbeat of each peer and determines which peers are live.
class PeerDirectory {
public:
  /// Stores a heartbeat that was received at \p Now.
  void onHeartbeat(const Heartbeat &Message, TimePoint Now);
  /// \returns the last heartbeats of the peers that are live at \p Now.
  std::vector<Heartbeat> live(TimePoint Now) const;

private:
  std::map<std::string, PeerState> Peers_;
};

} // namespace dragonflylock

#endif
