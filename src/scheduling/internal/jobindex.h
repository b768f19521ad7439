#ifndef DRAGONFLYLOCK_SCHEDULING_INTERNAL_JOBINDEX_H
#define DRAGONFLYLOCK_SCHEDULING_INTERNAL_JOBINDEX_H

#include "scheduling/internal/ijobobserver.h"
#include "scheduling/internal/jobrank.h"
#include "scheduling/internal/roomneed.h"
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

/// Sorts a pool's jobs by what is to be done about them, and keeps up with
/// their changes, so that no round has to look at all of them.
class JobIndex : public IJobObserver {
public:
  struct ById {
    bool operator()(const ActiveJob *Left, const ActiveJob *Right) const;
  };
  using JobSet = std::set<ActiveJob *, ById>;
  using CapacityCheck = std::function<bool(const RoomNeed &)>;

  explicit JobIndex(PoolState &Pool) : Pool_(Pool) {}
  JobIndex(const JobIndex &) = delete;
  JobIndex &operator=(const JobIndex &) = delete;

  void add(ActiveJob &Job);
  void remove(ActiveJob &Job);
  ActiveJob *find(const std::string &Id);
  void onJobChanging(ActiveJob &Job) override;

  /// Takes in what has changed since the last call.
  void refresh();
  /// \returns jobs whose progress must be stored, by queue.
  const std::map<std::string, JobSet> &dirty() const { return Dirty_; }
  /// \returns jobs whose end is stored and which run nowhere.
  const JobSet &removable() const { return Removable_; }

  /// Begins a walk through jobs with startable tasks, the most urgent first.
  /// Jobs for which there is no room are left out, unless they have not been
  /// looked at since they changed.
  /// \param HasRoom tells whether any worker has the room; it must not be
  ///   found to have more while the walk goes on.
  void beginScan(CapacityCheck HasRoom);
  /// \returns the next job of the walk, or null after the last.
  ActiveJob *next();
  /// \returns the number of jobs that all walks have come by.
  std::uint64_t visitCount() const { return VisitCount_; }

private:
  /// Where a job is entered.
  struct IndexKeys {
    JobRank Rank_;
    std::vector<RoomNeed> Needs_;
    /// Whether it is walked by although there may be no room.
    bool IsUnconditional_ = false;
    /// When it has to be looked at again though it has not changed.
    std::optional<std::chrono::milliseconds> NextWall_;
    std::optional<TimePoint> NextTime_;
  };
  struct JobEntry {
    ActiveJob *Job_ = nullptr;
    bool IsChanged_ = false;
    IndexKeys Keys_;
  };
  using Ranks = std::set<JobRank>;
  /// The next job of one of the sets that a walk merges.
  struct ScanCursor {
    Ranks *Set_ = nullptr;
    Ranks::iterator Position_;
    /// Null where the set is walked in any case.
    const RoomNeed *Need_ = nullptr;
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
  void pushCursor(Ranks &Of, const RoomNeed *Need);

  PoolState &Pool_;
  std::unordered_map<std::string, JobEntry> Entries_;
  std::vector<JobEntry *> Changed_;
  std::map<std::string, JobSet> Dirty_;
  JobSet Removable_;
  /// Jobs with startable tasks, by the room that one of these needs.
  std::map<RoomNeed, Ranks> ByNeed_;
  Ranks Unconditional_;
  /// Jobs that have not been looked at since they changed.
  Ranks Unvisited_;
  std::set<std::pair<std::chrono::milliseconds, ActiveJob *>> ByWall_;
  std::set<std::pair<TimePoint, ActiveJob *>> ByTime_;
  std::chrono::milliseconds LastWall_{0};
  std::shared_ptr<const SchedulingConfiguration> LastConfiguration_;
  CapacityCheck HasRoom_;
  std::vector<ScanCursor> Cursors_;
  const ActiveJob *LastJob_ = nullptr;
  /// The fresh job that the walk came by last. It stays one where the walk is
  /// given up there.
  std::optional<JobRank> PendingVisit_;
  std::uint64_t VisitCount_ = 0;
};

} // namespace dragonflylock

#endif
