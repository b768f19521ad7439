#ifndef DRAGONFLYLOCK_EMULATOR_INTERNAL_JOBVARIETY_H
#define DRAGONFLYLOCK_EMULATOR_INTERNAL_JOBVARIETY_H

#include "scheduling/schedulingtypes.h"

namespace dragonflylock {

class Simulation;

/// Labels of the workers that an emulation has. Each worker has one of them.
inline constexpr const char *FirstWorkerKind = "kind-a";
inline constexpr const char *SecondWorkerKind = "kind-b";

/// Gives a job features at random: racks that hold the data of its steps, a
/// maximum of tasks on one worker, required labels, latency targets, steps that
/// fill, long estimates and occurrences with due times.
/// \param Racks number of racks that the emulation has.
/// \param IsFreeToPlace whether all workers may run the job, so that labels may
/// be required.
void addVariety(JobSpec &Job, Simulation &Sim, std::int64_t Racks,
                bool IsFreeToPlace);

} // namespace dragonflylock

#endif
