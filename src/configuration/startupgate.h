#ifndef DRAGONFLYLOCK_CONFIGURATION_STARTUPGATE_H
#define DRAGONFLYLOCK_CONFIGURATION_STARTUPGATE_H

#include "configuration/configurationtypes.h"
#include "global/iclock.h"

#include <cstddef>
#include <set>
#include <string>

namespace dragonflylock {

/// Keeps an entry instance that has just started from serving with an older
/// configuration than its peers have in force.
///
/// It opens once every peer was heard, or some time has passed, and stays
/// shut while a higher version is known than the one at hand.
class StartupGate {
public:
  /// \param Peers the number of peers in the settings.
  /// \param StartedAt when this entry instance started.
  StartupGate(std::size_t Peers, TimePoint StartedAt);

  /// Notes that a peer has \p Version in force.
  void onPeer(const std::string &Name, ConfigurationVersion Version);
  /// \returns whether \p Version may come into force at \p Now. Once it has
  /// said yes, it always does.
  bool opensFor(ConfigurationVersion Version, TimePoint Now);

private:
  std::size_t Peers_;
  TimePoint StartedAt_;
  std::set<std::string> Heard_;
  ConfigurationVersion Highest_ = 0;
  bool IsOpen_ = false;
};

} // namespace dragonflylock

#endif
