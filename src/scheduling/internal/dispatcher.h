#ifndef DRAGONFLYLOCK_SCHEDULING_INTERNAL_DISPATCHER_H
#define DRAGONFLYLOCK_SCHEDULING_INTERNAL_DISPATCHER_H

#include "scheduling/placement.h"
#include "scheduling/workercalls.h"

#include <memory>
#include <string>
#include <vector>

namespace dragonflylock {

class ActiveJob;
class RunBook;
class WorkerSession;
struct PoolState;

/// Starts the tasks of a pool in the order of their jobs' urgency, and stops
/// runs that should not go on.
class Dispatcher : public std::enable_shared_from_this<Dispatcher> {
public:
  Dispatcher(PoolState &Pool, RunBook &Runs) : Pool_(Pool), Runs_(Runs) {}

  /// Starts what fits.
  void dispatch();
  /// Stops the runs of ended jobs, copies of done tasks, and lasting tasks on
  /// workers that leave.
  void stopUnwanted();
  /// Orders a run to stop.
  void stop(WorkerSession &Session, const TaskName &Name, RunNumber Run);
  /// Takes all runs of a worker that has gone down as ended.
  void abandon(WorkerSession &Session);

private:
  std::vector<ActiveJob *> jobsByUrgency();
  void dispatchJob(ActiveJob &Job);
  WorkerSession *choose(const ActiveJob &Job, const TaskName &Name);
  bool isUsable(const WorkerSession &Session) const;
  void start(ActiveJob &Job, const TaskName &Name, WorkerSession &Session);
  void onStarted(const std::string &Lifetime, const TaskName &Name,
                 RunNumber Run, const OrderAnswer &Answer);
  void onStopped(const std::string &Lifetime, const TaskName &Name,
                 RunNumber Run, const OrderAnswer &Answer);
  void onStartRefused(WorkerSession &Session, const TaskName &Name,
                      OrderOutcome Outcome);
  bool isUnwanted(const WorkerSession &Session, const TaskName &Name);

  PoolState &Pool_;
  RunBook &Runs_;
};

} // namespace dragonflylock

#endif
