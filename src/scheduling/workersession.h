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

/// A run on the worker of a session, as far as the owner of the pool knows.
struct SessionRun {
  RunNumber Run_ = 0;
  Resources Resources_;
  bool IsFiller_ = false;
  /// Latency target of a serving task; 0 for none.
  std::chrono::milliseconds LatencyTarget_{0};
  /// When the worker confirmed the start, or first listed the run; absent until
  /// then. Also set when the worker has accepted a stop order for the run.
  std::optional<TimePoint> ConfirmedAt_;
  /// The worker's clock when it confirmed the start or first listed the run;
  /// absent until then.
  std::optional<WorkerClock> ConfirmedClock_;
  /// Whether the worker's lifetime has listed the run. A start may be confirmed
  /// by a later lifetime of the same id, which then runs the task.
  bool WasListed_ = false;
  /// Whether the start got no response and may still be carried out.
  bool IsUnanswered_ = false;
  /// Time until which the start may still be carried out, by this lifetime or a
  /// later one; unset once there is a response.
  TimePoint LatestArrival_;
  /// Time from which a start without a response can no longer take effect on
  /// the lifetime that it was sent to. A later lifetime has another clock.
  TimePoint OrderExpires_;
  std::uint32_t Percent_ = 100;
  std::int64_t Measurement_ = 0;
  /// Time since which a serving task has missed its latency target.
  std::optional<TimePoint> MissedSince_;
  /// Whether the run may exist although it should not. The worker then has to
  /// stop it before the task starts again.
  bool MustStop_ = false;
  /// Earliest time of the next stop order for the run.
  TimePoint NextStop_;
  /// Whether a stop order for the run is waiting for its response.
  bool IsStopPending_ = false;

  /// \returns the resources that the run takes from others: a filler task
  /// reserves no processor.
  Resources reservedResources() const;
};

/// The part of the worker that its runs use.
struct SessionUsage {
  Resources Taken_;
  std::uint32_t Fillers_ = 0;
  std::uint32_t Serving_ = 0;
};

/// The state that the owner of a pool keeps about one lifetime of a worker: the
/// clock of the worker, the lease of its runs, the runs and the run ends that
/// it has listed.
class WorkerSession {
public:
  explicit WorkerSession(WorkerEntry Entry) : Entry_(std::move(Entry)) {}

  const WorkerEntry &entry() const { return Entry_; }
  void setEntry(WorkerEntry Entry) { Entry_ = std::move(Entry); }
  WorkerTarget target() const { return {Entry_.Id_, Entry_.Address_}; }

  /// Maximum percentage by which the clock of a worker may be slow.
  static constexpr int ClockDriftPercent = 2;
  /// Time after the start of a run within which a crash of the worker may be
  /// due to the task.
  static constexpr std::chrono::milliseconds StartCrashWindow{300};
  /// Crashes of workers by a task after which it is started on trial.
  static constexpr std::size_t CrashedRunsBeforeTrial = 2;

  /// Updates the estimate of the worker's clock from a response that was read
  /// at \p Received. The estimate changes only if the response gives a higher
  /// one: a response that was read late gives a lower estimate than an earlier
  /// response that was read at once.
  void updateClock(WorkerClock Clock, TimePoint Received);
  bool hasClock() const { return ClockOffset_.has_value(); }
  /// \returns the latest time on the worker's clock in any response.
  WorkerClock latestClock() const { return LatestClock_; }
  /// \returns whether the worker is known to have lived on long enough after
  /// the start of the run that a crash later has another cause.
  bool hasOutlivedStart(const SessionRun &Run) const;
  /// \returns the runs whose start the worker is not known to have outlived.
  std::map<TaskName, RunNumber> youngRuns() const;
  /// Marks the run as one whose task may crash the worker. Until the worker has
  /// outlived its start it gets no others, so that a crash tells the cause.
  void setRunOnTrial(const TaskName &Name) { RunOnTrial_ = Name; }
  /// \returns whether the task's run was the last that was on trial here.
  bool wasOnTrial(const TaskName &Name) const { return RunOnTrial_ == Name; }
  /// \returns whether a run is on trial now.
  bool hasRunOnTrial() const;
  /// \returns the worker's clock at \p Time, or a little less: the transmission
  /// time of the response is not added, so that leases err towards being short.
  WorkerClock workerTimeAt(TimePoint Time) const;

