#include "configuration/configurationreplica.h"
#include "configuration/iconfigurationparser.h"

namespace dragonflylock {

ConfigurationReplica::ConfigurationReplica(const IConfigurationParser &Parser)
    : Parser_(Parser) {}

ConfigurationReplica::Offered
ConfigurationReplica::offer(ConfigurationVersion Version,
                            const std::string &Document, TimePoint Now) {
  if (Version <= Version_)
    return Offered::NotNewer;
  ParsedConfiguration Parsed = Parser_.parse(Document);
  if (!Parsed.Configuration_)
    return Offered::Faulty;
  Version_ = Version;
  Since_ = Now;
  Document_ = Document;
  Configuration_ = std::move(Parsed.Configuration_);
  return Offered::Applied;
}

} // namespace dragonflylock
