#ifndef DRAGONFLYLOCK_SCHEDULING_INTERNAL_JOBINDEX_H
#define DRAGONFLYLOCK_SCHEDULING_INTERNAL_JOBINDEX_H

#include "scheduling/internal/ijobobserver.h"
#include "scheduling/internal/jobrank.h"
#include "scheduling/internal/sharetracker.h"
#include "scheduling/internal/waitingjob.h"
#include "scheduling/internal/workerrequirements.h"
#include "scheduling/schedulingtypes.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <unordered_set>
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

  explicit JobIndex(PoolState &Pool) : Pool_(Pool), Shares_(Pool) {}
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
  /// Within a priority class, jobs of customers above their share come last.
  /// The scan skips jobs for which no worker has the free resources, unless
  /// they are new to the wait for resources, or their requirements changed, and
  /// no scan has visited them since.
  /// \param HasCapacity returns whether any worker has the free resources. Its
  ///   result must not change from false to true during the scan.
  void beginScan(CapacityCheck HasCapacity);
  /// \returns the next job of the scan, or null after the last.
  ActiveJob *next();
  /// Called when the limit of the customer of \p Job refuses the start of tasks
  /// with these requirements. The scan goes on without the customer's jobs that
  /// need the same.
  /// \param GangSize number of tasks of the gang; 0 for a single task.
  void refuse(const ActiveJob &Job, const WorkerRequirements &Need,
              std::uint32_t GangSize);
  /// Called when a task of \p Job is started: adds it to what the customer
  /// runs.
  void onStarted(const ActiveJob &Job, const StepSpec &Step);
  /// Called after a task of \p Job, the job that the scan returned last, was
  /// started. A job with many tasks must not take all that is free.
  /// \returns whether the start has put the customer above its share, so that
  ///   the scan goes on with other jobs. It returns this job again, among those
  ///   of customers above their share.
  bool postpone(ActiveJob &Job);
  /// \returns whether the job has its turn among those of its customer.
  bool hasTurn(const ActiveJob &Job) const { return Shares_.hasTurn(Job); }
  /// \returns the number of jobs that all scans together have returned.
  std::uint64_t visitCount() const { return VisitCount_; }

