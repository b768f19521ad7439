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

/// A change of an instance's row together with all row writes that belong to
/// it, to be committed in one transaction.
struct FleetChange {
  std::string Instance_;
  InstanceRow Row_;
  std::vector<RowWrite> Writes_;
  /// Members of the pool that must stay in service; set only where the change
  /// takes the instance out of service.
  std::size_t Required_ = 0;
};

/// Builds the transactions that move instances between pools and take them out
/// of service. Each is conditional on the row versions that were read, so that
/// of two conflicting transactions only one succeeds.
class FleetTransitions {
public:
  /// \param View the rows that the transactions are based on; must outlive this
  /// object.
  /// \param NowMs calendar time in milliseconds since 1970.
  FleetTransitions(const FleetView &View, std::int64_t NowMs);

  /// \returns the row write that adds all instances assigned to \p Pool to its
  /// members; nothing if none is missing.
  std::optional<RowWrite> enrol(const std::string &Pool) const;
  /// \returns the change by which a serving instance starts to leave its pool,
  /// either for the pool \p Target or, if that is empty, for maintenance in
  /// \p Wave; or FleetErrc::UnknownInstance, FleetErrc::NotServing or
  /// FleetErrc::BudgetExhausted.
  Result<FleetChange> beginLeaving(const std::string &Instance,
                                   const PoolSettings &Settings,
                                   const std::string &Target,
                                   const std::string &Wave) const;
  /// \returns the change by which a leaving instance joins its target pool or
  /// goes out of service for maintenance. The caller must have checked that the
  /// instance is quiescent.
  Result<FleetChange> finishLeaving(const std::string &Instance) const;
  /// \returns the change by which an instance serves again after maintenance.
  Result<FleetChange> returnToService(const std::string &Instance) const;

  /// \returns the members of \p Pool, counted by availability.
  PoolMemberCounts countMembers(const std::string &Pool) const;

private:
  /// \returns a change without writes, based on the row of \p Instance, or
  /// an error if the instance is not in phase \p Expected.
  Result<FleetChange> prepareChange(const std::string &Instance,
                                    InstancePhase Expected) const;
  /// Increments the row's epoch and adds the write of the row, conditional on
  /// the version of \p From.
  void addInstanceWrite(FleetChange &Change,
                        const Versioned<InstanceRow> &From) const;
  RowWrite makePoolWrite(const std::string &Pool, const PoolRow &Row) const;
  PoolRow poolRow(const std::string &Pool) const;

  const FleetView &View_;
  std::int64_t NowMs_;
};

} // namespace dragonflylock

#endif
