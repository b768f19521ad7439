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

/// Announces that an entry instance is alive, and which configuration version
/// is active on it.
struct Heartbeat {
  std::string Name_;
  std::string Zone_;
  ConfigurationVersion Version_ = 0;
  /// Unix time in milliseconds at which the version became active.
  std::int64_t VersionSinceMs_ = 0;
  /// Whether the entry instance accepts requests.
  bool IsReady_ = false;
  /// Instances that the entry instance knows to be leaving.
  std::vector<InstanceIncarnation> Leaving_;
};

/// Sends an accepted configuration to a peer.
struct ConfigurationNotice {
  ConfigurationVersion Version_ = 0;
  std::string Document_;
};

/// Asks the receiver for its configuration.
struct ConfigurationRequest {
  /// Name of the sender, to which the receiver replies.
  std::string Name_;
};

using PeerMessage =
    std::variant<Heartbeat, ConfigurationNotice, ConfigurationRequest>;

/// First frame on a connection, sent by the side that accepted it.
struct PeerChallenge {
  std::string Name_;
  /// Random bytes, new for each connection.
  std::string Nonce_;
};

/// Reply to a challenge; proves that the sender knows the shared secret.
struct PeerHello {
  std::string Name_;
  /// HMAC of the challenge's nonce and Name_; see peercodec::computeProof().
  std::string Proof_;
};

/// The last heartbeat of a peer and the time at which it was received.
struct PeerState {
  Heartbeat LastHeartbeat_;
  std::chrono::steady_clock::time_point LastHeartbeatAt_;
};

} // namespace dragonflylock

#endif