  /// Records that an order grants a lease until \p End.
  void recordLease(TimePoint End);
  /// Records that an order may grant a lease until \p End to runs on a later
  /// lifetime of the worker that carries it out.
  void recordLeaseOfUnlistedRuns(TimePoint End);
  /// \returns the time at which the leases of all runs that this lifetime has
  /// listed have certainly expired.
  TimePoint leasesExpireAt() const { return LeasesExpireAt_; }
  /// \returns the time at which the lease of \p Run has certainly expired.
  TimePoint leaseExpiresAt(const SessionRun &Run) const;

  const std::map<TaskName, SessionRun> &runs() const { return Runs_; }
  /// \returns whether this lifetime has not listed some of the runs yet, so
  /// that a later one may have carried out their starts.
  bool hasUnlistedRuns() const;
  /// \returns whether some of these starts got no response.
  bool hasUnansweredStarts() const;
  /// \returns whether an order that acknowledges ends may reach a later
  /// lifetime after a start that is sent now.
  bool isAcknowledgementUnsettled() const {
    return AcknowledgingToken_ >= Token_;
  }
  /// \returns whether the worker is being drained for maintenance or for a move
  /// to another pool.
  bool isBeingDrained() const {
    return IsReservedForMaintenance_ || IsMovingToOtherPool_;
  }
  /// \returns the runs for modification. The reference must be used at once,
  /// since the cached usage is reset only here.
  std::map<TaskName, SessionRun> &changeRuns() {
    Usage_.reset();
    return Runs_;
  }
  /// \returns the run of the task, or null. Fields that affect the usage of the
  /// worker must not be changed through it.
  SessionRun *run(const TaskName &Name);
  /// \returns the resources that no run uses. Runs that are being started or
  /// stopped count as using theirs; beside an unwanted run of unknown size
  /// nothing is free.
  Resources freeResources() const;
  /// Sets what the worker lists beside the runs of this session: runs that it
  /// is told to stop and that use resources until they have ended.
  /// \param Taken resources of those whose size is known.
  /// \param HasUnknownSize whether the size of any other is not known.
  void setUnwantedRuns(Resources Taken, bool HasUnknownSize) {
    UnwantedTaken_ = Taken;
    HasUnwantedOfUnknownSize_ = HasUnknownSize;
  }
  bool hasUnwantedRuns() const {
    return HasUnwantedOfUnknownSize_ || UnwantedTaken_ != Resources();
  }
  /// \returns the number of filler tasks on the worker.
  std::uint32_t fillers() const { return usage().Fillers_; }
  /// \returns the number of tasks with a latency target on the worker.
  std::uint32_t serving() const { return usage().Serving_; }
  /// \returns the number of tasks on the worker that belong to the same step
  /// and occurrence of a job as \p OfStep.
  std::uint32_t countTasksOfStep(const TaskName &OfStep) const;

  /// Records a run end, whose consequences must be stored before it is
  /// acknowledged to the worker.
  /// \returns false if the end was recorded before.
  bool recordEnd(std::uint64_t Sequence);
  /// Called when the consequences of a run end are stored, or when it has none.
  void markEndProcessed(std::uint64_t Sequence);
  /// \returns the sequence number up to which run ends may be acknowledged.
  std::uint64_t acknowledgeableUpTo() const;
  bool hasPendingEnds() const { return !PendingEnds_.empty(); }
  /// \returns the highest sequence number whose acknowledgement the worker has
  /// confirmed.
  std::uint64_t acknowledged() const { return Acknowledged_; }
  void setAcknowledged(std::uint64_t Sequence) { Acknowledged_ = Sequence; }

