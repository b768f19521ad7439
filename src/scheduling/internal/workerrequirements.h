#ifndef DRAGONFLYLOCK_SCHEDULING_INTERNAL_WORKERREQUIREMENTS_H
#define DRAGONFLYLOCK_SCHEDULING_INTERNAL_WORKERREQUIREMENTS_H

#include "scheduling/schedulingtypes.h"

#include <string>
#include <tuple>

namespace dragonflylock {

/// The requirements of one task of a step on a worker.
struct WorkerRequirements {
  Resources PerTask_;
  /// Label that the worker must have; empty for none.
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
