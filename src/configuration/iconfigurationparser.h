#ifndef DRAGONFLYLOCK_CONFIGURATION_ICONFIGURATIONPARSER_H
#define DRAGONFLYLOCK_CONFIGURATION_ICONFIGURATIONPARSER_H

#include "configuration/configurationtypes.h"
#include "global/result.h"

#include <memory>
#include <string>
#include <vector>

namespace dragonflylock {

class FleetConfiguration;

/// What came of checking a document as a whole.
struct ParsedConfiguration {
  /// Null where there are faults.
  std::shared_ptr<const FleetConfiguration> Configuration_;
  /// All faults, in the order of the document.
  std::vector<Error> Faults_;
};

/// Reads and edits configuration documents.
class IConfigurationParser {
public:
  virtual ~IConfigurationParser() = default;
  /// Checks \p Document as a whole.
  virtual ParsedConfiguration parse(const std::string &Document) const = 0;
  /// \returns \p Document with \p Entry added to its exceptions.
  virtual Result<std::string>
  addException(const std::string &Document,
               const ConfigurationException &Entry) const = 0;
  /// \returns \p Document without the exception for \p Pool and \p Setting,
  /// or ConfigurationErrc::UnknownException.
  virtual Result<std::string>
  removeException(const std::string &Document, const std::string &Pool,
                  const std::string &Setting) const = 0;
};

} // namespace dragonflylock

#endif
