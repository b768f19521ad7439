#include "scheduling/internal/machinelistcache.h"
#include "global/ilogger.h"
#include "global/logevent.h"
#include "scheduling/imachinecontrol.h"

namespace dragonflylock {

void MachineListCache::refresh(std::chrono::milliseconds Interval) {
  const TimePoint Now = Clock_.now();
  if (IsListing_ || Now < RequestedAt_ + Interval)
    return;
  IsListing_ = true;
  RequestedAt_ = Now;
  Control_.list(
      [Weak = weak_from_this(), RequestedAt = Now](const MachineList &Listed) {
        auto Self = Weak.lock();
        if (!Self)
          return;
        Self->IsListing_ = false;
        if (!Listed.IsValid_) {
          Self->Logger_.write(
              LogLevel::Warning,
              LogEvent("machines.unread")
                  .with("took",
                        std::chrono::duration_cast<std::chrono::microseconds>(
                            Self->Clock_.now() - RequestedAt)));
          return;
        }
        Self->ListedAt_ = RequestedAt;
        Self->Machines_.clear();
        for (const Machine &Each : Listed.Machines_)
          Self->Machines_[Each.Name_] = Each;
      });
}

} // namespace dragonflylock
