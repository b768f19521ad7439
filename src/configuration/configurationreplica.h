#ifndef DRAGONFLYLOCK_CONFIGURATION_CONFIGURATIONREPLICA_H
#define DRAGONFLYLOCK_CONFIGURATION_CONFIGURATIONREPLICA_H

#include "configuration/configurationtypes.h"
#include "global/iclock.h"

#include <memory>
#include <optional>
#include <string>

namespace dragonflylock {

class FleetConfiguration;
class IConfigurationParser;

/// The configuration in force at one entry instance.
///
/// It only moves to higher versions, so that a late or stale document never
/// reverts a newer one. Nothing is in force until a first version arrives.
class ConfigurationReplica {
public:
  /// What came of a document that was offered.
  enum class Offered { Applied, NotNewer, Faulty };

  /// \param Parser checks documents; must outlive the replica.
  explicit ConfigurationReplica(const IConfigurationParser &Parser);

  /// Puts \p Document in force where \p Version is higher than the one in
  /// force.
  Offered offer(ConfigurationVersion Version, const std::string &Document,
                TimePoint Now);

  /// \returns the version in force, 0 where there is none.
  ConfigurationVersion version() const { return Version_; }
  /// \returns when the version came into force.
  TimePoint since() const { return Since_; }
  /// \returns the document in force.
  const std::string &document() const { return Document_; }
  /// \returns the configuration in force, or null.
  const std::shared_ptr<const FleetConfiguration> &configuration() const {
    return Configuration_;
  }

private:
  const IConfigurationParser &Parser_;
  ConfigurationVersion Version_ = 0;
  TimePoint Since_;
  std::string Document_;
  std::shared_ptr<const FleetConfiguration> Configuration_;
};

} // namespace dragonflylock

#endif
