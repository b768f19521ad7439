#ifndef DRAGONFLYLOCK_SCHEDULING_INTERNAL_LOADMETER_H
#define DRAGONFLYLOCK_SCHEDULING_INTERNAL_LOADMETER_H

#include "scheduling/capacityplanner.h"

namespace dragonflylock {

struct PoolState;

/// \returns the load of a pool, from the jobs and workers its owner knows.
PoolLoad measureLoad(const PoolState &Pool);

} // namespace dragonflylock

#endif
