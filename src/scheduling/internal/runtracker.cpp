#include "scheduling/internal/runtracker.h"
#include "global/ilogger.h"
#include "global/logevent.h"
#include "scheduling/internal/poolstate.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace dragonflylock {
namespace {

/// Number of consecutive failures, of tasks that have not failed on another
/// worker, after which a worker gets no new tasks for a while.
constexpr std::uint32_t MaxFailuresInRow = 3;
constexpr std::chrono::milliseconds SetAsideDuration{3000};
constexpr std::uint32_t MaxSetAsideFactor = 4;
/// Runs of long-running tasks that end sooner after their start are short.
constexpr std::chrono::milliseconds ShortRunTime{2000};
/// Interval to which the limit on immediate restarts applies, and thus the
/// longest delay of a restart. No task may wait for 3 s beside free workers.
constexpr std::chrono::milliseconds RestartInterval{1000};
/// Immediate restarts after short runs in an interval, over all tasks of the
/// pool. Bounds the processor time that tasks which fail at each start take
/// from others.
constexpr std::uint32_t MaxImmediateRestarts = 400;
/// Crashes of workers by a task after which its job is given up; the last of
/// them while the task is on trial.
constexpr std::size_t MaxCrashedRuns =
    WorkerSession::CrashedRunsBeforeTrial + 1;

/// \returns whether the worker leaves by itself or is taken down by an order,
/// so that its end is no crash.
bool isLeaving(const WorkerSession &Session) {
  return Session.entry().State_ == WorkerState::Draining ||
         Session.isBeingDrained();
}

const char *nameOf(EndKind Kind) {
  switch (Kind) {
  case EndKind::Done:
    return "done";
  case EndKind::Failed:
    return "failed";
  case EndKind::Stopped:
    return "stopped";
  case EndKind::LeaseExpired:
    return "lapsed";
  case EndKind::GangBroken:
    return "broken";
  case EndKind::GangIncomplete:
    return "incomplete";
  }
  return "unknown";
}

} // namespace

void RunTracker::onRunEnded(WorkerSession &Session, const ListedEnd &End) {
  if (!Session.recordEnd(End.Sequence_))
    return;
  Pool_.LateStarts_.onListed(Session.entry().Id_, End.Task_, End.Run_);
  Pool_.NeedsDispatch_ = true;
  const SessionRun *Known = Session.run(End.Task_);
  if (Known != nullptr && Known->Run_ <= End.Run_)
    Session.changeRuns().erase(End.Task_);
  ActiveJob *Job = Pool_.job(End.Task_.Job_);
  if (Job == nullptr || !Job->progress().contains(End.Task_)) {
    Session.markEndProcessed(End.Sequence_);
    return;
  }
  Pool_.Logger_.write(End.Kind_ == EndKind::Done ? LogLevel::Debug
                                                 : LogLevel::Info,
                      LogEvent("run.ended")
                          .with("task", End.Task_.text())
                          .with("run", End.Run_)
                          .with("how", nameOf(End.Kind_))
                          .with("worker", Session.entry().Id_)
                          .with("sequence", End.Sequence_));
  TaskRun &Run = Job->mutableRun(End.Task_);
  bool IsCurrent =
      Run.Worker_ == Session.entry().lifetime() && Run.Run_ <= End.Run_;
  if (IsCurrent) {
    Run.Worker_.clear();
    Run.Phase_ = Job->progress().task(End.Task_).IsDone_ ? TaskPhase::Done
                                                         : TaskPhase::Waiting;
  }
  bool IsLongRunning = Job->step(End.Task_).IsLongRunning_;
  if (!End.Checkpoint_.empty() && IsCurrent) {
    recordCheckpoint(*Job, End.Task_, End.Checkpoint_);
    // The worker forgets the checkpoint with the end.
    if (End.Kind_ != EndKind::Done && !Job->isOver())
      Job->markDirty();
  }
  bool HasEndedByItself =
      End.Kind_ == EndKind::Done || End.Kind_ == EndKind::Failed;
  if (IsCurrent && IsLongRunning && HasEndedByItself)
    delayRestart(End.Task_, Run);
  if (End.Kind_ == EndKind::Done && IsCurrent && !IsLongRunning)
    countFinishedWork(Job->step(End.Task_), Run);
  if (End.Kind_ == EndKind::Done && !IsLongRunning)
    markDone(*Job, End.Task_);
  if (End.Kind_ == EndKind::Done)
    Session.FailuresInRow_ = 0;
  if (End.Kind_ == EndKind::Failed)
    noteFailure(Session, *Job, End);
  updateJobState(*Job);
  // An end that changes nothing may repeat what an earlier end has changed and
  // the store does not hold yet.
  if (Job->isDirty())
    Pool_.PendingAcknowledgements_[Job->id()].push_back(
        {Session.entry().lifetime(), End.Task_, End.Sequence_,
         Job->changeCount()});
  else
    Session.markEndProcessed(End.Sequence_);
}

