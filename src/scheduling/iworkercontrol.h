#ifndef DRAGONFLYLOCK_SCHEDULING_IWORKERCONTROL_H
#define DRAGONFLYLOCK_SCHEDULING_IWORKERCONTROL_H

#include "scheduling/workercalls.h"

#include <functional>

namespace dragonflylock {

/// Orders to workers. Every callback runs on the thread that decides.
class IWorkerControl {
public:
  using OrderCallback = std::function<void(const OrderAnswer &)>;
  using HoldCallback = std::function<void(const HoldAnswer &)>;

  virtual ~IWorkerControl() = default;
  /// Starts a task.
  virtual void start(const WorkerTarget &Target, const StartOrder &Order,
                     OrderCallback Done) = 0;
  /// Stops a run; also fences one that has not arrived yet.
  virtual void stop(const WorkerTarget &Target, const TaskName &Task,
                    RunNumber Run, FencingToken Token, OrderCallback Done) = 0;
  /// Renews the lease and lists runs and ends.
  virtual void hold(const WorkerTarget &Target, const HoldOrder &Order,
                    HoldCallback Done) = 0;
  /// Lets a run work at \p Percent of its speed.
  virtual void pace(const WorkerTarget &Target, const TaskName &Task,
                    RunNumber Run, std::uint32_t Percent, FencingToken Token,
                    OrderCallback Done) = 0;
};

} // namespace dragonflylock

#endif
