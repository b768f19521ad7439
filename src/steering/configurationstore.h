#ifndef DRAGONFLYLOCK_STEERING_CONFIGURATIONSTORE_H
#define DRAGONFLYLOCK_STEERING_CONFIGURATIONSTORE_H

#include "global/result.h"
#include "platformservices/platformtypes.h"
#include "steering/steeringtypes.h"

#include <optional>

namespace dragonflylock {

class IClock;
class IConfigurationParser;
class ITableService;

/// Accepts configurations: each becomes the current row, a history row, a
/// receipt by its change id and an audit row, in one transaction.
class ConfigurationStore {
public:
  /// \param Table, Parser, Clock must outlive the store.
  ConfigurationStore(ITableService &Table, const IConfigurationParser &Parser,
                     const IClock &Clock);

  /// Accepts \p Change, or recognises that it was accepted before.
  /// \returns the accepted version; a ConfigurationErrc where the document is
  /// faulty or another change came first; PlatformErrc::Unavailable where
  /// nothing was changed; PlatformErrc::AnswerLost where it is not known
  /// whether the change was accepted.
  Result<ConfigurationVersion> accept(const ConfigurationChange &Change);

  /// \returns the configuration that the table service holds, if any.
  Result<std::optional<StoredConfiguration>> current();

private:
  struct Current {
    RowVersion RowVersion_ = 0;
    StoredConfiguration Stored_;
  };

  Result<std::optional<Current>> readCurrent();
  Result<ConfigurationVersion> tryAccept(const ConfigurationChange &Change);
  Result<std::optional<ConfigurationVersion>>
  findAcceptedVersion(const std::string &ChangeId);
  Result<ConfigurationVersion>
  resolveUnknownOutcome(const ConfigurationChange &Change,
                        ConfigurationVersion AttemptedVersion,
                        const Error &Failure);
  std::vector<RowWrite> buildWrites(const ConfigurationChange &Change,
                                    const std::optional<Current> &Base) const;

  ITableService &Table_;
  const IConfigurationParser &Parser_;
  const IClock &Clock_;
};

} // namespace dragonflylock

#endif
