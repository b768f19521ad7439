#ifndef DRAGONFLYLOCK_SCHEDULING_PLACEMENT_H
#define DRAGONFLYLOCK_SCHEDULING_PLACEMENT_H

#include "scheduling/schedulingtypes.h"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace dragonflylock {

/// A worker as placement sees it.
struct PlacementCandidate {
  /// Whether the task must not be placed here, whatever the room.
  bool IsExcluded_ = false;
  std::string Rack_;
  std::vector<std::string> Labels_;
  Resources Free_;
  /// Tasks of the same step on the worker.
  std::uint32_t SameStepTasks_ = 0;
  /// Whether the last run of the task failed there.
  bool HasFailedTask_ = false;
  /// Whether other tasks of the step run on the worker's rack.
  bool IsOnRackOfStep_ = false;
  /// Filling tasks on the worker, which disturb serving ones.
  std::uint32_t Fillers_ = 0;
  /// Serving tasks on the worker, which filling ones disturb.
  std::uint32_t Serving_ = 0;
};

/// \returns the room that a task of the step takes on a worker.
Resources requiredResources(const StepSpec &Step);

/// \returns the best of \p Candidates for a task of \p Step, or nothing where
/// none may run it now. Room, label and spread are conditions; then a worker
/// counts for less where the task has failed, away from the data's rack, where
/// it disturbs or is disturbed, and where less room is left.
std::optional<std::size_t>
choosePlacement(const StepSpec &Step,
                const std::vector<PlacementCandidate> &Candidates);

/// \returns whether the worker could ever run the step, were it empty.
bool canEverRun(const StepSpec &Step, const Resources &Capacity,
                const std::vector<std::string> &Labels);

} // namespace dragonflylock

#endif
