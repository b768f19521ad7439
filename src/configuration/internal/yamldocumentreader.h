#ifndef DRAGONFLYLOCK_CONFIGURATION_INTERNAL_YAMLDOCUMENTREADER_H
#define DRAGONFLYLOCK_CONFIGURATION_INTERNAL_YAMLDOCUMENTREADER_H

#include "configuration/configurationerrors.h"
#include "configuration/fleetconfiguration.h"
#include "configuration/iconfigurationparser.h"

#include <yaml-cpp/yaml.h>

#include <initializer_list>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace dragonflylock {

/// Checks one YAML document and collects all its faults.
class YamlDocumentReader {
public:
  /// \param Root the document's root node.
  explicit YamlDocumentReader(const YAML::Node &Root);

  /// \returns the configuration, or all faults.
  ParsedConfiguration read();

private:
  void readDefaults();
  void readPools();
  void readPool(const YAML::Node &Entry);
  void readExceptions();
  void readException(const YAML::Node &Entry);
  void readRoutes();
  void readRoute(const YAML::Node &Entry);
  FleetConfiguration build();

  void fault(const YAML::Node &Where, ConfigurationErrc Kind,
             const std::string &Detail, const std::string &Remedy);
  bool isMap(const YAML::Node &Entry, const std::string &What);
  bool isList(const YAML::Node &Entry, const std::string &What);
  void checkKeys(const YAML::Node &Map,
                 std::initializer_list<std::string_view> Known);
  std::string text(const YAML::Node &Map, const char *Key);
  bool flag(const YAML::Node &Map, const char *Key);
  PoolSettings *settingsOf(const YAML::Node &Where, const std::string &Pool);
  void assign(const YAML::Node &Where, PoolSettings &Settings,
              const std::string &Setting, const std::string &Value);

  YAML::Node Root_;
  std::vector<Error> Faults_;
  PoolSettings Defaults_;
  std::map<std::string, PoolSettings, std::less<>> Pools_;
  std::string SparePool_;
  std::vector<ConfigurationException> Exceptions_;
  std::set<std::pair<std::string, std::string>> ExceptionKeys_;
  std::vector<Route> Routes_;
  std::set<std::string> Prefixes_;
};

} // namespace dragonflylock

#endif
