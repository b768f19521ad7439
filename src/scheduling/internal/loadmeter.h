#ifndef DRAGONFLYLOCK_SCHEDULING_INTERNAL_LOADMETER_H
#define DRAGONFLYLOCK_SCHEDULING_INTERNAL_LOADMETER_H

#include "scheduling/capacityplanner.h"

namespace dragonflylock {

class ActiveJob;
struct PoolState;
struct Resources;

/// \returns the pool's load, computed from the jobs and workers known to its
/// owner.
PoolLoad measureLoad(const PoolState &Pool);
/// \returns the mean capacity of the pool's ready machines.
Resources meanCapacityOf(const PoolState &Pool);
/// \returns the work of the job's steps in machine-seconds, without
/// long-running steps.
double machineSecondsOf(const ActiveJob &Job, const Resources &MeanCapacity);
/// \returns the machines needed for all tasks of accepted jobs that have not
/// started, without long-running ones. The members of a gang count in full,
/// since they run at the same time. Of a timed job, the largest occurrence
/// counts.
double measureUnstartedLoad(const PoolState &Pool);

} // namespace dragonflylock

#endif
