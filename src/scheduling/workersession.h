#ifndef DRAGONFLYLOCK_SCHEDULING_WORKERSESSION_H
#define DRAGONFLYLOCK_SCHEDULING_WORKERSESSION_H

#include "scheduling/schedulingtypes.h"
#include "scheduling/workercalls.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace dragonflylock {

/// A run that a session accounts for.
struct SessionRun {
  RunNumber Run_ = 0;
  Resources Resources_;
  bool IsFiller_ = false;
  /// Latency target of a serving task; 0 for none.
  std::chrono::milliseconds LatencyTarget_{0};
  /// When the worker confirmed the start; absent until then.
  std::optional<TimePoint> ConfirmedAt_;
  /// After this time an unanswered start can't take effect any more.
  TimePoint OrderExpires_;
  std::uint32_t Percent_ = 100;
  std::int64_t Measurement_ = 0;
  /// Since when a serving task has missed its latency target.
  std::optional<TimePoint> MissedSince_;
  /// Whether the run may exist although it should not, so that the worker is
  /// told to stop it before the task starts anew.
  bool MustStop_ = false;
  /// Earliest time of the next order to stop the run.
  TimePoint NextStop_;
  /// Whether an order to stop it waits for its answer.
  bool IsStopPending_ = false;
};

/// What the runs take of the worker.
struct SessionUsage {
  Resources Taken_;
  std::uint32_t Fillers_ = 0;
  std::uint32_t Serving_ = 0;
};

/// What the owner of a pool knows of one lifetime of a worker: its clock, the
/// lease of what runs there, its runs and the ends it has listed.
class WorkerSession {
public:
  explicit WorkerSession(WorkerEntry Entry) : Entry_(std::move(Entry)) {}

  const WorkerEntry &entry() const { return Entry_; }
  void setEntry(WorkerEntry Entry) { Entry_ = std::move(Entry); }
  WorkerTarget target() const { return {Entry_.Id_, Entry_.Address_}; }

  /// Percent by which a worker's clock may be slow.
  static constexpr int ClockDriftPercent = 2;

  /// Takes in the worker's clock from an answer that was read at \p Received.
  /// Of an answer that waited to be read, an earlier one tells more.
  void updateClock(WorkerClock Clock, TimePoint Received);
  bool hasClock() const { return ClockOffset_.has_value(); }
  /// \returns the worker's clock at \p Time, or a little earlier: the way of
  /// the answer is not added, so that leases err towards being short.
  WorkerClock workerTimeAt(TimePoint Time) const;

  /// Notes that an order grants a lease until \p End.
  void recordLease(TimePoint End);
  /// \returns when everything on the worker has lapsed for certain.
  TimePoint leasesExpireAt() const { return LeasesExpireAt_; }

  const std::map<TaskName, SessionRun> &runs() const { return Runs_; }
  /// \returns whether the worker is to become empty.
  bool isBeingDrained() const {
    return IsReservedForMaintenance_ || IsMovingToOtherPool_;
  }
  /// \returns the runs, to be changed at once.
  std::map<TaskName, SessionRun> &changeRuns() {
    Usage_.reset();
    return Runs_;
  }
  /// \returns the task's run or null; what it takes of the worker must not be
  /// changed by it.
  SessionRun *run(const TaskName &Name);
  /// \returns room that is not taken by runs, counting those that are being
  /// started or stopped.
  Resources freeResources() const;
  /// \returns the number of filling tasks on the worker.
  std::uint32_t fillers() const { return usage().Fillers_; }
  /// \returns the number of tasks with a latency target on the worker.
  std::uint32_t serving() const { return usage().Serving_; }
  /// \returns the number of tasks of a job's step on the worker.
  std::uint32_t countTasksOfStep(const TaskName &OfStep) const;

  /// Takes an end whose consequences must be stored before it is
  /// acknowledged.
  /// \returns false where the end was taken before.
  bool recordEnd(std::uint64_t Sequence);
  /// Notes that the consequences of an end are stored.
  void markEndProcessed(std::uint64_t Sequence);
  /// \returns the end up to which the worker may forget.
  std::uint64_t acknowledgeableUpTo() const;
  bool hasPendingEnds() const { return !PendingEnds_.empty(); }
  /// \returns the highest end the worker is known to have forgotten.
  std::uint64_t acknowledged() const { return Acknowledged_; }
  void setAcknowledged(std::uint64_t Sequence) { Acknowledged_ = Sequence; }

  /// Whether the worker has answered under this owner's token.
  bool IsFenced_ = false;
  /// Whether a later lifetime of the worker is registered in another pool, so
  /// that this one is over and must not be asked: the other would answer.
  bool IsSuperseded_ = false;
  /// Whether an earlier owner could order the worker, by its roster.
  bool IsInherited_ = false;
  /// Whether the lifetime is known to have ended, so that nothing runs there
  /// any more.
  bool HasEnded_ = false;
  /// Whether the worker stands in the stored roster.
  bool IsInRoster_ = false;
  /// Whether the stored roster says, or may say, that the worker is silent; it
  /// gets no starts until it does not.
  bool IsDeclaredSilent_ = false;
  /// Tasks that may run there since an earlier owner, by its declaration.
  std::set<std::string> InheritedTasks_;
  /// Whether an earlier owner has declared the worker silent.
  bool WasDeclaredSilent_ = false;
  /// Whether the registry still lists the worker.
  bool IsListed_ = true;
  /// Whether the worker is being emptied for its maintenance.
  bool IsReservedForMaintenance_ = false;
  /// Whether the worker is being emptied for a move.
  bool IsMovingToOtherPool_ = false;
  bool IsHoldPending_ = false;
  TimePoint NextHoldAt_;
  /// When the hold was sent whose lists came last, from this lifetime.
  TimePoint LastListsAt_;
  TimePoint NextPaceAt_;
  /// No starts before this time.
  TimePoint NoStartsBefore_;
  std::uint32_t FailuresInRow_ = 0;
  std::uint32_t HoldFailures_ = 0;

private:
  const SessionUsage &usage() const;

  WorkerEntry Entry_;
  /// The worker's clock less this process's, by the answer that told most.
  std::optional<std::chrono::milliseconds> ClockOffset_;
  /// When that answer was read.
  TimePoint OffsetMeasuredAt_;
  TimePoint LeasesExpireAt_;
  std::map<TaskName, SessionRun> Runs_;
  /// Absent until it is asked for after a change of the runs.
  mutable std::optional<SessionUsage> Usage_;
  std::uint64_t LastRecordedEnd_ = 0;
  std::uint64_t Acknowledged_ = 0;
  std::vector<std::uint64_t> PendingEnds_;
};

} // namespace dragonflylock

#endif