void RunTracker::delayRestart(const TaskName &Name, TaskRun &Run) {
  const TimePoint Now = Pool_.Clock_.now();
  if (Now >= Run.StartedAt_ + ShortRunTime) {
    Run.ShortRuns_ = 0;
    return;
  }
  // A single short run is likely to be its worker's fault, and the task is
  // started on another one.
  if (++Run.ShortRuns_ < 2)
    return;
  if (Now >= RestartIntervalEnd_) {
    RestartIntervalEnd_ = Now + RestartInterval;
    ImmediateRestarts_ = 0;
  }
  if (++ImmediateRestarts_ <= MaxImmediateRestarts)
    return;
  Run.NotBefore_ = RestartIntervalEnd_;
  Pool_.Logger_.write(
      LogLevel::Info,
      LogEvent("task.restart-delayed")
          .with("task", Name.text())
          .with("short-runs", std::uint64_t{Run.ShortRuns_})
          .with("delay", std::chrono::duration_cast<std::chrono::microseconds>(
                             RestartIntervalEnd_ - Now)));
}

void RunTracker::recordCheckpoint(ActiveJob &Job, const TaskName &Name,
                                  const std::string &Checkpoint) {
  auto Note = [&](const TaskName &Each) {
    if (Job.progress().task(Each).Checkpoint_ != Checkpoint)
      Job.mutableProgress().task(Each).Checkpoint_ = Checkpoint;
  };
  if (!Job.step(Name).IsGang_) {
    Note(Name);
    return;
  }
  // All members of a gang resume from the same checkpoint.
  for (const TaskName &Member : Job.tasksOfStep(Name))
    Note(Member);
}

void RunTracker::countFinishedWork(const StepSpec &Step, const TaskRun &Run) {
  // A run that a previous owner started has no known start.
  if (Run.StartedAt_ == TimePoint())
    return;
  const auto RunTime = std::chrono::duration_cast<std::chrono::milliseconds>(
      Pool_.Clock_.now() - Run.StartedAt_);
  const std::int64_t CpuMillis = Step.PerTask_.CpuMillis_;
  Pool_.Finished_.Declared_ += Step.Estimate_.count() * CpuMillis / 1000;
  Pool_.Finished_.Occupied_ += RunTime.count() * CpuMillis / 1000;
}

void RunTracker::markDone(ActiveJob &Job, const TaskName &Name) {
  if (!Job.step(Name).IsGang_) {
    markTaskDone(Job, Name);
    return;
  }
  // The members of a gang end together, so the end of one member counts for
  // all.
  for (const TaskName &Member : Job.tasksOfStep(Name))
    markTaskDone(Job, Member);
}

