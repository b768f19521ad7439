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

/// Caches the platform's list of machines for a pool's owner.
class MachineListCache : public std::enable_shared_from_this<MachineListCache> {
public:
  /// \param Control, Clock, Logger must outlive this object.
  MachineListCache(IMachineControl &Control, const IClock &Clock,
                   ILogger &Logger)
      : Control_(Control), Clock_(Clock), Logger_(Logger) {}

  /// Requests the list, unless a request is in flight or was sent within
  /// \p Interval.
  void refresh(std::chrono::milliseconds Interval);
  /// \returns the machines of the last list that was read, by name.
  const std::map<std::string, Machine> &machines() const { return Machines_; }
  /// \returns when that list was requested.
  TimePoint listedAt() const { return ListedAt_; }
  /// \returns whether a list was read that was requested at \p Time or later,
  /// so that it contains every machine that had joined by then.
  bool isCurrentSince(TimePoint Time) const {
    return !Machines_.empty() && ListedAt_ >= Time;
  }

private:
  IMachineControl &Control_;
  const IClock &Clock_;
  ILogger &Logger_;
  std::map<std::string, Machine> Machines_;
  bool IsListing_ = false;
  /// When a list was last requested.
  TimePoint RequestedAt_;
  TimePoint ListedAt_;
};

} // namespace dragonflylock

#endif
