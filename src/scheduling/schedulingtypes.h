#ifndef DRAGONFLYLOCK_SCHEDULING_SCHEDULINGTYPES_H
#define DRAGONFLYLOCK_SCHEDULING_SCHEDULINGTYPES_H

#include "global/iclock.h"
#include "global/socketaddress.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace dragonflylock {

/// Fencing token of a pool's owner; higher for each later owner.
using FencingToken = std::uint64_t;
/// Number of a start of one task; higher for each later start.
using RunNumber = std::uint64_t;

/// What a task asks for, or what a worker has.
struct Resources {
  /// Thousandths of a core.
  std::int64_t CpuMillis_ = 0;
  std::int64_t MemoryMb_ = 0;
  std::int64_t Gpus_ = 0;

  bool operator==(const Resources &) const = default;
  /// \returns whether all of \p Wanted fits.
  bool canFit(const Resources &Wanted) const;
  Resources &operator+=(const Resources &Other);
  Resources &operator-=(const Resources &Other);
};

/// One step of a job: tasks that are alike.
struct StepSpec {
  std::uint32_t TaskCount_ = 1;
  Resources PerTask_;
  /// Declared run time of a task; a rough figure.
  std::chrono::milliseconds Estimate_{0};
  /// Earlier steps that must have ended before this one starts.
  std::vector<std::uint32_t> After_;
  bool HasCheckpoints_ = false;
  /// Whether the tasks work only while all of them are present.
  bool IsGang_ = false;
  /// Whether the tasks are slow unless they share a rack.
  bool PrefersSameRack_ = false;
  /// A label that the worker must have; empty for any.
  std::string RequiredLabel_;
  /// The rack that holds the step's data; empty for none.
  std::string DataRack_;
  /// Most tasks of the step on one worker; 0 for any number.
  std::uint32_t MaxPerWorker_ = 0;
  /// Whether copies of a task may run at the same time.
  bool AllowsDuplicates_ = false;
  /// Whether the tasks run until the job is cancelled.
  bool IsLongRunning_ = false;
  std::string Image_;
  /// Tail latency that the tasks' own users are promised; 0 for none.
  std::chrono::milliseconds LatencyTarget_{0};
  /// Whether the tasks use only capacity that others leave.
  bool IsFiller_ = false;
  /// Tasks that acts of the system may make unavailable at the same time;
  /// absent where the step has no such budget.
  std::optional<std::uint32_t> DisruptionBudget_;
};

/// A job as it was submitted.
struct JobSpec {
  /// Opaque text for the workers.
  std::string Payload_;
  std::vector<StepSpec> Steps_;
  /// How often the steps run; 0 for one run without a due time.
  std::uint32_t OccurrenceCount_ = 0;
  /// Due time of the first occurrence, since 1970.
  std::chrono::milliseconds FirstDue_{0};
  std::chrono::milliseconds Interval_{0};

  /// \returns the number of occurrences, at least 1.
  std::uint32_t occurrences() const {
    return OccurrenceCount_ > 0 ? OccurrenceCount_ : 1;
  }
};

/// Names one task of a job.
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
  /// \returns the name of such a text, or nothing.
  static std::optional<TaskName> parse(const std::string &Text);
};

/// What a caller is shown of a job.
enum class JobPhase { Queued, Running, Completed, Failed, Cancelled };

/// \returns whether a job in \p State has ended.
inline bool isFinal(JobPhase State) {
  return State != JobPhase::Queued && State != JobPhase::Running;
}

/// Whether a worker takes new tasks.
enum class WorkerState { Ready, Draining };

/// One lifetime of a worker, as it registered itself.
struct WorkerEntry {
  std::string Id_;
  std::string Pool_;
  std::string Machine_;
  SocketAddress Address_;
  std::string Zone_;
  std::string Rack_;
  WorkerState State_ = WorkerState::Ready;
  /// Start of this lifetime, since 1970; tells lifetimes of one id apart.
  std::chrono::milliseconds Born_{0};
  Resources Capacity_;
  std::vector<std::string> Labels_;

  bool operator==(const WorkerEntry &) const = default;
  /// \returns a name that no other lifetime has.
  std::string lifetime() const;
};

/// A queue: a route of the configuration and its policy.
struct QueueSetting {
  std::string Name_;
  std::string Host_;
  std::string PathPrefix_;
  std::string Pool_;
  /// 0 is the most urgent.
  std::uint32_t Priority_ = 0;
  /// Failed runs after which a task fails its job.
  std::uint32_t MaxFailedRuns_ = 1;
  /// Factor between a job's chain of work and its objective.
  double Stretch_ = 1.0;
  std::chrono::milliseconds TargetLatency_{0};
  /// Whether only some workers may run a step, which the advice service knows.
  bool NeedsAdvice_ = false;

  bool operator==(const QueueSetting &) const = default;
};

/// A pool of workers.
struct SchedulingPool {
  std::string Name_;
  /// Whether workers refuse what does not fit.
  bool ChecksAdmission_ = true;
  /// Whether the pool holds machines that are off.
  bool IsSpare_ = false;

  bool operator==(const SchedulingPool &) const = default;
};

/// Queues and pools in force.
struct SchedulingConfiguration {
  std::uint64_t Version_ = 0;
  std::vector<QueueSetting> Queues_;
  std::vector<SchedulingPool> Pools_;

  /// \returns the queue of that name, or null.
  const QueueSetting *queue(const std::string &Name) const;
  /// \returns the queue of \p Host with the longest prefix of \p Path, or
  /// null.
  const QueueSetting *match(const std::string &Host,
                            const std::string &Path) const;
};

/// A maintenance wave that operators asked for.
struct MaintenanceWave {
  std::uint64_t Number_ = 0;
  std::vector<std::string> Machines_;
  /// Time from its announcement by which every machine is to be maintained.
  std::chrono::milliseconds Duration_{0};
  /// Machines that may be down for it at the same time.
  std::uint32_t MaxUnavailable_ = 1;
};

} // namespace dragonflylock

#endif
