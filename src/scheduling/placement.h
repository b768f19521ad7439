#ifndef DRAGONFLYLOCK_SCHEDULING_PLACEMENT_H
#define DRAGONFLYLOCK_SCHEDULING_PLACEMENT_H

#include "scheduling/schedulingtypes.h"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace dragonflylock {

/// State of a worker, as input to the placement of a task.
struct PlacementCandidate {
  /// Whether the task must not be placed here, whatever resources are free.
  bool IsExcluded_ = false;
  std::string Rack_;
  std::vector<std::string> Labels_;
  Resources Free_;
  /// Number of tasks of the same step on the worker.
  std::uint32_t SameStepTasks_ = 0;
  /// Whether the last failed run of the task was on this worker.
  bool HasFailedTask_ = false;
  /// Whether tasks of the step run on the worker's rack; false for steps that
  /// do not ask for a single rack.
  bool IsOnRackOfStep_ = false;
  /// Number of runs that would be lost if the task crashed the worker; 0 for
  /// tasks that are not suspected of that.
  std::uint32_t RunsAtRisk_ = 0;
  /// Number of filler tasks on the worker, which slow serving tasks down.
  std::uint32_t Fillers_ = 0;
  /// Number of serving tasks on the worker, which filler tasks slow down.
  std::uint32_t Serving_ = 0;
};

/// \returns the resources that a task of the step reserves on a worker; filler
/// tasks reserve no processor.
Resources requiredResources(const StepSpec &Step);

/// \returns the index of the best of \p Candidates for a task of \p Step, or
/// nothing if none may run it now. Free resources, the required label and the
/// limit of tasks per worker are conditions. Of the remaining workers these are
/// avoided, most of all the first: those on which the task has failed, those
/// where a suspected task puts more runs at risk, those off the rack of the
/// data, those off the rack of the step, those that already run tasks of the
/// step if it has a disruption budget, and those where serving and filler tasks
/// would interfere. Of workers that are equal in all this, long-running tasks
/// get the one with the most free resources, other tasks the one with the
/// least.
std::optional<std::size_t>
choosePlacement(const StepSpec &Step,
                const std::vector<PlacementCandidate> &Candidates);

/// \returns whether a worker with this capacity and these labels could run a
/// task of the step if it were empty.
bool canEverRun(const StepSpec &Step, const Resources &Capacity,
                const std::vector<std::string> &Labels);

} // namespace dragonflylock

#endif
