#ifndef DRAGONFLYLOCK_PEERS_PEERTYPES_H
#define DRAGONFLYLOCK_PEERS_PEERTYPES_H

#include "configuration/configurationtypes.h"
#include "routing/instancetypes.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace dragonflylock {

/// States that an entry instance is alive, and what it has in force.
struct Heartbeat {
  std::string Name_;
  std::string Zone_;
  ConfigurationVersion Version_ = 0;
  /// Calendar time in milliseconds since 1970 at which the version came into
  /// force.
  std::int64_t VersionSinceMs_ = 0;
  /// Whether it accepts requests.
  bool IsReady_ = false;
  /// Instances that it knows to be leaving.
  std::vector<InstanceIncarnation> Leaving_;
};

/// Passes an accepted configuration on.
struct ConfigurationNotice {
  ConfigurationVersion Version_ = 0;
  std::string Document_;
};

/// Asks the receiver for its configuration.
struct ConfigurationRequest {
  std::string Name_;
};

using PeerMessage =
    std::variant<Heartbeat, ConfigurationNotice, ConfigurationRequest>;

/// Opens a connection: the accepting side states its name and a nonce.
struct PeerChallenge {
  std::string Name_;
  std::string Nonce_;
};

/// Proves to a peer that the sender knows the shared secret.
struct PeerHello {
  std::string Name_;
  /// Keyed digest of the peer's nonce and the name.
  std::string Proof_;
};

/// What is known of a peer.
struct PeerState {
  Heartbeat LastHeartbeat_;
  std::chrono::steady_clock::time_point LastHeartbeatAt_;
};

} // namespace dragonflylock

#endif