void RunTracker::markTaskDone(ActiveJob &Job, const TaskName &Name) {
  TaskProgress &Progress = Job.mutableProgress().task(Name);
  if (Progress.IsDone_)
    return;
  Progress.IsDone_ = true;
  if (Job.run(Name).Worker_.empty())
    Job.mutableRun(Name).Phase_ = TaskPhase::Done;
  if (Job.progress().state() == JobPhase::Queued)
    Job.mutableProgress().setState(JobPhase::Running);
  Job.markDirty();
}

void RunTracker::noteFailure(WorkerSession &Session, ActiveJob &Job,
                             const ListedEnd &End) {
  countWorkerFailure(Session, Job, End);
  Job.mutableRun(End.Task_).LastFailedWorker_ = Session.entry().lifetime();
  if (Job.step(End.Task_).IsLongRunning_)
    return;
  Job.mutableProgress().task(End.Task_).recordFailure(End.Run_);
  Job.markDirty();
}

void RunTracker::countWorkerFailure(WorkerSession &Session,
                                    const ActiveJob &Job,
                                    const ListedEnd &End) {
  const TaskRun &Run = Job.run(End.Task_);
  if (!Run.LastFailedWorker_.empty() &&
      Run.LastFailedWorker_ != Session.entry().lifetime())
    return;
  ++Session.FailuresInRow_;
  if (Session.FailuresInRow_ < MaxFailuresInRow || !maySetAside(Session))
    return;
  std::uint32_t Factor =
      std::min(MaxSetAsideFactor, Session.FailuresInRow_ / MaxFailuresInRow);
  Session.SetAsideUntil_ = Pool_.Clock_.now() + SetAsideDuration * Factor;
  Pool_.Logger_.write(
      LogLevel::Warning,
      LogEvent("worker.set-aside")
          .with("worker", Session.entry().Id_)
          .with("failures", std::uint64_t{Session.FailuresInRow_}));
}

bool RunTracker::maySetAside(const WorkerSession &Candidate) const {
  std::size_t Listed = 0;
  std::size_t SetAside = 1;
  for (const auto &[Lifetime, Session] : Pool_.Sessions_) {
    if (!Session->IsListed_)
      continue;
    ++Listed;
    if (Session.get() != &Candidate &&
        Session->SetAsideUntil_ > Pool_.Clock_.now())
      ++SetAside;
  }
  return SetAside * 2 <= Listed;
}

void RunTracker::recordRunning(ActiveJob &Job) {
  // Other jobs are stored as running with the end of their first task, which
  // saves a write for each.
  if (!Job.isLongRunning() || Job.progress().state() != JobPhase::Queued)
    return;
  Job.mutableProgress().setState(JobPhase::Running);
  Job.markDirty();
}

void RunTracker::applyListedRun(TaskRun &Run, const std::string &Lifetime,
                                const ListedRun &Listed) const {
  Run.Worker_ = Lifetime;
  Run.Run_ = Listed.Run_;
  if (Run.Phase_ != TaskPhase::Stopping)
    Run.Phase_ = TaskPhase::Running;
  constexpr std::uint32_t FullSpeed = 100;
  if (Listed.Percent_ >= FullSpeed && Run.Percent_ < FullSpeed)
    Run.FullSpeedSince_ = Pool_.Clock_.now();
  Run.Percent_ = Listed.Percent_;
}

