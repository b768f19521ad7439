#ifndef DRAGONFLYLOCK_SCHEDULING_INTERNAL_LOADMETER_H
#define DRAGONFLYLOCK_SCHEDULING_INTERNAL_LOADMETER_H

#include "scheduling/capacityplanner.h"

namespace dragonflylock {

struct PoolState;

/// \returns the pool's load, computed from the jobs and workers known to its
/// owner.
PoolLoad measureLoad(const PoolState &Pool);

} // namespace dragonflylock

#endif
