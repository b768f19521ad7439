#ifndef DRAGONFLYLOCK_CONFIGURATION_CONFIGURATIONPULL_H
#define DRAGONFLYLOCK_CONFIGURATION_CONFIGURATIONPULL_H

#include "configuration/configurationtypes.h"
#include "global/iclock.h"

#include <optional>
#include <string>

namespace dragonflylock {

/// Decides when to ask a peer for a configuration.
///
/// The platform normally delivers a new version first. Only an entry instance
/// that lacks it for some time asks one peer, so that a document is not sent
/// between all pairs of peers.
class ConfigurationPull {
public:
  /// Notes that peer \p Name has \p Version in force.
  void onPeer(const std::string &Name, ConfigurationVersion Version,
              TimePoint Now);
  /// \param Own the version at hand, 0 where there is none.
  /// \returns the peer to ask now, if one is to be asked.
  std::optional<std::string> due(ConfigurationVersion Own, TimePoint Now);

private:
  std::string Peer_;
  ConfigurationVersion Highest_ = 0;
  /// When the highest version was first heard of, or last asked for.
  TimePoint WaitingSince_;
};

} // namespace dragonflylock

#endif
