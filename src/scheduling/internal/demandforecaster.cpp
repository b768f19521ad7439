#include "scheduling/internal/demandforecaster.h"
#include "global/ilogger.h"
#include "global/logevent.h"
#include "scheduling/controlrows.h"
#include "scheduling/internal/poolstate.h"

#include <algorithm>
#include <cmath>

namespace dragonflylock {

void DemandForecaster::takeOver(const DemandRow &Row) {
  HasTakenOver_ = true;
  if (Row.Forecast_.empty())
    return;
  if (auto Known = TurnForecast::decode(Row.Forecast_, Pool_.wallTime())) {
    Forecast_ = *Known;
    if (Forecast_.isKnown())
      logChange(TurnForecast::Change::Found);
    return;
  }
  Pool_.Logger_.write(LogLevel::Info, LogEvent("forecast.dropped")
                                          .with("pool", Pool_.Pool_)
                                          .with("reason", "outdated row"));
}

void DemandForecaster::update(PoolLoad &Load, const DemandRow &Row) {
  if (!HasTakenOver_)
    takeOver(Row);
  const std::chrono::milliseconds Wall = Pool_.wallTime();
  // Lower peaks are met by the reserve that stays in the pool.
  Forecast_.setMinHeight(
      std::max<double>(1, CapacityPlanner::reserveOf(Load.HomeMachines_)));
  const double Work = Arrivals_.takeNewWork();
  logChange(Forecast_.record(Wall, Pool_.Clock_.now(), Work));
  // The load of the last second takes a second to show a peak's height, and
  // misses jobs that have ended.
  Load.ArrivalLoad_ = std::max(Load.ArrivalLoad_, Forecast_.peakRate());
  if (auto Next = Forecast_.turnAt(Wall);
      Next && Wall >= Next->Begin_ - Planner_.leadTime())
    Load.ForecastLoad_ = Next->Height_;
}

bool DemandForecaster::mayReturnHomeMachines() const {
  if (!Forecast_.isConfirmed())
    return false;
  const std::chrono::milliseconds Wall = Pool_.wallTime();
  const auto Next = Forecast_.turnAt(Wall);
  return Next && Next->Begin_ - Wall >= Planner_.minIdlePhase();
}

std::uint32_t
DemandForecaster::machinesToAskBack(std::uint32_t Returned) const {
  return Forecast_.isKnown() ? 0 : Returned;
}

void DemandForecaster::logChange(TurnForecast::Change Change) const {
  if (Change == TurnForecast::Change::None)
    return;
  if (Change == TurnForecast::Change::Dropped) {
    Pool_.Logger_.write(LogLevel::Info, LogEvent("forecast.dropped")
                                            .with("pool", Pool_.Pool_)
                                            .with("reason", "broken pattern"));
    return;
  }
  const auto Next = Forecast_.turnAt(Pool_.wallTime());
  Pool_.Logger_.write(
      LogLevel::Info,
      LogEvent("forecast.found")
          .with("pool", Pool_.Pool_)
          .with("period", std::chrono::microseconds(Forecast_.period()))
          .with("next-ms", static_cast<std::uint64_t>(Next->Begin_.count()))
          .with("length", std::chrono::microseconds(Next->Length_))
          .with("height",
                static_cast<std::uint64_t>(std::llround(Next->Height_))));
}

} // namespace dragonflylock
