#include "scheduling/internal/latestarts.h"
#include "global/ilogger.h"
#include "global/logevent.h"
#include "scheduling/internal/poolstate.h"
#include "scheduling/machinetypes.h"

#include <algorithm>
#include <tuple>

namespace dragonflylock {
namespace {

/// Holds without a response in a row after which the list of the machines may
/// show that the worker is gone.
constexpr std::uint32_t FailedHoldsBeforeMachines = 2;

} // namespace

bool LateStarts::Key::operator<(const Key &Other) const {
  return std::tie(Worker_, Task_) < std::tie(Other.Worker_, Other.Task_);
}

void LateStarts::add(const std::string &Worker, const TaskName &Task,
                     RunNumber Number, const std::string &Machine,
                     TimePoint LatestArrival) {
  ActiveJob *Job = Pool_.job(Task.Job_);
  if (Job == nullptr || Job->isOver() || !Job->progress().contains(Task) ||
      Job->step(Task).AllowsDuplicates_)
    return;
  auto [Place, IsNew] =
      Starts_.try_emplace({Worker, Task}, Start{Number, Machine, LatestArrival,
                                                Pool_.Clock_.now()});
  if (IsNew)
    ++Job->mutableRun(Task).LateStarts_;
  Start &Late = Place->second;
  Late.Number_ = std::max(Late.Number_, Number);
  Late.LatestArrival_ = std::max(Late.LatestArrival_, LatestArrival);
}

void LateStarts::onListed(const std::string &Worker, const TaskName &Task,
                          RunNumber Number) {
  auto Found = Starts_.find({Worker, Task});
  if (Found == Starts_.end() || Number < Found->second.Number_)
    return;
  release(Found->first, Found->second, "listed");
  Starts_.erase(Found);
}

void LateStarts::inherit(const LateStartsRow &Row, TimePoint MadeAt) {
  Inherited_ = Row;
  InheritedAt_ = MadeAt;
}

void LateStarts::onLoaded() {
  for (const auto &[Worker, Tasks] : Inherited_.TimeLeft_) {
    const WorkerSession *Latest = Pool_.latestOf(Worker);
    const std::string Machine =
        Latest == nullptr ? std::string() : Latest->entry().Machine_;
    for (const auto &[Task, Left] : Tasks)
      if (auto Name = TaskName::parse(Task))
        add(Worker, *Name, 0, Machine, InheritedAt_ + Left);
  }
  Inherited_ = {};
}

void LateStarts::update() {
  const TimePoint Now = Pool_.Clock_.now();
  std::erase_if(Starts_, [&](const auto &Each) {
    const auto &[Name, Late] = Each;
    if (Now < Late.LatestArrival_ || !isOver(Name.Worker_, Late))
      return false;
    release(Name, Late, "outlived");
    return true;
  });
}

void LateStarts::onMachines(const std::map<std::string, Machine> &Machines,
                            TimePoint ListedAt) {
  std::erase_if(Starts_, [&](const auto &Each) {
    const auto &[Name, Late] = Each;
    const auto Found = Machines.find(Late.Machine_);
    // An earlier list may date from before the worker was on the machine.
    if (Found == Machines.end() ||
        ListedAt < Late.LatestArrival_ - Pool_.Settings_.MaxOrderDelay_)
      return false;
    // A worker that is only down may come back under its id.
    const bool HasLeft = Found->second.Pool_ != Pool_.Pool_ ||
                         (!Found->second.Worker_.empty() &&
                          Found->second.Worker_ != Name.Worker_);
    if (HasLeft)
      release(Name, Late, "worker-gone");
    return HasLeft;
  });
}

bool LateStarts::needsMachines() const {
  return std::any_of(Starts_.begin(), Starts_.end(), [&](const auto &Each) {
    const WorkerSession *Latest = Pool_.latestOf(Each.first.Worker_);
    return !Each.second.Machine_.empty() &&
           (Latest == nullptr || Latest->HasEnded_ ||
            Latest->HoldFailures_ >= FailedHoldsBeforeMachines);
  });
}

bool LateStarts::isOver(const std::string &Worker, const Start &Late) const {
  // The run's lease ends at the latest.
  if (Pool_.Clock_.now() >= Pool_.latestLeaseExpiry(Late.LatestArrival_))
    return true;
  const WorkerSession *Latest = Pool_.latestOf(Worker);
  // It would have listed the run.
  return Latest != nullptr && !Latest->HasSuccessor_ &&
         Latest->ListsRequestedAt_ > Late.LatestArrival_;
}

bool LateStarts::needsLists(const WorkerSession &Session) const {
  const TimePoint Now = Pool_.Clock_.now();
  const std::string &Worker = Session.entry().Id_;
  for (auto Each = Starts_.lower_bound({Worker, TaskName()});
       Each != Starts_.end() && Each->first.Worker_ == Worker; ++Each)
    if (Each->second.LatestArrival_ < Now &&
        Session.ListsRequestedAt_ <= Each->second.LatestArrival_)
      return true;
  return false;
}

LateStartsRow LateStarts::row(std::chrono::milliseconds MinAge) const {
  const TimePoint Now = Pool_.Clock_.now();
  LateStartsRow Row;
  auto Add = [&](const std::string &Worker, const TaskName &Task,
                 TimePoint LatestArrival) {
    auto Left =
        std::chrono::ceil<std::chrono::milliseconds>(LatestArrival - Now);
    // Past its time a start may still have begun a run that was not listed.
    Row.TimeLeft_[Worker][Task.text()] =
        std::max(Left, std::chrono::milliseconds(0));
  };
  const TimePoint Latest = Now + Pool_.Settings_.MaxOrderDelay_ - MinAge;
  for (const auto &[Lifetime, Session] : Pool_.Sessions_)
    for (const auto &[Name, Run] : Session->runs())
      if (!Run.WasListed_ && Run.LatestArrival_ > Now &&
          Run.LatestArrival_ <= Latest)
        Add(Session->entry().Id_, Name, Run.LatestArrival_);
  for (const auto &[Name, Late] : Starts_)
    Add(Name.Worker_, Name.Task_, Late.LatestArrival_);
  return Row;
}

void LateStarts::release(const Key &Name, const Start &Late,
                         const char *Cause) {
  ActiveJob *Job = Pool_.job(Name.Task_.Job_);
  if (Job == nullptr || !Job->progress().contains(Name.Task_))
    return;
  --Job->mutableRun(Name.Task_).LateStarts_;
  Pool_.NeedsDispatch_ = true;
  Pool_.Logger_.write(
      LogLevel::Info,
      LogEvent("start.settled")
          .with("task", Name.Task_.text())
          .with("run", Late.Number_)
          .with("worker", Name.Worker_)
          .with("cause", Cause)
          .with("waited", std::chrono::duration_cast<std::chrono::microseconds>(
                              Pool_.Clock_.now() - Late.AddedAt_)));
}

} // namespace dragonflylock
