#ifndef DRAGONFLYLOCK_CONFIGURATION_INTERNAL_YAMLCONFIGURATIONPARSER_H
#define DRAGONFLYLOCK_CONFIGURATION_INTERNAL_YAMLCONFIGURATIONPARSER_H

#include "configuration/iconfigurationparser.h"

namespace dragonflylock {

/// Reads configuration documents in YAML.
class YamlConfigurationParser : public IConfigurationParser {
public:
  ParsedConfiguration parse(const std::string &Document) const override;
  Result<std::string>
  addException(const std::string &Document,
               const ConfigurationException &Entry) const override;
  Result<std::string>
  removeException(const std::string &Document, const std::string &Pool,
                  const std::string &Setting) const override;
};

} // namespace dragonflylock

#endif
