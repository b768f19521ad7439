#ifndef DRAGONFLYLOCK_FLEET_AVAILABILITYBUDGET_H
#define DRAGONFLYLOCK_FLEET_AVAILABILITYBUDGET_H

#include <cstddef>

namespace dragonflylock {

/// The members of a pool, counted by availability.
struct PoolMemberCounts {
  std::size_t Members_ = 0;
  /// Members taken out of service for a move or for maintenance.
  std::size_t OutOfService_ = 0;
  /// Other members that the platform does not list as live.
  std::size_t Failed_ = 0;
  /// In-service members in the rack that has the most of them.
  std::size_t LargestRackSize_ = 0;
};

/// Limits how many instances of a pool may be out of service at a time.
class AvailabilityBudget {
public:
  /// \param MinimumAvailable the share of members that must stay in service,
  /// between 0 and 1.
  /// \param FailureReserve the number of simultaneous failures to tolerate
  /// while members are out of service. It is capped at the number of
  /// in-service members in the largest rack.
  AvailabilityBudget(double MinimumAvailable, std::size_t FailureReserve);

  /// \returns how many of \p Members must stay in service.
  std::size_t requiredInService(std::size_t Members) const;
  /// \returns whether one more member may be taken out of service.
  bool allowsDisruption(const PoolMemberCounts &Count) const;

private:
  double MinimumAvailable_;
  std::size_t FailureReserve_;
};

} // namespace dragonflylock

#endif
