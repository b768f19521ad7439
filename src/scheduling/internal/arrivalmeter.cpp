#include "scheduling/internal/arrivalmeter.h"
#include "scheduling/internal/loadmeter.h"
#include "scheduling/internal/poolstate.h"

namespace dragonflylock {
namespace {

/// Jobs that were accepted longer ago are not new; they have been read late,
/// for example by a new owner.
constexpr std::chrono::milliseconds MaxAge{2000};

} // namespace

double ArrivalMeter::takeNewWork() {
  const TimePoint Now = Pool_.Clock_.now();
  const std::chrono::milliseconds Wall = Pool_.wallTime();
  const Resources MeanCapacity = meanCapacityOf(Pool_);
  double Work = 0;
  for (const auto &[Id, Job] : Pool_.Jobs_) {
    const auto Age = std::chrono::abs(Wall - Job->submission().AcceptedAt_);
    if (Age > MaxAge || Job->submission().Spec_.OccurrenceCount_ > 0 ||
        !SeenAt_.try_emplace(Id, Now).second)
      continue;
    if (HasStarted_)
      Work += machineSecondsOf(*Job, MeanCapacity);
  }
  HasStarted_ = true;
  // A job counts as new from MaxAge before its acceptance on a clock that is
  // behind, until MaxAge after it.
  std::erase_if(SeenAt_, [Now](const auto &Each) {
    return Now > Each.second + MaxAge * 2;
  });
  return Work;
}

} // namespace dragonflylock
