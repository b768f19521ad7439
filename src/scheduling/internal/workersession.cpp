#include "scheduling/workersession.h"

#include <algorithm>

namespace dragonflylock {
namespace {

std::chrono::milliseconds sinceEpoch(TimePoint Time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      Time.time_since_epoch());
}

/// \returns the maximum time by which a worker's clock falls behind in \p
/// Passed.
std::chrono::milliseconds driftOf(std::chrono::milliseconds Passed) {
  constexpr int Percent = 100;
  return (Passed * WorkerSession::ClockDriftPercent +
          std::chrono::milliseconds(Percent - 1)) /
         Percent;
}

} // namespace

Resources SessionRun::reservedResources() const {
  Resources Reserved = Resources_;
  if (IsFiller_)
    Reserved.CpuMillis_ = 0;
  return Reserved;
}

void WorkerSession::updateClock(WorkerClock Clock, TimePoint Received) {
  LatestClock_ = std::max(LatestClock_, Clock);
  if (hasClock() && workerTimeAt(Received) >= Clock)
    return;
  ClockOffset_ = Clock - sinceEpoch(Received);
  OffsetMeasuredAt_ = Received;
}

bool WorkerSession::hasOutlivedStart(const SessionRun &Run) const {
  return Run.ConfirmedClock_ &&
         LatestClock_ >= *Run.ConfirmedClock_ + StartCrashWindow;
}

std::map<TaskName, RunNumber> WorkerSession::youngRuns() const {
  std::map<TaskName, RunNumber> Young;
  for (const auto &[Name, Run] : Runs_)
    if (!hasOutlivedStart(Run))
      Young[Name] = Run.Run_;
  return Young;
}

bool WorkerSession::hasRunOnTrial() const {
  if (!RunOnTrial_)
    return false;
  auto Found = Runs_.find(*RunOnTrial_);
  return Found != Runs_.end() && !hasOutlivedStart(Found->second);
}

WorkerClock WorkerSession::workerTimeAt(TimePoint Time) const {
  auto Passed =
      std::chrono::ceil<std::chrono::milliseconds>(Time - OffsetMeasuredAt_);
  return sinceEpoch(Time) +
         ClockOffset_.value_or(std::chrono::milliseconds(0)) -
         driftOf(std::max(Passed, std::chrono::milliseconds(0)));
}

void WorkerSession::recordLease(TimePoint End) {
  LeasesExpireAt_ = std::max(LeasesExpireAt_, End);
}

void WorkerSession::recordLeaseOfUnlistedRuns(TimePoint End) {
  LeasesOfUnlistedRunsExpireAt_ = std::max(LeasesOfUnlistedRunsExpireAt_, End);
}

TimePoint WorkerSession::leaseExpiresAt(const SessionRun &Run) const {
  if (Run.WasListed_)
    return LeasesExpireAt_;
  return std::max(LeasesExpireAt_, LeasesOfUnlistedRunsExpireAt_);
}

const SessionUsage &WorkerSession::usage() const {
  if (Usage_)
    return *Usage_;
  Usage_.emplace();
  for (const auto &[Name, Run] : Runs_) {
    Usage_->Taken_ += Run.reservedResources();
    Usage_->Fillers_ += Run.IsFiller_ ? 1 : 0;
    Usage_->Serving_ += Run.LatencyTarget_.count() > 0 ? 1 : 0;
  }
  return *Usage_;
}

bool WorkerSession::hasUnlistedRuns() const {
  return std::any_of(Runs_.begin(), Runs_.end(),
                     [](const auto &Each) { return !Each.second.WasListed_; });
}

bool WorkerSession::hasUnansweredStarts() const {
  return std::any_of(Runs_.begin(), Runs_.end(), [](const auto &Each) {
    return Each.second.IsUnanswered_ && !Each.second.WasListed_;
  });
}

SessionRun *WorkerSession::run(const TaskName &Name) {
  auto Found = Runs_.find(Name);
  return Found == Runs_.end() ? nullptr : &Found->second;
}

Resources WorkerSession::freeResources() const {
  if (HasUnwantedOfUnknownSize_)
    return {};
  Resources Free = Entry_.Capacity_;
  Free -= usage().Taken_;
  Free -= UnwantedTaken_;
  return Free;
}

std::uint32_t WorkerSession::countTasksOfStep(const TaskName &OfStep) const {
  TaskName First = OfStep;
  First.Index_ = 0;
  std::uint32_t Count = 0;
  for (auto Each = Runs_.lower_bound(First); Each != Runs_.end(); ++Each) {
    const TaskName &Name = Each->first;
    if (Name.Job_ != OfStep.Job_ || Name.Occurrence_ != OfStep.Occurrence_ ||
        Name.Step_ != OfStep.Step_)
      break;
    ++Count;
  }
  return Count;
}

bool WorkerSession::recordEnd(std::uint64_t Sequence) {
  if (Sequence <= LastRecordedEnd_)
    return false;
  LastRecordedEnd_ = Sequence;
  PendingEnds_.push_back(Sequence);
  return true;
}

void WorkerSession::markEndProcessed(std::uint64_t Sequence) {
  std::erase(PendingEnds_, Sequence);
}

std::uint64_t WorkerSession::acknowledgeableUpTo() const {
  if (PendingEnds_.empty())
    return LastRecordedEnd_;
  return *std::min_element(PendingEnds_.begin(), PendingEnds_.end()) - 1;
}

} // namespace dragonflylock
