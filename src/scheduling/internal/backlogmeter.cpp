#include "scheduling/internal/backlogmeter.h"
#include "admission/backlogpublication.h"
#include "global/iclock.h"
#include "scheduling/internal/poolstate.h"
#include "scheduling/placement.h"

#include <algorithm>

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;

/// Time over which arriving work is measured.
constexpr milliseconds ArrivalWindow{1000};
/// Unanswered holds in a row from which on a worker does not count as capacity.
constexpr std::uint32_t MaxHoldFailures = 2;

double coresOf(std::int64_t CpuMillis) {
  return static_cast<double>(CpuMillis) / 1000;
}

std::int64_t cpuMillisOf(const StepSpec &Step) {
  return requiredResources(Step).CpuMillis_;
}

std::int64_t workOf(const StepSpec &Step) {
  return Step.Estimate_.count() * cpuMillisOf(Step) / 1000;
}

/// \returns whether the step's tasks end by themselves and delay others.
bool isCounted(const StepSpec &Step) {
  return !Step.IsLongRunning_ && !Step.IsFiller_;
}

/// \returns whether the job can no longer meet its objective. JobIndex orders
/// by the same rule.
bool isLate(const ActiveJob &Job, const QueuePolicy &Policy,
            milliseconds Wall) {
  const auto Objective =
      std::chrono::duration_cast<milliseconds>(
          Policy.Stretch_ * Job.criticalPathTime(/*OnlyRemaining=*/false)) +
      Policy.TargetLatency_;
  return Wall > Job.submission().AcceptedAt_ + Objective -
                    Job.criticalPathTime(/*OnlyRemaining=*/true);
}

bool takesTasks(const WorkerSession &Session) {
  return Session.IsListed_ && Session.IsFenced_ && !Session.isBeingDrained() &&
         Session.HoldFailures_ < MaxHoldFailures &&
         Session.entry().State_ == WorkerState::Ready;
}

} // namespace

double BacklogMeter::cores() const {
  std::int64_t CpuMillis = 0;
  for (const auto &[Lifetime, Session] : Pool_.Sessions_)
    if (takesTasks(*Session))
      CpuMillis += Session->entry().Capacity_.CpuMillis_;
  for (const auto &[Id, Each] : Pool_.Jobs_)
    if (Each->isLongRunning())
      Each->forEachStep(
          [&, Job = Each.get()](std::uint32_t Number,
                                const std::vector<TaskRun> &Runs) {
            const StepSpec &Step = Job->submission().Spec_.Steps_[Number];
            if (!Step.IsLongRunning_ || Step.IsFiller_)
              return;
            for (const TaskRun &Run : Runs)
              CpuMillis -= Run.Worker_.empty() ? 0 : cpuMillisOf(Step);
          });
  return coresOf(std::max<std::int64_t>(0, CpuMillis));
}

const QueuePolicy &BacklogMeter::policyOf(const ActiveJob &Job) {
  const QueuePolicy *&Known = Policies_[Job.submission().Queue_];
  if (Known == nullptr)
    Known = &Pool_.policyOf(Job);
  return *Known;
}

std::int64_t BacklogMeter::workLeft(const StepSpec &Step,
                                    const TaskRun &Run) const {
  const auto Left = Run.StartedAt_ + Step.Estimate_ - Pool_.Clock_.now();
  const auto LeftMs = std::chrono::duration_cast<milliseconds>(Left).count();
  return std::clamp<std::int64_t>(LeftMs, 0, Step.Estimate_.count()) *
         cpuMillisOf(Step) / 1000;
}