private:
  /// What a startable task of a job needs.
  struct JobNeed {
    WorkerRequirements Worker_;
    /// Number of tasks of the gang; 0 for other tasks and for jobs without a
    /// customer.
    std::uint32_t GangSize_ = 0;

    bool operator==(const JobNeed &) const = default;
  };
  /// The keys under which a job is in the sets of the index.
  struct IndexKeys {
    JobRank Rank_;
    std::vector<JobNeed> Needs_;
    /// Whether scans visit the job even if no worker has the free resources.
    bool IsUnconditional_ = false;
    /// Sum over the startable tasks of a job that ShareTracker counts.
    Resources Waiting_;
    /// When the keys have to be computed again even if the job does not change:
    /// wall-clock time since 1970, and steady time.
    std::optional<std::chrono::milliseconds> NextWall_;
    std::optional<TimePoint> NextTime_;
  };
  struct JobEntry {
    ActiveJob *Job_ = nullptr;
    bool IsChanged_ = false;
    IndexKeys Keys_;
    WaitingJob Wait_;
  };
  using Ranks = std::set<JobRank>;
  /// Customer and JobNeed::GangSize_. The limit of a customer admits all or
  /// none of the starts with the same key and requirements.
  using LimitKey = std::pair<std::string, std::uint32_t>;
  /// Position in one of the sets that a scan merges.
  struct ScanCursor {
    Ranks *Set_ = nullptr;
    Ranks::iterator Position_;
    const std::string *Customer_ = nullptr;
    /// Null for a set that is scanned regardless of free resources.
    const WorkerRequirements *Need_ = nullptr;
    std::uint32_t GangSize_ = 0;
    bool IsUnvisited_ = false;
    bool IsTurn_ = false;
    /// Whether the customer is above its share. Part of the order only here, so
    /// that no set changes with it.
    bool IsOverShare_ = false;
  };

  static bool isLater(const ScanCursor &Left, const ScanCursor &Right) {
    auto Class = [](const ScanCursor &Each) {
      const JobRank &Rank = *Each.Position_;
      return std::make_tuple(Rank.IsBatch_, Rank.Priority_, Each.IsOverShare_);
    };
    const auto LeftClass = Class(Left);
    const auto RightClass = Class(Right);
    return RightClass != LeftClass ? RightClass < LeftClass
                                   : *Right.Position_ < *Left.Position_;
  }
  void markChanged(JobEntry &Entry);
  void markAllChanged();
  void markDueChanged();
  void removeFromSets(JobEntry &Entry);
  void insertIntoSets(JobEntry &Entry);
  void enterTasks(JobEntry &Entry);
  IndexKeys keysOf(ActiveJob &Job) const;
  void collectNeeds(const ActiveJob &Job, IndexKeys &Into) const;
  /// Collects the jobs that have their turn.
  void collectTurns();
  /// Records what the job runs for its customer.
  void updateUsage(const ActiveJob &Job);
  void eraseRank(std::map<std::string, Ranks> &From, const JobRank &Rank);
  bool isUnvisited(const JobRank &Rank) const;
  void pushCursor(ScanCursor Wanted);
  /// Sorts the cursors again after the order of the customers has changed.
  void reorderCursors();
  /// \returns whether the scan has not returned the job yet. A job may be in
  /// several sets.
  bool markReturned(ActiveJob *Job);
  /// \returns whether the limit of the cursor's customer has refused such
  /// starts in this scan.
  bool isRefused(const ScanCursor &Cursor) const;

  PoolState &Pool_;
  ShareTracker Shares_;
  std::unordered_map<std::string, JobEntry> Entries_;
  std::vector<JobEntry *> Changed_;
  std::map<std::string, JobSet> Dirty_;
  JobSet Removable_;
  /// Jobs with startable tasks, by the requirements of one of these tasks.
  std::map<WorkerRequirements, std::map<LimitKey, Ranks>> ByNeed_;
  /// By customer.
  std::map<std::string, Ranks> Unconditional_;
  /// Jobs that do not wait for free resources yet or whose requirements
  /// changed, and that no scan has visited since. A scan visits them even if no
  /// worker has the free resources. By customer.
  std::map<std::string, Ranks> Unvisited_;
  std::set<std::pair<std::chrono::milliseconds, ActiveJob *>> ByWall_;
  std::set<std::pair<TimePoint, ActiveJob *>> ByTime_;
  std::chrono::milliseconds LastWall_{0};
  std::shared_ptr<const SchedulingConfiguration> LastConfiguration_;
  CapacityCheck HasCapacity_;
  std::vector<ScanCursor> Cursors_;
  /// What the limits of customers have refused in this scan.
  std::map<LimitKey, std::set<WorkerRequirements>> Refused_;
  const ActiveJob *LastJob_ = nullptr;
  /// The jobs with customers, and those that had their turn, that the scan has
  /// returned. The order may change during the scan, so that LastJob_ does not
  /// suffice for them.
  std::unordered_set<const ActiveJob *> Returned_;
  /// Whether the job that the scan returned last counted as one of a customer
  /// within its share, and whether it has started a task since.
  bool IsLastWithinShare_ = false;
  bool HasLastStarted_ = false;
  /// Sets of one postponed job each.
  std::list<Ranks> Postponed_;
  /// The jobs that have their turn in this scan, by customer.
  std::map<std::string, Ranks> Turns_;
  /// The job of Unvisited_ that the scan returned last. It leaves that set only
  /// when the scan goes on, so that it stays there if the scan is abandoned at
  /// this job.
  std::optional<JobRank> PendingVisit_;
  std::uint64_t VisitCount_ = 0;
};

} // namespace dragonflylock

#endif
