#include "scheduling/internal/poolreporter.h"
#include "global/ilogger.h"
#include "global/logevent.h"
#include "scheduling/demandtracker.h"
#include "scheduling/internal/dispatcher.h"
#include "scheduling/internal/jobfollower.h"
#include "scheduling/internal/poolstate.h"
#include "scheduling/poolview.h"

#include <algorithm>
#include <vector>

namespace dragonflylock {
namespace {

constexpr std::chrono::milliseconds ReportInterval{1000};
/// Age from which on a job without any run is reported.
constexpr std::chrono::milliseconds LongWait{3000};
/// Maximum number of waiting jobs in one report.
constexpr std::size_t MaxWaitingJobs = 3;

std::uint64_t unsignedOf(std::int64_t Value) {
  return static_cast<std::uint64_t>(std::max<std::int64_t>(0, Value));
}

/// \returns whether a step of the job is ready and none of its tasks is on a
/// worker.
bool isWaiting(const ActiveJob &Job, std::chrono::milliseconds Wall) {
  if (Job.isOver() || Job.runCount() > 0)
    return false;
  bool HasWaitingTask = false;
  Job.forEachReadyStep(
      Wall,
      [&](std::uint32_t, const std::vector<TaskRun> &Runs) {
        for (const TaskRun &Run : Runs)
          HasWaitingTask = HasWaitingTask || Run.Phase_ == TaskPhase::Waiting;
      },
      [](std::chrono::milliseconds) {});
  return HasWaitingTask;
}

} // namespace

PoolView PoolReporter::view() const {
  const TimePoint Now = Pool_.Clock_.now();
  PoolView View;
  View.Pool_ = Pool_.Pool_;
  View.Token_ = Pool_.Token_;
  View.LeaseLeft_ = std::chrono::duration_cast<std::chrono::milliseconds>(
      Pool_.LeaseEnd_ - Now);
  View.Jobs_ = Pool_.Jobs_.size();
  View.JobVisits_ = Pool_.Index_.visitCount();
  View.Workers_ = Pool_.Sessions_.size();
  for (const auto &[Lifetime, Session] : Pool_.Sessions_) {
    View.Runs_ += Session->runs().size();
    if (!Session->IsListed_)
      continue;
    View.Free_ += Session->freeResources();
    View.Total_ += Session->entry().Capacity_;
  }
  for (const auto &[Id, Job] : Pool_.Jobs_)
    View.WaitingTasks_ += Job->countStartableTasks(Now, Pool_.wallTime());
  const DemandRow &Demand = Demands_.demandOf(Pool_.Pool_).Row_;
  View.MissingMachines_ = Demand.Missing_;
  View.IncomingMachines_ = Demand.Coming_.size();
  return View;
}

void PoolReporter::tick() {
  const TimePoint Now = Pool_.Clock_.now();
  if (Now < NextReport_)
    return;
  NextReport_ = Now + ReportInterval;
  logStatus();
  logWaitingJobs();
}

PoolReporter::WorkerCounts PoolReporter::countWorkers() const {
  WorkerCounts Counts;
  for (const auto &[Lifetime, Session] : Pool_.Sessions_) {
    if (!Session->IsListed_)
      continue;
    Counts.Usable_ += WorkerChooser::isUsable(*Session, Pool_) ? 1 : 0;
    Counts.Unfenced_ += Session->IsFenced_ ? 0 : 1;
    Counts.NotInRoster_ += Session->IsInRoster_ ? 0 : 1;
    Counts.Draining_ += Session->isBeingDrained() ? 1 : 0;
    Counts.Unanswering_ += Session->HoldFailures_ > 0 ? 1 : 0;
    bool IsSetAside = std::max(Session->NoStartsBefore_,
                               Session->SetAsideUntil_) > Pool_.Clock_.now();
    Counts.SetAside_ += IsSetAside ? 1 : 0;
  }
  return Counts;
}

void PoolReporter::logStatus() const {
  const PoolView View = view();
  const WorkerCounts Counts = countWorkers();
  Pool_.Logger_.write(
      LogLevel::Info,
      LogEvent("pool.status")
          .with("pool", View.Pool_)
          .with("token", View.Token_)
          .with("jobs", View.Jobs_)
          .with("job-visits", View.JobVisits_)
          .with("runs", View.Runs_)
          .with("waiting-tasks", View.WaitingTasks_)
          .with("workers", View.Workers_)
          .with("usable-workers", Counts.Usable_)
          .with("unconfirmed-workers", Counts.Unfenced_)
          .with("workers-not-in-roster", Counts.NotInRoster_)
          .with("drained-workers", Counts.Draining_)
          .with("unanswering-workers", Counts.Unanswering_)
          .with("set-aside-workers", Counts.SetAside_)
          .with("free-cpu-millis", unsignedOf(View.Free_.CpuMillis_))
          .with("cpu-millis", unsignedOf(View.Total_.CpuMillis_))
          .with("free-memory-mb", unsignedOf(View.Free_.MemoryMb_))
          .with("late-starts", std::uint64_t{Pool_.LateStarts_.size()})
          .with("outstanding-starts",
                std::uint64_t{Dispatcher_.outstandingStarts()})
          .with("start-limit", std::uint64_t{Dispatcher_.startLimit()})
          .with("changes-age",
                std::chrono::duration_cast<std::chrono::microseconds>(
                    Follower_.changesAge()))
          .with("missing-machines", View.MissingMachines_)
          .with("coming-machines", View.IncomingMachines_));
}

void PoolReporter::logWaitingJobs() const {
  const std::chrono::milliseconds Wall = Pool_.wallTime();
  std::vector<const ActiveJob *> Waiting;
  for (const auto &[Id, Job] : Pool_.Jobs_)
    if (Wall - Job->submission().AcceptedAt_ > LongWait &&
        isWaiting(*Job, Wall))
      Waiting.push_back(Job.get());
  auto IsOlder = [](const ActiveJob *Left, const ActiveJob *Right) {
    return Left->submission().AcceptedAt_ < Right->submission().AcceptedAt_;
  };
  auto End = Waiting.begin() + static_cast<std::ptrdiff_t>(
                                   std::min(MaxWaitingJobs, Waiting.size()));
  std::partial_sort(Waiting.begin(), End, Waiting.end(), IsOlder);
  for (auto Each = Waiting.begin(); Each != End; ++Each)
    logWaitingJob(**Each);
}

void PoolReporter::logWaitingJob(const ActiveJob &Job) const {
  const TimePoint Now = Pool_.Clock_.now();
  std::uint64_t Inherited = 0;
  std::uint64_t InDoubt = 0;
  std::uint64_t Delayed = 0;
  Job.forEachTask([&](const TaskName &, const TaskRun &Run) {
    Inherited += Run.MayHaveInheritedRun_ ? 1 : 0;
    InDoubt += Run.LateStarts_ > 0 ? 1 : 0;
    Delayed += Run.NotBefore_ > Now ? 1 : 0;
  });
  auto Wait = Job.capacityWaitSince();
  Pool_.Logger_.write(
      LogLevel::Info,
      LogEvent("job.waiting")
          .with("pool", Pool_.Pool_)
          .with("job", Job.id())
          .with("age", std::chrono::microseconds(Pool_.wallTime() -
                                                 Job.submission().AcceptedAt_))
          .with("startable-tasks",
                std::uint64_t{Job.countStartableTasks(Now, Pool_.wallTime())})
          .with("inherited-tasks", Inherited)
          .with("late-start-tasks", InDoubt)
          .with("delayed-tasks", Delayed)
          .with("capacity-wait",
                std::chrono::duration_cast<std::chrono::microseconds>(
                    Wait ? Now - *Wait : TimePoint::duration(0))));
}

} // namespace dragonflylock
