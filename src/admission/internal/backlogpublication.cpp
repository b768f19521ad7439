#include "admission/backlogpublication.h"

#include <cmath>

namespace dragonflylock {
namespace {

/// Time of the whole pool, in milliseconds, that waiting work must need to be
/// reported. With less, every job starts about at once.
constexpr double SmallestBacklogMs = 100;
/// Change of the waiting work or of the speed that is worth a write.
constexpr double LargeChange = 0.1;

bool hasChanged(double Old, double New) {
  return std::abs(New - Old) > LargeChange * std::abs(Old);
}

} // namespace

bool BacklogPublication::isBacklog(const PoolBacklog &Measured) {
  return static_cast<double>(Measured.waiting()) >
         SmallestBacklogMs * Measured.Speed_;
}

bool BacklogPublication::isDue(const std::optional<PoolBacklog> &Next,
                               TimePoint Now) const {
  if (Next.has_value() != Last_.has_value())
    return true;
  if (!Next)
    return false;
  return Now >= LastAt_ + MaxInterval ||
         hasChanged(Last_->Speed_, Next->Speed_) ||
         hasChanged(static_cast<double>(Last_->waiting()),
                    static_cast<double>(Next->waiting()));
}

void BacklogPublication::onWrite(const std::optional<PoolBacklog> &Next,
                                 TimePoint Now) {
  Last_ = Next;
  LastAt_ = Now;
}

} // namespace dragonflylock
