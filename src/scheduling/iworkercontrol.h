#ifndef DRAGONFLYLOCK_SCHEDULING_IWORKERCONTROL_H
#define DRAGONFLYLOCK_SCHEDULING_IWORKERCONTROL_H

#include "scheduling/workercalls.h"

#include <functional>

namespace dragonflylock {

/// Sends orders to workers. Callbacks run on the thread that makes the
/// scheduling decisions.
class IWorkerControl {
public:
  using OrderCallback = std::function<void(const OrderAnswer &)>;
  using HoldCallback = std::function<void(const HoldAnswer &)>;

  virtual ~IWorkerControl() = default;
  /// Starts a task.
  virtual void start(const WorkerTarget &Target, const StartOrder &Order,
                     OrderCallback Done) = 0;
  /// Stops a run. A start of this run that arrives later is refused.
  virtual void stop(const WorkerTarget &Target, const TaskName &Task,
                    RunNumber Run, FencingToken Token, OrderCallback Done) = 0;
  /// Renews the lease of all runs on the worker and asks for its lists of runs
  /// and run ends.
  virtual void hold(const WorkerTarget &Target, const HoldOrder &Order,
                    HoldCallback Done) = 0;
  /// Sets the speed of a run to \p Percent of full speed.
  virtual void pace(const WorkerTarget &Target, const TaskName &Task,
                    RunNumber Run, std::uint32_t Percent, FencingToken Token,
                    OrderCallback Done) = 0;
};

} // namespace dragonflylock

#endif
