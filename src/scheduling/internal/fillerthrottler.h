#ifndef DRAGONFLYLOCK_SCHEDULING_INTERNAL_FILLERTHROTTLER_H
#define DRAGONFLYLOCK_SCHEDULING_INTERNAL_FILLERTHROTTLER_H

#include "scheduling/schedulingtypes.h"

#include <cstdint>
#include <memory>
#include <string>

namespace dragonflylock {

class WorkerSession;
struct PoolState;
struct SessionRun;

/// \returns the share at which filling tasks may work beside serving ones.
/// \param Current the share in force, 0 to 100.
/// \param TailRatio the worst tail latency divided by its target.
std::uint32_t nextFillerShare(std::uint32_t Current, double TailRatio);

/// Slows filling tasks down while serving tasks on the same worker come close
/// to their latency targets, and lets them catch up when there is room.
class FillerThrottler : public std::enable_shared_from_this<FillerThrottler> {
public:
  explicit FillerThrottler(PoolState &Pool) : Pool_(Pool) {}

  /// Adjusts the workers whose figures are new.
  void tick();

private:
  void adjust(WorkerSession &Session);
  void sendShare(WorkerSession &Session, const TaskName &Name,
                 SessionRun &Filler, std::uint32_t NewShare);

  PoolState &Pool_;
};

} // namespace dragonflylock

#endif
