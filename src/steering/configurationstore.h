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

/// Accepts configuration changes. One transaction writes the configuration to
/// the current row and a history row, and adds an audit row and a receipt whose
/// key is the change id.
class ConfigurationStore {
public:
  /// \param Table, Parser, Clock must outlive the store.
  ConfigurationStore(ITableService &Table, const IConfigurationParser &Parser,
                     const IClock &Clock);

  /// Accepts \p Change unless a change with its id was accepted before.
  /// \returns the version accepted by this or an earlier call; a
  /// ConfigurationErrc if the document is invalid or another change was
  /// accepted first; PlatformErrc::Unavailable if nothing was changed;
  /// PlatformErrc::AnswerLost if it is unknown whether the change was accepted.
  Result<ConfigurationVersion> accept(const ConfigurationChange &Change);

  /// \returns the current configuration in the table service, if there is one.
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
