#include "global/ilogger.h"
#include "global/logevent.h"
#include "scheduling/imachinecontrol.h"
#include "scheduling/internal/machinelistcache.h"

namespace dragonflylock {

void MachineListCache::refresh(std::chrono::milliseconds Interval) {
  const TimePoint Now = Clock_.now();
  if (IsListing_ || Now < AskedAt_ + Interval)
    return;
  IsListing_ = true;
  AskedAt_ = Now;
  Control_.list(
      [Weak = weak_from_this(), Asked = Now](const MachineList &Read) {
        auto Self = Weak.lock();
        if (!Self)
          return;
        Self->IsListing_ = false;
        if (!Read.IsValid_) {
          Self->Logger_.write(
              LogLevel::Warning,
              LogEvent("machines.unread")
                  .with("took",
                        std::chrono::duration_cast<std::chrono::microseconds>(
                            Self->Clock_.now() - Asked)));
          return;
        }
        Self->ListedAt_ = Asked;
        Self->Machines_.clear();
        for (const Machine &Each : Read.Machines_)
          Self->Machines_[Each.Name_] = Each;
      });
}

} // namespace dragonflylock
