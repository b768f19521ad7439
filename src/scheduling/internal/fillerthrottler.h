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

/// \returns the share of full speed, in percent, at which filler tasks may run
/// next to serving tasks.
/// \param Current the share in force, 0 to 100.
/// \param TailRatio the highest ratio of a tail latency to its target.
std::uint32_t nextFillerShare(std::uint32_t Current, double TailRatio);

/// Slows filler tasks down while serving tasks on the same worker come close to
/// their latency targets, and speeds them up again when the latencies allow it.
class FillerThrottler : public std::enable_shared_from_this<FillerThrottler> {
public:
  explicit FillerThrottler(PoolState &Pool) : Pool_(Pool) {}

  /// Adjusts the filler tasks of the workers whose measurements are new.
  void tick();

private:
  void adjust(WorkerSession &Session);
  void sendShare(WorkerSession &Session, const TaskName &Name,
                 SessionRun &Filler, std::uint32_t NewShare);

  PoolState &Pool_;
};

} // namespace dragonflylock

#endif
