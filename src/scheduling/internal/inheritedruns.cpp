#include "scheduling/internal/inheritedruns.h"
#include "global/ilogger.h"
#include "global/logevent.h"
#include "scheduling/internal/poolstate.h"

#include <algorithm>

namespace dragonflylock {
namespace {

constexpr std::chrono::milliseconds WaitLogInterval{1000};
/// Maximum number of workers named in a log line.
constexpr std::uint64_t MaxLoggedWorkers = 5;

} // namespace

void InheritedRuns::onLoaded() {
  LoadedAt_ = Pool_.Clock_.now();
  NextWaitLog_ = LoadedAt_ + WaitLogInterval;
  if (!HasPredecessor_)
    return;
  Pool_.LateStarts_.onLoaded();
  for (auto &[Id, Job] : Pool_.Jobs_) {
    if (Pool_.InheritedWatermark_ &&
        Job->submissionVersion() > *Pool_.InheritedWatermark_)
      continue;
    Job->forEachMutableTask([](const TaskName &, TaskRun &Run) {
      Run.MayHaveInheritedRun_ = Run.Phase_ != TaskPhase::Done;
    });
  }
}

void InheritedRuns::update() {
  if (IsSettled_) {
    if (!TasksInDoubt_.empty())
      releaseAnswered();
    return;
  }
  const bool HaveLeasesExpired =
      !HasPredecessor_ || Pool_.Clock_.now() >= Pool_.InheritedRunsExpireAt_;
  // Even after the leases have expired, workers still list the ends of runs
  // that expired, or that ended while the jobs were being loaded.
  if (!isEveryRunKnown() && (!HaveLeasesExpired || !areWorkersContacted())) {
    logWait();
    return;
  }
  settle(HaveLeasesExpired);
}

bool InheritedRuns::isEveryRunKnown() const {
  return std::all_of(Pool_.Sessions_.begin(), Pool_.Sessions_.end(),
                     [this](const auto &Each) {
                       return !Pool_.mayHaveInheritedRuns(*Each.second) ||
                              Each.second->WasDeclaredSilent_;
                     });
}

bool InheritedRuns::isContacted(const WorkerSession &Session) const {
  if (!Pool_.mayHaveInheritedRuns(Session) || Session.HoldFailures_ > 0 ||
      !Session.IsInRoster_)
    return true;
  if (!Session.IsSuperseded_)
    return false;
  const WorkerSession *Successor = Pool_.successorOf(Session);
  return Successor == nullptr || Successor->HoldFailures_ > 0;
}

bool InheritedRuns::areWorkersContacted() {
  if (!WereWorkersContacted_)
    WereWorkersContacted_ = std::all_of(
        Pool_.Sessions_.begin(), Pool_.Sessions_.end(),
        [this](const auto &Each) { return isContacted(*Each.second); });
  return WereWorkersContacted_;
}

void InheritedRuns::settle(bool HaveLeasesExpired) {
  IsSettled_ = true;
  for (const auto &[Lifetime, Session] : Pool_.Sessions_) {
    if (!Pool_.mayHaveUnexpiredInheritedRuns(*Session) ||
        Session->InheritedTasks_.empty())
      continue;
    TasksInDoubt_[Lifetime] = Session->InheritedTasks_;
    for (const std::string &Task : Session->InheritedTasks_)
      ++WorkersInDoubt_[Task];
  }
  for (auto &[Id, Job] : Pool_.Jobs_)
    Job->forEachMutableTask([this](const TaskName &Name, TaskRun &Run) {
      Run.MayHaveInheritedRun_ =
          Run.MayHaveInheritedRun_ && WorkersInDoubt_.contains(Name.text());
    });
  Pool_.NeedsDispatch_ = true;
  if (!HasPredecessor_)
    return;
  Pool_.Logger_.write(
      LogLevel::Info,
      LogEvent("pool.inherited-settled")
          .with("pool", Pool_.Pool_)
          .with("token", Pool_.Token_)
          .with("cause", HaveLeasesExpired ? "leases-lapsed" : "workers-known")
          .with("waited-ms",
                static_cast<std::uint64_t>(timeSinceLoaded().count()))
          .with("doubtful-workers", std::uint64_t{TasksInDoubt_.size()})
          .with("doubtful-tasks", std::uint64_t{WorkersInDoubt_.size()}));
}

void InheritedRuns::releaseAnswered() {
  std::erase_if(TasksInDoubt_, [this](const auto &Each) {
    const WorkerSession *Session = Pool_.session(Each.first);
    if (Session != nullptr && Pool_.mayHaveUnexpiredInheritedRuns(*Session))
      return false;
    for (const std::string &Task : Each.second) {
      auto Workers = WorkersInDoubt_.find(Task);
      if (--Workers->second > 0)
        continue;
      WorkersInDoubt_.erase(Workers);
      auto Name = TaskName::parse(Task);
      ActiveJob *Job = Name ? Pool_.job(Name->Job_) : nullptr;
      if (Job != nullptr && Job->progress().contains(*Name))
        Job->mutableRun(*Name).MayHaveInheritedRun_ = false;
    }
    Pool_.NeedsDispatch_ = true;
    return true;
  });
}

std::chrono::milliseconds InheritedRuns::timeSinceLoaded() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      Pool_.Clock_.now() - LoadedAt_);
}

void InheritedRuns::logWait() {
  const TimePoint Now = Pool_.Clock_.now();
  if (Now < NextWaitLog_)
    return;
  NextWaitLog_ = Now + WaitLogInterval;
  std::uint64_t Unanswered = 0;
  std::uint64_t Registered = 0;
  std::string Examples;
  for (const auto &[Lifetime, Session] : Pool_.Sessions_) {
    if (!Pool_.mayHaveInheritedRuns(*Session) || Session->WasDeclaredSilent_)
      continue;
    if (Unanswered++ < MaxLoggedWorkers)
      Examples += (Examples.empty() ? "" : ",") + Lifetime;
    Registered += Session->IsListed_ ? 1 : 0;
  }
  Pool_.Logger_.write(LogLevel::Info,
                      LogEvent("pool.inherited-wait")
                          .with("pool", Pool_.Pool_)
                          .with("token", Pool_.Token_)
                          .with("waited-ms", static_cast<std::uint64_t>(
                                                 timeSinceLoaded().count()))
                          .with("unanswered", Unanswered)
                          .with("registered", Registered)
                          .with("workers", Examples));
}

} // namespace dragonflylock