bool RunTracker::onRunListed(WorkerSession &Session, const ListedRun &Listed) {
  Pool_.LateStarts_.onListed(Session.entry().Id_, Listed.Task_, Listed.Run_);
  ActiveJob *Job = Pool_.job(Listed.Task_.Job_);
  if (Job == nullptr || !Job->progress().contains(Listed.Task_))
    return false;
  if (Job->isOver())
    return false;
  const TaskRun &Run = Job->run(Listed.Task_);
  if (Run.Phase_ == TaskPhase::Done ||
      Job->progress().task(Listed.Task_).IsDone_)
    return false;
  const std::string &Lifetime = Session.entry().lifetime();
  bool IsElsewhere = !Run.Worker_.empty() && Run.Worker_ != Lifetime;
  if (IsElsewhere || Listed.Run_ < Run.Run_)
    return IsElsewhere ? false : Run.Phase_ == TaskPhase::Starting;
  bool IsUnchanged =
      Run.Worker_ == Lifetime && Run.Run_ == Listed.Run_ &&
      Run.Percent_ == Listed.Percent_ &&
      (Run.Phase_ == TaskPhase::Running || Run.Phase_ == TaskPhase::Stopping);
  Job->markStarted();
  if (!IsUnchanged)
    applyListedRun(Job->mutableRun(Listed.Task_), Lifetime, Listed);
  recordRunning(*Job);
  if (!Listed.Checkpoint_.empty())
    recordCheckpoint(*Job, Listed.Task_, Listed.Checkpoint_);
  const StepSpec &Step = Job->step(Listed.Task_);
  SessionRun *Entry = Session.run(Listed.Task_);
  if (Entry == nullptr) {
    Entry = &Session.changeRuns()[Listed.Task_];
    Entry->Resources_ = Step.PerTask_;
    Entry->IsFiller_ = Step.IsFiller_;
    Entry->LatencyTarget_ = Step.LatencyTarget_;
  }
  SessionRun &Known = *Entry;
  Known.Run_ = Listed.Run_;
  Known.WasListed_ = true;
  Known.Measurement_ = Listed.Measurement_;
  // A run of a previous owner has outlived its start.
  if (!Known.ConfirmedClock_)
    Known.ConfirmedClock_ =
        Session.latestClock() - (Listed.Run_ > Pool_.RunNumberBase_
                                     ? WorkerClock(0)
                                     : WorkerSession::StartCrashWindow);
  if (Known.ConfirmedAt_)
    return true;
  Known.ConfirmedAt_ = Pool_.Clock_.now();
  // A previous owner may have slowed the run down. 0 means that the run does
  // not work yet.
  if (Listed.Percent_ > 0)
    Known.Percent_ = Listed.Percent_;
  return true;
}

void RunTracker::recordCrash(WorkerSession &Session) {
  if (std::exchange(Session.IsCrashRecorded_, true))
    return;
  if (isLeaving(Session))
    return;
  std::map<TaskName, RunNumber> Young = Session.youngRuns();
  Young.merge(Session.YoungExpiredRuns_);
  bool HadRunOnTrial =
      std::any_of(Young.begin(), Young.end(), [&](const auto &Each) {
        return Session.wasOnTrial(Each.first);
      });
  Blame_.addCrash({Session.entry(), Pool_.Clock_.now(), HadRunOnTrial});
  if (Young.empty())
    return;
  Pool_.Logger_.write(
      LogLevel::Warning,
      LogEvent("worker.crashed")
          .with("worker", Session.entry().Id_)
          .with("machine", Session.entry().Machine_)
          .with("runs", std::uint64_t{Session.runs().size()})
          .with("suspected-tasks", std::uint64_t{Young.size()}));
  for (const auto &[Name, Run] : Young)
    suspect(Session, Name, Run);
}

void RunTracker::noteGone(const WorkerSession &Session) {
  if (Session.IsCrashRecorded_ || isLeaving(Session))
    return;
  Blame_.addCrash(
      {Session.entry(), Pool_.Clock_.now(), Session.hasRunOnTrial()});
}

void RunTracker::suspect(const WorkerSession &Session, const TaskName &Name,
                         RunNumber Run) {
  ActiveJob *Job = Pool_.job(Name.Job_);
  if (Job == nullptr || Job->isOver() || !Job->progress().contains(Name) ||
      Job->progress().task(Name).IsDone_)
    return;
  // A task that is suspected of several crashes is to blame for another one
  // only if no other task could be.
  if (Job->progress().task(Name).CrashedRuns_.size() <
      WorkerSession::CrashedRunsBeforeTrial) {
    addCrashedRun(*Job, Name, Run);
    return;
  }
  if (!Session.wasOnTrial(Name))
    return;
  Blame_.addTrial({Name, Run, Session.entry().lifetime()});
  Job->mutableRun(Name).NotBefore_ = Pool_.Clock_.now() + CrashBlame::Window;
}

