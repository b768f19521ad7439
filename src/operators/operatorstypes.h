#ifndef DRAGONFLYLOCK_OPERATORS_OPERATORSTYPES_H
#define DRAGONFLYLOCK_OPERATORS_OPERATORSTYPES_H

#include "configuration/configurationtypes.h"
#include "peers/peertypes.h"
#include "routing/instancetypes.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace dragonflylock {

class FleetConfiguration;

/// An instance as one entry instance sees it.
struct InstanceView {
  std::string Id_;
  KnownInstance Known_;
  std::uint64_t Outstanding_ = 0;
  bool IsEligible_ = false;
};

/// The state of one entry instance at one time.
struct EntrySnapshot {
  std::string Name_;
  std::string Zone_;
  bool IsReady_ = false;
  ConfigurationVersion Version_ = 0;
  std::int64_t VersionSinceMs_ = 0;
  std::string Document_;
  std::shared_ptr<const FleetConfiguration> Configuration_;
  std::vector<InstanceView> Instances_;
  /// Peers heard of lately.
  std::vector<Heartbeat> Peers_;
  std::size_t Active_ = 0;
  std::size_t Queued_ = 0;
};

} // namespace dragonflylock

#endif
