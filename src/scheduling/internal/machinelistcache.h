#ifndef DRAGONFLYLOCK_SCHEDULING_INTERNAL_MACHINELISTCACHE_H
#define DRAGONFLYLOCK_SCHEDULING_INTERNAL_MACHINELISTCACHE_H

#include "global/iclock.h"
#include "scheduling/machinetypes.h"

#include <chrono>
#include <map>
#include <memory>
#include <string>

namespace dragonflylock {

class ILogger;
class IMachineControl;

/// Keeps the platform's list of machines for the keepers of a pool's owner.
class MachineListCache : public std::enable_shared_from_this<MachineListCache> {
public:
  /// \param Control, Clock, Logger must outlive this object.
  MachineListCache(IMachineControl &Control, const IClock &Clock,
                   ILogger &Logger)
      : Control_(Control), Clock_(Clock), Logger_(Logger) {}

  /// Asks for the list, unless that was done within \p Interval.
  void refresh(std::chrono::milliseconds Interval);
  /// \returns the machines as listed last, by name.
  const std::map<std::string, Machine> &machines() const { return Machines_; }
  /// \returns when that list was asked for.
  TimePoint listedAt() const { return ListedAt_; }

private:
  IMachineControl &Control_;
  const IClock &Clock_;
  ILogger &Logger_;
  std::map<std::string, Machine> Machines_;
  bool IsListing_ = false;
  /// When a list was asked for last.
  TimePoint RequestedAt_;
  TimePoint ListedAt_;
};

} // namespace dragonflylock

#endif
