#include "scheduling/workersession.h"

#include <algorithm>

namespace dragonflylock {
namespace {

std::chrono::milliseconds sinceEpoch(TimePoint Time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      Time.time_since_epoch());
}

/// \returns the most that a worker's clock falls behind in \p Passed.
std::chrono::milliseconds driftOf(std::chrono::milliseconds Passed) {
  constexpr int Percent = 100;
  return (Passed * WorkerSession::ClockDriftPercent +
          std::chrono::milliseconds(Percent - 1)) /
         Percent;
}

} // namespace

void WorkerSession::noteClock(WorkerClock Clock, TimePoint Received) {
  if (knowsClock() && clockAt(Received) >= Clock)
    return;
  Offset_ = Clock - sinceEpoch(Received);
  OffsetAt_ = Received;
}

WorkerClock WorkerSession::clockAt(TimePoint Time) const {
  auto Passed = std::chrono::ceil<std::chrono::milliseconds>(Time - OffsetAt_);
  return sinceEpoch(Time) + Offset_.value_or(std::chrono::milliseconds(0)) -
         driftOf(std::max(Passed, std::chrono::milliseconds(0)));
}

void WorkerSession::noteLease(TimePoint End) {
  LapsesAt_ = std::max(LapsesAt_, End);
}

const SessionUse &WorkerSession::use() const {
  if (Use_)
    return *Use_;
  Use_.emplace();
  for (const auto &[Name, Run] : Runs_) {
    Resources Taken = Run.Resources_;
    if (Run.IsFiller_)
      Taken.CpuMillis_ = 0;
    Use_->Taken_ += Taken;
    Use_->Fillers_ += Run.IsFiller_ ? 1 : 0;
    Use_->Serving_ += Run.LatencyTarget_.count() > 0 ? 1 : 0;
  }
  return *Use_;
}

SessionRun *WorkerSession::run(const TaskName &Name) {
  auto Found = Runs_.find(Name);
  return Found == Runs_.end() ? nullptr : &Found->second;
}

Resources WorkerSession::freeRoom() const {
  Resources Free = Entry_.Capacity_;
  Free -= use().Taken_;
  return Free;
}

std::uint32_t WorkerSession::countOf(const TaskName &Like) const {
  TaskName First = Like;
  First.Index_ = 0;
  std::uint32_t Count = 0;
  for (auto Each = Runs_.lower_bound(First); Each != Runs_.end(); ++Each) {
    const TaskName &Name = Each->first;
    if (Name.Job_ != Like.Job_ || Name.Occurrence_ != Like.Occurrence_ ||
        Name.Step_ != Like.Step_)
      break;
    ++Count;
  }
  return Count;
}

bool WorkerSession::takeEnd(std::uint64_t Sequence) {
  if (Sequence <= HighestEnd_)
    return false;
  HighestEnd_ = Sequence;
  Unsettled_.push_back(Sequence);
  return true;
}

void WorkerSession::settleEnd(std::uint64_t Sequence) {
  std::erase(Unsettled_, Sequence);
}

std::uint64_t WorkerSession::acknowledgeable() const {
  if (Unsettled_.empty())
    return HighestEnd_;
  return *std::min_element(Unsettled_.begin(), Unsettled_.end()) - 1;
}

} // namespace dragonflylock