void RunTracker::addCrashedRun(ActiveJob &Job, const TaskName &Name,
                               RunNumber Run) {
  TaskProgress &Task = Job.mutableProgress().task(Name);
  Task.recordCrash(Run);
  Job.markDirty();
  // After a first crash the task need not wait: most crashes have another
  // cause, and the store may be away.
  if (Task.CrashedRuns_.size() >= WorkerSession::CrashedRunsBeforeTrial)
    Job.mutableRun(Name).CrashChange_ = Job.changeCount();
  updateJobState(Job);
}

void RunTracker::judgeTrials() {
  if (!Blame_.hasTrials())
    return;
  std::vector<WorkerEntry> Known;
  for (const auto &[Lifetime, Session] : Pool_.Sessions_)
    Known.push_back(Session->entry());
  for (const CrashVerdict &Verdict : Blame_.takeDue(Pool_.Clock_.now(), Known))
    applyVerdict(Verdict);
}

void RunTracker::applyVerdict(const CrashVerdict &Verdict) {
  const TaskName &Name = Verdict.Trial_.Task_;
  ActiveJob *Job = Pool_.job(Name.Job_);
  if (Job == nullptr || Job->isOver() || Job->progress().task(Name).IsDone_)
    return;
  if (Verdict.IsBlamed_)
    addCrashedRun(*Job, Name, Verdict.Trial_.Run_);
  Pool_.Logger_.write(
      LogLevel::Warning,
      LogEvent(Verdict.IsBlamed_ ? "task.given-up" : "task.not-blamed")
          .with("task", Name.text())
          .with("crashes",
                std::uint64_t{Job->progress().task(Name).CrashedRuns_.size()})
          .with("worker", Verdict.Worker_)
          .with("other-crashes", std::uint64_t{Verdict.OtherCrashes_}));
}

void RunTracker::release(WorkerSession &Session, const TaskName &Name) {
  Pool_.Logger_.write(LogLevel::Debug,
                      LogEvent("run.released")
                          .with("task", Name.text())
                          .with("worker", Session.entry().Id_));
  const SessionRun *Known = Session.run(Name);
  if (Known != nullptr && !Known->WasListed_ &&
      Known->LatestArrival_ > Pool_.Clock_.now())
    Pool_.LateStarts_.add(Session.entry().Id_, Name, Known->Run_,
                          Session.entry().Machine_, Known->LatestArrival_);
  Session.changeRuns().erase(Name);
  ActiveJob *Job = Pool_.job(Name.Job_);
  if (Job == nullptr || !Job->progress().contains(Name))
    return;
  TaskRun &Run = Job->mutableRun(Name);
  if (Run.Worker_ != Session.entry().lifetime())
    return;
  Run.Worker_.clear();
  Run.Phase_ =
      Job->progress().task(Name).IsDone_ ? TaskPhase::Done : TaskPhase::Waiting;
  Pool_.NeedsDispatch_ = true;
}

void RunTracker::releaseAll(WorkerSession &Session) {
  for (auto &[Name, Run] : Session.changeRuns())
    Run.LatestArrival_ = TimePoint();
  releaseMatching(Session, [](const SessionRun &) { return true; });
}

void RunTracker::releaseMatching(
    WorkerSession &Session,
    const std::function<bool(const SessionRun &)> &IsOver) {
  std::vector<TaskName> Over;
  for (const auto &[Name, Run] : Session.runs())
    if (IsOver(Run))
      Over.push_back(Name);
  for (const TaskName &Name : Over)
    release(Session, Name);
}

void RunTracker::releaseListed(WorkerSession &Session) {
  releaseMatching(Session,
                  [](const SessionRun &Run) { return Run.WasListed_; });
}

