#ifndef DRAGONFLYLOCK_SCHEDULING_SCHEDULINGTYPES_H
#define DRAGONFLYLOCK_SCHEDULING_SCHEDULINGTYPES_H

#include "customers/customer.h"
#include "global/iclock.h"
#include "global/requestlimits.h"
#include "global/resources.h"
#include "global/socketaddress.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace dragonflylock {

/// Fencing token of a pool's owner; it increases with each new owner.
using FencingToken = std::uint64_t;
/// Number of a run of one task; it increases with each start.
using RunNumber = std::uint64_t;

/// One step of a job: a number of identical tasks.
struct StepSpec {
  std::uint32_t TaskCount_ = 1;
  Resources PerTask_;
  /// Declared run time of a task; only an estimate.
  std::chrono::milliseconds Estimate_{0};
  /// Indexes of the earlier steps that must be done before this one starts.
  std::vector<std::uint32_t> After_;
  bool HasCheckpoints_ = false;
  /// Whether the tasks make progress only while all of them run.
  bool IsGang_ = false;
  /// Whether the tasks are slow unless they run on the same rack.
  bool PrefersSameRack_ = false;
  /// Label that the worker must have; empty for any worker.
  std::string RequiredLabel_;
  /// Rack that holds the step's data; empty for none.
  std::string DataRack_;
  /// Maximum number of the step's tasks on one worker; 0 for no limit.
  std::uint32_t MaxPerWorker_ = 0;
  /// Whether copies of one task may run at the same time.
  bool AllowsDuplicates_ = false;
  /// Whether the tasks run until the job is cancelled.
  bool IsLongRunning_ = false;
  std::string Image_;
  /// Tail latency that is promised to the users of the tasks; 0 for none.
  std::chrono::milliseconds LatencyTarget_{0};
  /// Whether the tasks use only capacity that other tasks leave unused.
  bool IsFiller_ = false;
  /// Number of tasks that actions of the system itself may make unavailable at
  /// the same time; absent if the step has no disruption budget.
  std::optional<std::uint32_t> DisruptionBudget_;
};

/// A job as a caller submits it.
struct JobSpec {
  /// Opaque to the scheduler; passed to the workers.
  std::string Payload_;
  /// Name of the customer whose key the caller presented; empty for a job of a
  /// public queue.
  std::string Customer_;
  std::vector<StepSpec> Steps_;
  /// Number of times that the steps run; 0 for once, without a due time.
  std::uint32_t OccurrenceCount_ = 0;
  /// Due time of the first occurrence, since 1970.
  std::chrono::milliseconds FirstDue_{0};
  std::chrono::milliseconds Interval_{0};

  /// \returns the number of occurrences, at least 1.
  std::uint32_t occurrences() const {
    return OccurrenceCount_ > 0 ? OccurrenceCount_ : 1;
  }
};

/// Identifies one task of a job.
struct TaskName {
  std::string Job_;
  std::uint32_t Occurrence_ = 0;
  std::uint32_t Step_ = 0;
  std::uint32_t Index_ = 0;

  bool operator==(const TaskName &) const = default;
  bool operator<(const TaskName &Other) const {
    return std::tie(Job_, Occurrence_, Step_, Index_) <
           std::tie(Other.Job_, Other.Occurrence_, Other.Step_, Other.Index_);
  }
  /// \returns "JOB.OCCURRENCE.STEP.INDEX".
  std::string text() const;
  /// \returns the name that text() wrote as \p Text, or nothing.
  static std::optional<TaskName> parse(const std::string &Text);
};

/// State of a job as callers see it.
enum class JobPhase { Queued, Running, Completed, Failed, Cancelled };

/// \returns whether a job in \p State has ended.
inline bool isFinal(JobPhase State) {
  return State != JobPhase::Queued && State != JobPhase::Running;
}

/// Whether a worker accepts new tasks.
enum class WorkerState { Ready, Draining };

/// Registration of one lifetime of a worker.
struct WorkerEntry {
  std::string Id_;
  std::string Pool_;
  std::string Machine_;
  SocketAddress Address_;
  std::string Zone_;
  std::string Rack_;
  WorkerState State_ = WorkerState::Ready;
  /// Start of this lifetime, since 1970; distinguishes the lifetimes of one id.
  std::chrono::milliseconds Born_{0};
  Resources Capacity_;
  std::vector<std::string> Labels_;

  bool operator==(const WorkerEntry &) const = default;
  /// \returns a unique name of this lifetime, from its id and its start.
  std::string lifetime() const;
};

/// How the jobs of a queue are scheduled.
struct QueuePolicy {
  /// 0 is the highest priority.
  std::uint32_t Priority_ = 0;
  /// Number of failed runs of a task after which its job fails.
  std::uint32_t MaxFailedRuns_ = 1;
  /// Factor on the critical path time of a job in its objective: a job is to
  /// end within Stretch_ times its critical path time, plus TargetLatency_.
  double Stretch_ = 1.0;
  std::chrono::milliseconds TargetLatency_{0};
  /// Whether the advice service decides which workers may run a step.
  bool NeedsAdvice_ = false;

  bool operator==(const QueuePolicy &) const = default;
};

/// A queue: a route of the configuration and its scheduling policy.
struct QueueSetting : QueuePolicy {
  std::string Name_;
  std::string Host_;
  std::string PathPrefix_;
  std::string Pool_;
  /// Whether calls need no key of a customer.
  bool IsPublic_ = false;

  bool operator==(const QueueSetting &) const = default;
};

/// A pool of workers.
struct SchedulingPool {
  std::string Name_;
  /// Whether workers refuse tasks that do not fit into their free resources.
  bool ChecksAdmission_ = true;
  /// Whether the pool holds machines that are switched off.
  bool IsSpare_ = false;

  bool operator==(const SchedulingPool &) const = default;
};

/// Queues and pools of the current configuration.
struct SchedulingConfiguration {
  std::uint64_t Version_ = 0;
  std::vector<QueueSetting> Queues_;
  std::vector<SchedulingPool> Pools_;
  std::vector<Customer> Customers_;
  /// A line for each entry of the document that is odd, with how it is taken.
  std::vector<std::string> Problems_;
  /// What is accepted of each request of a caller.
  RequestLimits RequestLimits_;
  /// A line for each of the request limits that is invalid.
  std::vector<std::string> LimitProblems_;

  /// \returns the queue of that name, or null.
  const QueueSetting *queue(const std::string &Name) const;
  /// \returns the queue of \p Host with the longest prefix of \p Path, or
  /// null.
  const QueueSetting *match(const std::string &Host,
                            const std::string &Path) const;
};

/// A maintenance wave that operators have requested.
struct MaintenanceWave {
  std::uint64_t Number_ = 0;
  std::vector<std::string> Machines_;
  /// Time from its announcement until every machine is to be maintained.
  std::chrono::milliseconds Duration_{0};
  /// Maximum number of machines that may be down for it at the same time.
  std::uint32_t MaxUnavailable_ = 1;
};

} // namespace dragonflylock

#endif
