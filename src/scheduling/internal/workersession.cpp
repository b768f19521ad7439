#include "scheduling/workersession.h"

#include <algorithm>

namespace dragonflylock {
namespace {

std::chrono::milliseconds sinceEpoch(TimePoint Time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      Time.time_since_epoch());
}

} // namespace

void WorkerSession::noteClock(WorkerClock Clock, TimePoint Received) {
  Offset_ = Clock - sinceEpoch(Received);
}

WorkerClock WorkerSession::clockAt(TimePoint Time) const {
  return sinceEpoch(Time) + Offset_.value_or(std::chrono::milliseconds(0));
}

void WorkerSession::noteLease(TimePoint End) {
  LapsesAt_ = std::max(LapsesAt_, End);
}

Resources WorkerSession::freeRoom() const {
  Resources Free = Entry_.Capacity_;
  for (const auto &[Name, Run] : Runs_) {
    Resources Used = Run.Resources_;
    if (Run.IsFiller_)
      Used.CpuMillis_ = 0;
    Free -= Used;
  }
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
