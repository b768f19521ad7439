#ifndef DRAGONFLYLOCK_SCHEDULING_INTERNAL_BACKLOGMETER_H
#define DRAGONFLYLOCK_SCHEDULING_INTERNAL_BACKLOGMETER_H

#include "admission/poolbacklog.h"
#include "admission/poolspeedmeter.h"
#include "scheduling/storetypes.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace dragonflylock {

class ActiveJob;
struct PoolState;
struct QueuePolicy;
struct StepSpec;
struct TaskRun;

/// Measures the backlog of a pool for the nodes that accept its jobs. Scans all
/// jobs of the pool, like the count of pending jobs with which it is reported.
class BacklogMeter {
public:
  explicit BacklogMeter(const PoolState &Pool) : Pool_(Pool) {}

  /// \returns the work that the pool has not done; nothing if too little waits
  /// to delay any job. Must be called at regular intervals.
  std::optional<PoolBacklog> measure();

private:
  /// Work of one job that was accepted lately.
  struct Arrival {
    TimePoint SeenAt_;
    std::uint32_t Priority_ = 0;
    std::int64_t Work_ = 0;
  };
  /// Places and work of the jobs of one priority that wait on time.
  using OnTimeWork =
      std::vector<std::pair<std::chrono::milliseconds, std::int64_t>>;

  /// \returns the cores of the workers that take tasks, without those that
  /// long-running tasks hold.
  double cores() const;
  void addJob(const ActiveJob &Job, PoolBacklog &Sum,
              std::map<std::uint32_t, OnTimeWork> &OnTime);
  const QueuePolicy &policyOf(const ActiveJob &Job);
  /// \returns the core-milliseconds of work that a running task has left.
  std::int64_t workLeft(const StepSpec &Step, const TaskRun &Run) const;
  /// Adds the jobs that have been accepted since the last call.
  void updateArrivals();
  void addArrivals(PoolBacklog &Sum) const;

  const PoolState &Pool_;
  PoolSpeedMeter Speed_;
  /// Jobs with later submissions have not been counted as arrivals.
  StoreVersion CountedSubmission_ = 0;
  /// When the first jobs were seen, which may have been accepted long before.
  std::optional<TimePoint> FirstAt_;
  std::deque<Arrival> Arrivals_;
  /// Cores that tasks which end by themselves hold, by the last measurement.
  double BusyCores_ = 0;
  /// By queue, during a measurement: the search for the policy of each job is
  /// linear in the number of queues.
  std::unordered_map<std::string, const QueuePolicy *> Policies_;
};

} // namespace dragonflylock

#endif
