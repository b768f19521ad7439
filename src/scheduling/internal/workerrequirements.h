#ifndef DRAGONFLYLOCK_SCHEDULING_INTERNAL_WORKERREQUIREMENTS_H
#define DRAGONFLYLOCK_SCHEDULING_INTERNAL_WORKERREQUIREMENTS_H

#include "scheduling/schedulingtypes.h"

#include <string>
#include <tuple>

namespace dragonflylock {

/// What a worker must have to run one task of a step.
struct WorkerRequirements {
  Resources Room_;
  /// Empty for any worker.
  std::string Label_;

  bool operator==(const WorkerRequirements &) const = default;
  bool operator<(const WorkerRequirements &Other) const {
    return std::tie(Room_.CpuMillis_, Room_.MemoryMb_, Room_.Gpus_, Label_) <
           std::tie(Other.Room_.CpuMillis_, Other.Room_.MemoryMb_,
                    Other.Room_.Gpus_, Other.Label_);
  }
};

} // namespace dragonflylock

#endif
