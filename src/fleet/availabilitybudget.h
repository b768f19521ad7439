#ifndef DRAGONFLYLOCK_FLEET_AVAILABILITYBUDGET_H
#define DRAGONFLYLOCK_FLEET_AVAILABILITYBUDGET_H

#include <cstddef>

namespace dragonflylock {

/// How the instances of a pool stand.
struct PoolMemberCounts {
  std::size_t Members_ = 0;
  /// Members out of service by decision.
  std::size_t OutOfService_ = 0;
  /// Members that failed by themselves.
  std::size_t Failed_ = 0;
  /// Members in service of the rack that has the most of them.
  std::size_t LargestRackSize_ = 0;
};

/// Decides how many instances of a pool may be out of service.
class AvailabilityBudget {
public:
  /// \param MinimumAvailable the promised share of members in service,
  /// between 0 and 1.
  /// \param FailureReserve members that may fail at a time while others are
  /// out; no more than the largest rack counts.
  AvailabilityBudget(double MinimumAvailable, std::size_t FailureReserve);

  /// \returns how many of \p Members must stay in service.
  std::size_t requiredInService(std::size_t Members) const;
  /// \returns whether one more member may be taken out.
  bool allowsDisruption(const PoolMemberCounts &Count) const;

private:
  double MinimumAvailable_;
  std::size_t FailureReserve_;
};

} // namespace dragonflylock

#endif
