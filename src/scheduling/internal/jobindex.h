#ifndef DRAGONFLYLOCK_SCHEDULING_INTERNAL_JOBINDEX_H
#define DRAGONFLYLOCK_SCHEDULING_INTERNAL_JOBINDEX_H

#include "scheduling/internal/ijobobserver.h"
#include "scheduling/internal/jobrank.h"
#include "scheduling/internal/workerrequirements.h"
#include "scheduling/schedulingtypes.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace dragonflylock {

struct PoolState;

/// Indexes a pool's jobs by the work that they need (dispatch, storing of
/// progress, removal) and follows their changes, so that no round has to scan
/// all jobs.
class JobIndex : public IJobObserver {
public:
  struct ById {
    bool operator()(const ActiveJob *Left, const ActiveJob *Right) const;
  };
  using JobSet = std::set<ActiveJob *, ById>;
  using CapacityCheck = std::function<bool(const WorkerRequirements &)>;

  explicit JobIndex(PoolState &Pool) : Pool_(Pool) {}
  JobIndex(const JobIndex &) = delete;
  JobIndex &operator=(const JobIndex &) = delete;

  void add(ActiveJob &Job);
  void remove(ActiveJob &Job);
  ActiveJob *find(const std::string &Id);
  void onJobChanging(ActiveJob &Job) override;

  /// Updates the index for the jobs that have changed since the last call.
  void refresh();
  /// \returns the jobs whose progress must be stored, by queue.
  const std::map<std::string, JobSet> &dirty() const { return Dirty_; }
  /// \returns the jobs whose end is stored and which have no runs on workers.
  const JobSet &removable() const { return Removable_; }

  /// Begins a scan of the jobs with startable tasks, the most urgent first.
  /// The scan skips jobs for which no worker has the free resources, unless
  /// they are new to the wait for resources, or their requirements changed, and
  /// no scan has visited them since.
  /// \param HasCapacity returns whether any worker has the free resources. Its
  ///   result must not change from false to true during the scan.
  void beginScan(CapacityCheck HasCapacity);
  /// \returns the next job of the scan, or null after the last.
  ActiveJob *next();
  /// \returns the number of jobs that all scans together have returned.
  std::uint64_t visitCount() const { return VisitCount_; }

private:
  /// The keys under which a job is in the sets of the index.
  struct IndexKeys {
    JobRank Rank_;
    std::vector<WorkerRequirements> Needs_;
    /// Whether scans visit the job even if no worker has the free resources.
    bool IsUnconditional_ = false;
    /// When the keys have to be computed again even if the job does not change:
    /// wall-clock time since 1970, and steady time.
    std::optional<std::chrono::milliseconds> NextWall_;
    std::optional<TimePoint> NextTime_;
  };
  struct JobEntry {
    ActiveJob *Job_ = nullptr;
    bool IsChanged_ = false;
    IndexKeys Keys_;
  };
  using Ranks = std::set<JobRank>;
  /// Position in one of the sets that a scan merges.
  struct ScanCursor {
    Ranks *Set_ = nullptr;
    Ranks::iterator Position_;
    /// Null for a set that is scanned regardless of free resources.
    const WorkerRequirements *Need_ = nullptr;
  };

  static bool isLater(const ScanCursor &Left, const ScanCursor &Right) {
    return *Right.Position_ < *Left.Position_;
  }
  void markChanged(JobEntry &Entry);
  void markAllChanged();
  void markDueChanged();
  void removeFromSets(JobEntry &Entry);
  void insertIntoSets(JobEntry &Entry);
  void enterTasks(JobEntry &Entry);
  IndexKeys keysOf(ActiveJob &Job) const;
  void collectNeeds(const ActiveJob &Job, IndexKeys &Into) const;
  void pushCursor(Ranks &Of, const WorkerRequirements *Need);

  PoolState &Pool_;
  std::unordered_map<std::string, JobEntry> Entries_;
  std::vector<JobEntry *> Changed_;
  std::map<std::string, JobSet> Dirty_;
  JobSet Removable_;
  /// Jobs with startable tasks, by the requirements of one of these tasks.
  std::map<WorkerRequirements, Ranks> ByNeed_;
  Ranks Unconditional_;
  /// Jobs that do not wait for free resources yet or whose requirements
  /// changed, and that no scan has visited since. A scan visits them even if no
  /// worker has the free resources.
  Ranks Unvisited_;
  std::set<std::pair<std::chrono::milliseconds, ActiveJob *>> ByWall_;
  std::set<std::pair<TimePoint, ActiveJob *>> ByTime_;
  std::chrono::milliseconds LastWall_{0};
  std::shared_ptr<const SchedulingConfiguration> LastConfiguration_;
  CapacityCheck HasCapacity_;
  std::vector<ScanCursor> Cursors_;
  const ActiveJob *LastJob_ = nullptr;
  /// The job of Unvisited_ that the scan returned last. It leaves that set only
  /// when the scan goes on, so that it stays there if the scan is abandoned at
  /// this job.
  std::optional<JobRank> PendingVisit_;
  std::uint64_t VisitCount_ = 0;
};

} // namespace dragonflylock

#endif
