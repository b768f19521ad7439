#ifndef DRAGONFLYLOCK_FLEET_FLEETTRANSITIONS_H
#define DRAGONFLYLOCK_FLEET_FLEETTRANSITIONS_H

#include "configuration/configurationtypes.h"
#include "fleet/availabilitybudget.h"
#include "fleet/fleettypes.h"
#include "global/result.h"
#include "platformservices/platformtypes.h"

#include <optional>
#include <string>
#include <vector>

namespace dragonflylock {

/// One change of an instance's row with all rows that change with it, to be
/// written in one transaction.
struct FleetChange {
  std::string Instance_;
  InstanceRow Row_;
  std::vector<RowWrite> Writes_;
  /// Members of its pool that must stay in service.
  std::size_t Required_ = 0;
};

/// Makes the transactions that move instances and take them out. Each holds
/// only for the rows as read, so that of two controllers one fails.
class FleetTransitions {
public:
  /// \param View the rows that the transactions build on; must outlive this.
  /// \param NowMs calendar time in milliseconds since 1970.
  FleetTransitions(const FleetView &View, std::int64_t NowMs);

  /// \returns the row that adds \p Instance to the members of its pool, where
  /// it is not among them yet.
  std::optional<RowWrite> enrol(const std::string &Pool) const;
  /// \returns the change by which a serving instance begins to leave, for
  /// \p Target or, where that is empty, for maintenance by \p Wave; or
  /// FleetErrc::UnknownInstance, FleetErrc::NotServing or
  /// FleetErrc::BudgetExhausted.
  Result<FleetChange> beginLeaving(const std::string &Instance,
                                   const PoolSettings &Settings,
                                   const std::string &Target,
                                   const std::string &Wave) const;
  /// \returns the change by which a quiet instance enters its target pool, or
  /// goes out for maintenance.
  Result<FleetChange> finishLeaving(const std::string &Instance) const;
  /// \returns the change by which a maintained instance serves again.
  Result<FleetChange> returnToService(const std::string &Instance) const;

  /// \returns how the members of \p Pool stand.
  PoolMemberCounts countMembers(const std::string &Pool) const;

private:
  Result<FleetChange> prepareChange(const std::string &Instance,
                                    InstancePhase Expected) const;
  void addInstanceWrite(FleetChange &Change,
                        const Versioned<InstanceRow> &From) const;
  RowWrite makePoolWrite(const std::string &Pool, const PoolRow &Row) const;
  PoolRow poolRow(const std::string &Pool) const;

  const FleetView &View_;
  std::int64_t NowMs_;
};

} // namespace dragonflylock

#endif
