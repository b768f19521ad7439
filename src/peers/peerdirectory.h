#ifndef DRAGONFLYLOCK_PEERS_PEERDIRECTORY_H
#define DRAGONFLYLOCK_PEERS_PEERDIRECTORY_H

#include "global/iclock.h"
#include "peers/peertypes.h"

#include <map>
#include <string>
#include <vector>

namespace dragonflylock {

/// Which peers were heard of lately, and what they have in force.
class PeerDirectory {
public:
  /// Takes over a heartbeat.
  void onHeartbeat(const Heartbeat &Message, TimePoint Now);
  /// \returns the last heartbeats of the peers that are live at \p Now.
  std::vector<Heartbeat> live(TimePoint Now) const;

private:
  std::map<std::string, PeerState> Peers_;
};

} // namespace dragonflylock

#endif
