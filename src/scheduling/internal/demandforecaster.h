#ifndef DRAGONFLYLOCK_SCHEDULING_INTERNAL_DEMANDFORECASTER_H
#define DRAGONFLYLOCK_SCHEDULING_INTERNAL_DEMANDFORECASTER_H

#include "forecast/turnforecast.h"
#include "scheduling/capacityplanner.h"
#include "scheduling/internal/arrivalmeter.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace dragonflylock {

struct DemandRow;
struct PoolState;

/// Predicts the demand peaks of a pool from the arrivals that its owner sees,
/// and decides when machines are requested ahead of a peak and when home
/// machines may wait in the spare pool. Answers for queues that peak in turn:
/// machines that are requested when a peak has begun arrive when half of it is
/// over, and a pool that keeps its machines between two peaks pays for them
/// while they are idle.
class DemandForecaster {
public:
  /// \param Pool must outlive this object.
  DemandForecaster(const PoolState &Pool, const CapacityPlanner &Planner)
      : Pool_(Pool), Planner_(Planner), Arrivals_(Pool) {}

  /// Records the arrivals since the last call and completes \p Load by them and
  /// by the forecast. The first call takes over the pattern that previous
  /// owners have learned.
  /// \param Row the pool's demand row.
  void update(PoolLoad &Load, const DemandRow &Row);
  /// \returns whether idle home machines may be returned now: a confirmed
  ///   pattern shows no need for CapacityPlanner::minIdlePhase().
  bool mayReturnHomeMachines() const;
  /// \returns the number of machines to request so that returned home machines
  ///   come back although no peak is predicted.
  /// \param Returned the number of home machines in the spare pool.
  std::uint32_t machinesToAskBack(std::uint32_t Returned) const;
  /// \returns the pattern for the demand row; empty if there is none.
  std::string encoded() const { return Forecast_.encode(); }

private:
  void takeOver(const DemandRow &Row);
  void logChange(TurnForecast::Change Change) const;

  const PoolState &Pool_;
  const CapacityPlanner &Planner_;
  ArrivalMeter Arrivals_;
  TurnForecast Forecast_;
  bool HasTakenOver_ = false;
};

} // namespace dragonflylock

#endif