void RunTracker::releaseConfirmedBefore(WorkerSession &Session,
                                        TimePoint Time) {
  releaseMatching(Session, [Time](const SessionRun &Run) {
    return Run.WasListed_ || (Run.ConfirmedAt_ && *Run.ConfirmedAt_ < Time);
  });
}

void RunTracker::releaseExpired(WorkerSession &Session) {
  releaseMatching(Session,
                  [&Session, Now = Pool_.Clock_.now()](const SessionRun &Run) {
                    return Now >= Session.leaseExpiresAt(Run);
                  });
}

void RunTracker::transferRuns(WorkerSession &Session,
                              WorkerSession &Successor) {
  recordCrash(Session);
  const std::size_t Runs = Session.runs().size();
  releaseListed(Session);
  Pool_.Logger_.write(
      LogLevel::Info,
      LogEvent("worker.returned")
          .with("worker", Session.entry().Id_)
          .with("born",
                static_cast<std::uint64_t>(Successor.entry().Born_.count()))
          .with("former",
                static_cast<std::uint64_t>(Session.entry().Born_.count()))
          .with("released", std::uint64_t{Runs - Session.runs().size()})
          .with("in-doubt", std::uint64_t{Session.runs().size()}));
  while (!Session.runs().empty()) {
    auto First = Session.runs().begin();
    TaskName Name = First->first;
    SessionRun Unconfirmed = First->second;
    Session.changeRuns().erase(First);
    ActiveJob *Job = Pool_.job(Name.Job_);
    bool IsKnown = Job != nullptr && Job->progress().contains(Name);
    if (!IsKnown || Job->run(Name).Worker_ != Session.entry().lifetime())
      continue;
    Unconfirmed.ConfirmedAt_.reset();
    Unconfirmed.ConfirmedClock_.reset();
    Unconfirmed.MustStop_ = true;
    Unconfirmed.IsStopPending_ = false;
    Pool_.NeedsStopCheck_ = true;
    Successor.changeRuns()[Name] = Unconfirmed;
    Successor.recordLease(Pool_.latestLeaseExpiry(Pool_.Clock_.now()));
    TaskRun &Run = Job->mutableRun(Name);
    Run.Worker_ = Successor.entry().lifetime();
    Run.Phase_ = TaskPhase::Stopping;
  }
}

bool RunTracker::hasFailed(ActiveJob &Job) const {
  std::uint32_t Most = Pool_.policyOf(Job).MaxFailedRuns_;
  // The failures of all members count together, once for each run of the gang.
  std::map<std::pair<std::uint32_t, std::uint32_t>, std::set<RunNumber>> Gangs;
  bool Failed = false;
  Job.forEachTask([&](const TaskName &Name, const TaskRun &) {
    const std::vector<RunNumber> &Runs = Job.progress().task(Name).FailedRuns_;
    Failed = Failed || Runs.size() >= Most ||
             Job.progress().task(Name).CrashedRuns_.size() >= MaxCrashedRuns;
    if (!Runs.empty() && Job.step(Name).IsGang_)
      Gangs[{Name.Occurrence_, Name.Step_}].insert(Runs.begin(), Runs.end());
  });
  return Failed ||
         std::any_of(Gangs.begin(), Gangs.end(), [Most](const auto &Each) {
           return Each.second.size() >= Most;
         });
}

void RunTracker::updateJobState(ActiveJob &Job) {
  if (isFinal(Job.progress().state()))
    return;
  JobPhase Next = Job.progress().state();
  if (Job.isCancelled())
    Next = JobPhase::Cancelled;
  else if (Job.progress().areAllDone())
    Next = JobPhase::Completed;
  else if (hasFailed(Job))
    Next = JobPhase::Failed;
  if (Next == Job.progress().state())
    return;
  Job.mutableProgress().setState(Next);
  Job.markDirty();
  Pool_.NeedsDispatch_ = true;
}

} // namespace dragonflylock