  /// Token that orders to the worker carry: higher than that of any order to an
  /// earlier lifetime of the same id, so that once the worker has seen it, it
  /// refuses those orders. 0 until the owner has such a token. It rises with
  /// each acknowledgement of ends.
  FencingToken Token_ = 0;
  /// Token under which the worker must have responded before it gets starts.
  FencingToken RequiredToken_ = 0;
  /// Highest token under which the worker has responded; 0 if there is none.
  FencingToken ConfirmedToken_ = 0;
  /// Token of the latest acknowledgement of ends that may still be carried out;
  /// 0 if there is none. Starts carry a higher one: a later lifetime that has
  /// carried one out then refuses the acknowledgement, instead of forgetting
  /// ends that no owner has seen.
  FencingToken AcknowledgingToken_ = 0;
  /// Whether starts wait until the worker has listed those before them, so that
  /// its ends can be acknowledged.
  bool AwaitsListsOfStarts_ = false;
  /// Whether Token_ has been sent in an order that grants a lease or
  /// acknowledges ends.
  bool IsTokenUsed_ = false;
  /// Whether the worker has responded under this owner's fencing token, or need
  /// not because nothing that a previous owner started can run there any more.
  bool IsFenced_ = false;
  /// Whether a later lifetime of the worker is registered, in this pool or
  /// another one. No orders are sent to this lifetime then, because the other
  /// one would receive them. Implies HasSuccessor_.
  bool IsSuperseded_ = false;
  /// Whether the roster of a previous owner allowed it to send orders to the
  /// worker.
  bool IsInherited_ = false;
  /// Whether the lifetime is known to have ended, so that nothing runs there
  /// any more.
  bool HasEnded_ = false;
  /// Whether a later lifetime of the same id is known, from the registry or
  /// because it has responded. That lifetime may be executing runs that were
  /// started by orders to this one.
  bool HasSuccessor_ = false;
  /// Whether the crash that ended the lifetime was recorded.
  bool IsCrashRecorded_ = false;
  /// Runs that were young when their leases expired. They count if the worker
  /// turns out to have crashed.
  std::map<TaskName, RunNumber> YoungExpiredRuns_;
  /// Whether the stored roster contains the worker.
  bool IsInRoster_ = false;
  /// Whether the stored roster says, or may say, that the worker is silent,
  /// that is, does not respond. It gets no starts until the roster no longer
  /// says so.
  bool IsDeclaredSilent_ = false;
  /// Tasks of a previous owner that may still run there, by the declaration of
  /// that owner.
  std::set<std::string> InheritedTasks_;
  /// Whether a previous owner has declared the worker silent.
  bool WasDeclaredSilent_ = false;
  /// Whether the registry still lists the worker.
  bool IsListed_ = true;
  /// Whether the worker is being drained for its maintenance.
  bool IsReservedForMaintenance_ = false;
  /// Whether the worker is being drained for a move to another pool.
  bool IsMovingToOtherPool_ = false;
  bool IsHoldPending_ = false;
  TimePoint NextHoldAt_;
  /// When the latest response with lists of this lifetime was read.
  TimePoint LastListsAt_;
  /// When the order was sent that this response is for.
  TimePoint ListsRequestedAt_;
  TimePoint NextPaceAt_;
  /// The worker gets no starts before this time.
  TimePoint NoStartsBefore_;
  /// Starts in a row that did not reach the worker.
  std::uint32_t UnsentStarts_ = 0;
  std::uint32_t FailuresInRow_ = 0;
  /// The worker gets no starts before this time because runs failed there.
  TimePoint SetAsideUntil_;
  std::uint32_t HoldFailures_ = 0;

private:
  const SessionUsage &usage() const;

  WorkerEntry Entry_;
  /// The worker's clock minus the clock of this process, from the response that
  /// gave the highest estimate.
  std::optional<std::chrono::milliseconds> ClockOffset_;
  /// When that response was read.
  TimePoint OffsetMeasuredAt_;
  WorkerClock LatestClock_{0};
  std::optional<TaskName> RunOnTrial_;
  TimePoint LeasesExpireAt_;
  TimePoint LeasesOfUnlistedRunsExpireAt_;
  std::map<TaskName, SessionRun> Runs_;
  /// Cached usage; absent after a change of the runs until it is needed.
  mutable std::optional<SessionUsage> Usage_;
  Resources UnwantedTaken_;
  bool HasUnwantedOfUnknownSize_ = false;
  std::uint64_t LastRecordedEnd_ = 0;
  std::uint64_t Acknowledged_ = 0;
  std::vector<std::uint64_t> PendingEnds_;
};

} // namespace dragonflylock

#endif
