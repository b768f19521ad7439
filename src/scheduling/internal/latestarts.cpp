#include "scheduling/internal/latestarts.h"
#include "global/ilogger.h"
#include "global/logevent.h"
#include "scheduling/internal/poolstate.h"

#include <algorithm>
#include <tuple>

namespace dragonflylock {

bool LateStarts::Key::operator<(const Key &Other) const {
  return std::tie(Worker_, Task_) < std::tie(Other.Worker_, Other.Task_);
}

void LateStarts::add(const std::string &Worker, const TaskName &Task,
                     RunNumber Number, TimePoint LatestArrival) {
  ActiveJob *Job = Pool_.job(Task.Job_);
  if (Job == nullptr || Job->isOver() || !Job->progress().contains(Task) ||
      Job->step(Task).AllowsDuplicates_)
    return;
  auto [Place, IsNew] = Starts_.try_emplace(
      {Worker, Task}, Start{Number, LatestArrival, Pool_.Clock_.now()});
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

void LateStarts::inherit(
    const std::map<std::string, std::set<std::string>> &Tasks) {
  Inherited_ = Tasks;
  InheritedArrival_ = Pool_.Clock_.now() + Pool_.Settings_.MaxOrderDelay_;
}

void LateStarts::onLoaded() {
  for (const auto &[Worker, Tasks] : Inherited_)
    for (const std::string &Task : Tasks)
      if (auto Name = TaskName::parse(Task))
        add(Worker, *Name, 0, InheritedArrival_);
  Inherited_.clear();
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

std::map<std::string, std::set<std::string>>
LateStarts::tasksByWorker(std::chrono::milliseconds MinAge) const {
  std::map<std::string, std::set<std::string>> Tasks;
  for (const auto &[Name, Late] : Starts_)
    Tasks[Name.Worker_].insert(Name.Task_.text());
  const TimePoint Now = Pool_.Clock_.now();
  const TimePoint Latest = Now + Pool_.Settings_.MaxOrderDelay_ - MinAge;
  for (const auto &[Lifetime, Session] : Pool_.Sessions_)
    for (const auto &[Name, Run] : Session->runs())
      if (!Run.WasListed_ && Run.LatestArrival_ > Now &&
          Run.LatestArrival_ <= Latest)
        Tasks[Session->entry().Id_].insert(Name.text());
  return Tasks;
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