void BacklogMeter::addJob(const ActiveJob &Job, PoolBacklog &Sum,
                          std::map<std::uint32_t, OnTimeWork> &OnTime) {
  const QueuePolicy &Policy = policyOf(Job);
  const std::vector<StepSpec> &Steps = Job.submission().Spec_.Steps_;
  const milliseconds Wall = Pool_.wallTime();
  std::int64_t Waiting = 0;
  std::int64_t Running = 0;
  auto AddStep = [&](std::uint32_t Number, const std::vector<TaskRun> &Runs) {
    const StepSpec &Step = Steps[Number];
    if (!isCounted(Step))
      return;
    for (const TaskRun &Run : Runs) {
      if (!Run.Worker_.empty()) {
        Running += workLeft(Step, Run);
        BusyCores_ += coresOf(cpuMillisOf(Step));
      } else if (Run.Phase_ != TaskPhase::Done) {
        Waiting += workOf(Step);
      }
    }
  };
  // Occurrences that are not due yet delay nothing.
  if (Job.submission().Spec_.OccurrenceCount_ > 0)
    Job.forEachReadyStep(Wall, AddStep, [](milliseconds) {});
  else
    Job.forEachStep(AddStep);
  if (Waiting == 0 && Running == 0)
    return;
  PriorityBacklog &Of = Sum.Priorities_[Policy.Priority_];
  Of.Running_ += Running;
  if (Waiting == 0)
    return;
  const milliseconds Place =
      Job.submission().AcceptedAt_ + urgencyDelayOf(Job.remainingWork()) - Wall;
  if (isLate(Job, Policy, Wall)) {
    Of.Late_.add(Place, Waiting);
    return;
  }
  Of.OnTime_.add(Place, Waiting);
  OnTime[Policy.Priority_].emplace_back(Place, Waiting);
}

void BacklogMeter::updateArrivals() {
  const TimePoint Now = Pool_.Clock_.now();
  StoreVersion Latest = CountedSubmission_;
  for (const auto &[Id, Job] : Pool_.Jobs_) {
    Latest = std::max(Latest, Job->submissionVersion());
    if (!FirstAt_ || Job->submissionVersion() <= CountedSubmission_ ||
        Job->isLongRunning() || Job->submission().Spec_.OccurrenceCount_ > 0)
      continue;
    std::int64_t Work = 0;
    for (const StepSpec &Step : Job->submission().Spec_.Steps_)
      Work += isCounted(Step) ? Step.TaskCount_ * workOf(Step) : 0;
    Arrivals_.push_back({Now, policyOf(*Job).Priority_, Work});
  }
  CountedSubmission_ = Latest;
  if (!FirstAt_)
    FirstAt_ = Now;
  while (!Arrivals_.empty() && Arrivals_.front().SeenAt_ + ArrivalWindow <= Now)
    Arrivals_.pop_front();
}

void BacklogMeter::addArrivals(PoolBacklog &Sum) const {
  for (const Arrival &Each : Arrivals_)
    Sum.Priorities_[Each.Priority_].ArrivingPerSecond_.add(
        urgencyDelayOf(Each.Work_), Each.Work_);
}

std::optional<PoolBacklog> BacklogMeter::measure() {
  PoolBacklog Sum;
  Sum.MeasuredAt_ = Pool_.wallTime();
  std::map<std::uint32_t, OnTimeWork> OnTime;
  BusyCores_ = 0;
  Policies_.clear();
  for (const auto &[Id, Job] : Pool_.Jobs_)
    if (!Job->isOver())
      addJob(*Job, Sum, OnTime);
  updateArrivals();
  addArrivals(Sum);
  const double Cores = cores();
  Speed_.observe(Pool_.Clock_.now(), Pool_.Finished_, Cores, BusyCores_,
                 Sum.waiting());
  Sum.Speed_ = Speed_.speedOf(Cores);
  Sum.RunTimeFactor_ = Speed_.runTimeFactor(Cores);
  if (!BacklogPublication::isBacklog(Sum))
    return std::nullopt;
  for (auto &[Priority, Work] : OnTime)
    Sum.Priorities_[Priority].FrontAge_ =
        frontAgeOf(std::move(Work), Sum.Speed_);
  return Sum;
}

} // namespace dragonflylock
