#ifndef DRAGONFLYLOCK_CONFIGURATION_FLEETCONFIGURATION_H
#define DRAGONFLYLOCK_CONFIGURATION_FLEETCONFIGURATION_H

#include "configuration/configurationtypes.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflylock {

/// A checked configuration: pools with their settings, and routes.
class FleetConfiguration {
public:
  /// Collects the parts of a configuration that has passed its checks.
  class Builder {
  public:
    Builder &defaults(PoolSettings Settings);
    Builder &pool(std::string Name, PoolSettings Settings, bool IsSpare);
    Builder &exception(ConfigurationException Entry);
    Builder &route(Route Entry);
    /// \returns the configuration; the builder is spent.
    FleetConfiguration build();

  private:
    friend class FleetConfiguration;
    PoolSettings Defaults_;
    std::map<std::string, PoolSettings, std::less<>> Pools_;
    std::string SparePool_;
    std::vector<ConfigurationException> Exceptions_;
    std::vector<Route> Routes_;
  };

  /// \returns the route with the longest prefix of \p Path that ends at a
  /// path segment, or null.
  const Route *findRoute(std::string_view Path) const;
  /// \returns the settings of \p Pool, or null where there is no such pool.
  const PoolSettings *findPool(std::string_view Pool) const;

  const PoolSettings &defaults() const { return Parts_.Defaults_; }
  const std::map<std::string, PoolSettings, std::less<>> &pools() const {
    return Parts_.Pools_;
  }
  /// \returns the pool that lends instances to others; may be empty.
  const std::string &sparePool() const { return Parts_.SparePool_; }
  const std::vector<ConfigurationException> &exceptions() const {
    return Parts_.Exceptions_;
  }
  const std::vector<Route> &routes() const { return Parts_.Routes_; }

private:
  explicit FleetConfiguration(Builder Parts) : Parts_(std::move(Parts)) {}

  Builder Parts_;
};

} // namespace dragonflylock

#endif
