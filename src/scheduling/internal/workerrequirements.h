#ifndef DRAGONFLYLOCK_SCHEDULING_INTERNAL_WORKERREQUIREMENTS_H
#define DRAGONFLYLOCK_SCHEDULING_INTERNAL_WORKERREQUIREMENTS_H

#include "scheduling/schedulingtypes.h"

#include <string>
#include <tuple>

namespace dragonflylock {

/// What a worker must have to run one task of a step.
struct WorkerRequirements {
  Resources PerTask_;
  /// Empty for any worker.
  std::string Label_;

  bool operator==(const WorkerRequirements &) const = default;
  bool operator<(const WorkerRequirements &Other) const {
    return std::tie(PerTask_.CpuMillis_, PerTask_.MemoryMb_, PerTask_.Gpus_,
                    Label_) < std::tie(Other.PerTask_.CpuMillis_,
                                       Other.PerTask_.MemoryMb_,
                                       Other.PerTask_.Gpus_, Other.Label_);
  }
};

} // namespace dragonflylock

#endif
