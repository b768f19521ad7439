#include "scheduling/internal/jobindex.h"
#include "scheduling/internal/poolstate.h"
#include "scheduling/placement.h"

#include <algorithm>
#include <tuple>

namespace dragonflylock {
namespace {

/// Work, in core-milliseconds, that has the same weight as one millisecond of
/// waiting. Jobs with less work go first, but a large job gains priority over
/// jobs accepted later while it waits.
constexpr std::int64_t WorkPerWaitMs = 8;

std::int64_t urgencyOf(const ActiveJob &Job) {
  return Job.submission().AcceptedAt_.count() +
         Job.remainingWork() / WorkPerWaitMs;
}

/// Multiple of its objective after which a job's end is worth nothing.
constexpr int WorthlessAfter = 3;

/// \returns the latest start time, since 1970, at which the job still ends
/// within \p Multiple times its objective.
std::chrono::milliseconds
latestStartOf(const ActiveJob &Job, const QueuePolicy &Policy, int Multiple) {
  auto Objective =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          Policy.Stretch_ * Job.criticalPathTime(/*OnlyRemaining=*/false)) +
      Policy.TargetLatency_;
  return Job.submission().AcceptedAt_ + Multiple * Objective -
         Job.criticalPathTime(/*OnlyRemaining=*/true);
}

template <typename Time>
void updateEarliest(std::optional<Time> &Known, Time At) {
  if (!Known || At < *Known)
    Known = At;
}

/// \returns whether the job has runs that should be stopped.
bool hasUnwantedRuns(const ActiveJob &Job) {
  bool IsOver = Job.isOver();
  bool Found = false;
  Job.forEachTask([&](const TaskName &Name, const TaskRun &Run) {
    Found = Found || (!Run.Worker_.empty() &&
                      (IsOver || Job.progress().task(Name).IsDone_));
  });
  return Found;
}

const std::string &customerOf(const ActiveJob &Job) {
  return Job.submission().Spec_.Customer_;
}

} // namespace

bool JobRank::operator<(const JobRank &Other) const {
  auto Order = [](const JobRank &Each) {
    return std::tie(Each.IsBatch_, Each.Priority_, Each.Lateness_,
                    Each.Urgency_);
  };
  if (Order(*this) != Order(Other))
    return Order(*this) < Order(Other);
  return Job_ != Other.Job_ && Job_->id() < Other.Job_->id();
}

bool JobIndex::ById::operator()(const ActiveJob *Left,
                                const ActiveJob *Right) const {
  return Left->id() < Right->id();
}

void JobIndex::add(ActiveJob &Job) {
  JobEntry &Entry = Entries_[Job.id()];
  Entry.Job_ = &Job;
  Entry.Wait_.Job_ = &Job;
  Job.setObserver(*this);
  markChanged(Entry);
}

void JobIndex::remove(ActiveJob &Job) {
  auto Found = Entries_.find(Job.id());
  removeFromSets(Found->second);
  if (!customerOf(Job).empty())
    Pool_.Usage_.remove(Job.id());
  Shares_.remove(Found->second.Wait_);
  std::erase(Changed_, &Found->second);
  Entries_.erase(Found);
}

ActiveJob *JobIndex::find(const std::string &Id) {
  auto Found = Entries_.find(Id);
  return Found == Entries_.end() ? nullptr : Found->second.Job_;
}

void JobIndex::onJobChanging(ActiveJob &Job) {
  markChanged(Entries_.at(Job.id()));
}

void JobIndex::markChanged(JobEntry &Entry) {
  if (Entry.IsChanged_)
    return;
  Entry.IsChanged_ = true;
  Changed_.push_back(&Entry);
}

void JobIndex::markAllChanged() {
  for (auto &[Id, Entry] : Entries_)
    markChanged(Entry);
}

void JobIndex::markDueChanged() {
  const TimePoint Now = Pool_.Clock_.now();
  for (auto Due = ByWall_.begin();
       Due != ByWall_.end() && Due->first <= LastWall_; ++Due)
    onJobChanging(*Due->second);
  for (auto Due = ByTime_.begin(); Due != ByTime_.end() && Due->first <= Now;
       ++Due)
    onJobChanging(*Due->second);
}

void JobIndex::refresh() {
  const std::chrono::milliseconds Wall = Pool_.wallTime();
  if (Wall < LastWall_ || LastConfiguration_ != Pool_.Configuration_)
    markAllChanged();
  LastWall_ = Wall;
  LastConfiguration_ = Pool_.Configuration_;
  markDueChanged();
  for (JobEntry *Entry : std::exchange(Changed_, {})) {
    Entry->IsChanged_ = false;
    insertIntoSets(*Entry);
  }
}

void JobIndex::removeFromSets(JobEntry &Entry) {
  ActiveJob *Job = Entry.Job_;
  IndexKeys &Old = Entry.Keys_;
  auto Part = Dirty_.find(Job->submission().Queue_);
  if (Part != Dirty_.end())
    Part->second.erase(Job);
  Removable_.erase(Job);
  if (Old.Rank_.Job_ == nullptr)
    return;
  if (Old.NextWall_)
    ByWall_.erase({*Old.NextWall_, Job});
  if (Old.NextTime_)
    ByTime_.erase({*Old.NextTime_, Job});
  eraseRank(Unconditional_, Old.Rank_);
  eraseRank(Unvisited_, Old.Rank_);
  for (const JobNeed &Need : Old.Needs_) {
    auto Of = ByNeed_.find(Need.Worker_);
    auto Set = Of->second.find({customerOf(*Job), Need.GangSize_});
    Set->second.erase(Old.Rank_);
    if (Set->second.empty())
      Of->second.erase(Set);
    if (Of->second.empty())
      ByNeed_.erase(Of);
  }
  Old = {};
}

void JobIndex::eraseRank(std::map<std::string, Ranks> &From,
                         const JobRank &Rank) {
  auto Of = From.find(customerOf(*Rank.Job_));
  if (Of == From.end())
    return;
  Of->second.erase(Rank);
  if (Of->second.empty())
    From.erase(Of);
}

bool JobIndex::isUnvisited(const JobRank &Rank) const {
  if (Rank.Job_ == nullptr)
    return false;
  auto Of = Unvisited_.find(customerOf(*Rank.Job_));
  return Of != Unvisited_.end() && Of->second.contains(Rank);
}

void JobIndex::updateUsage(const ActiveJob &Job) {
  if (customerOf(Job).empty())
    return;
  Resources Running;
  const std::vector<StepSpec> &Steps = Job.submission().Spec_.Steps_;
  Job.forEachStep([&](std::uint32_t Step, const std::vector<TaskRun> &Runs) {
    const Resources PerTask = requiredResources(Steps[Step]);
    for (const TaskRun &Run : Runs)
      if (!Run.Worker_.empty() || Run.mayRunUnlisted())
        Running += PerTask;
  });
  Pool_.Usage_.set(Job.id(), customerOf(Job), Running);
}

void JobIndex::onStarted(const ActiveJob &Job, const StepSpec &Step) {
  if (!Shares_.isCounted(Job))
    return;
  const Resources Started = requiredResources(Step);
  if (!customerOf(Job).empty())
    Pool_.Usage_.add(Job.id(), customerOf(Job), Started);
  HasLastStarted_ = true;
  if (Shares_.onStarted(Entries_.at(Job.id()).Wait_, Started))
    reorderCursors();
}

void JobIndex::insertIntoSets(JobEntry &Entry) {
  ActiveJob &Job = *Entry.Job_;
  const std::vector<JobNeed> OldNeeds = Entry.Keys_.Needs_;
  const bool WasUnvisited = isUnvisited(Entry.Keys_.Rank_);
  removeFromSets(Entry);
  updateUsage(Job);
  if (Job.isDirty())
    Dirty_[Job.submission().Queue_].insert(&Job);
  else if (isFinal(Job.progress().state()) && Job.runCount() == 0)
    Removable_.insert(&Job);
  if (hasUnwantedRuns(Job))
    Pool_.NeedsStopCheck_ = true;
  if (Job.isOver()) {
    Shares_.remove(Entry.Wait_);
    return;
  }
  Entry.Keys_ = keysOf(Job);
  const IndexKeys &New = Entry.Keys_;
  if (New.Needs_.empty())
    Shares_.remove(Entry.Wait_);
  else if (Shares_.isCounted(Job))
    Shares_.add(Entry.Wait_, New.Waiting_);
  if (New.NextWall_)
    ByWall_.insert({*New.NextWall_, &Job});
  if (New.NextTime_)
    ByTime_.insert({*New.NextTime_, &Job});
  for (const JobNeed &Need : New.Needs_)
    ByNeed_[Need.Worker_][{customerOf(Job), Need.GangSize_}].insert(New.Rank_);
  if (New.IsUnconditional_)
    Unconditional_[customerOf(Job)].insert(New.Rank_);
  else if (!New.Needs_.empty() &&
           (WasUnvisited || !Job.capacityWaitSince() || New.Needs_ != OldNeeds))
    Unvisited_[customerOf(Job)].insert(New.Rank_);
}

JobIndex::IndexKeys JobIndex::keysOf(ActiveJob &Job) const {
  const QueuePolicy &Policy = Pool_.policyOf(Job);
  IndexKeys Found;
  collectNeeds(Job, Found);
  Lateness Late = Lateness::InTime;
  const auto LatestStart = latestStartOf(Job, Policy, 1);
  if (LastWall_ <= LatestStart) {
    updateEarliest(Found.NextWall_, LatestStart + std::chrono::milliseconds(1));
  } else {
    Late = Lateness::Late;
    if (Pool_.Settings_.RefusesUnderPressure_ && !Job.isLongRunning()) {
      const auto LastUse = latestStartOf(Job, Policy, WorthlessAfter);
      if (LastWall_ <= LastUse)
        updateEarliest(Found.NextWall_, LastUse + std::chrono::milliseconds(1));
      else
        Late = Lateness::Worthless;
    }
  }
  Found.Rank_ = {!Job.isLongRunning(), Policy.Priority_, Late, urgencyOf(Job),
                 &Job};
  // The advice service is asked which workers are allowed even if no worker
  // has the free resources.
  if (Policy.NeedsAdvice_ && !Found.Needs_.empty())
    Found.IsUnconditional_ = true;
  return Found;
}

void JobIndex::collectNeeds(const ActiveJob &Job, IndexKeys &Into) const {
  const TimePoint Now = Pool_.Clock_.now();
  Job.forEachReadyStep(
      LastWall_,
      [&](std::uint32_t Step, const std::vector<TaskRun> &Runs) {
        std::int64_t Startable = 0;
        for (const TaskRun &Run : Runs) {
          if (Run.Phase_ != TaskPhase::Waiting || Run.mayRunUnlisted())
            continue;
          if (Run.NotBefore_ > Now)
            updateEarliest(Into.NextTime_, Run.NotBefore_);
          else
            ++Startable;
        }
        if (Startable == 0)
          return;
        const StepSpec &Spec = Job.submission().Spec_.Steps_[Step];
        const Resources PerTask = requiredResources(Spec);
        Into.Waiting_ +=
            {PerTask.CpuMillis_ * Startable, PerTask.MemoryMb_ * Startable,
             PerTask.Gpus_ * Startable};
        // A gang that does not fit may still keep less urgent tasks from
        // starting.
        Into.IsUnconditional_ = Into.IsUnconditional_ || Spec.IsGang_;
        const bool IsLimitedGang = Spec.IsGang_ && !customerOf(Job).empty();
        JobNeed Need{{PerTask, Spec.RequiredLabel_},
                     IsLimitedGang ? Spec.TaskCount_ : 0};
        if (std::find(Into.Needs_.begin(), Into.Needs_.end(), Need) ==
            Into.Needs_.end())
          Into.Needs_.push_back(std::move(Need));
      },
      [&](std::chrono::milliseconds Due) {
        updateEarliest(Into.NextWall_, Due);
      });
}

void JobIndex::pushCursor(ScanCursor Wanted) {
  if (Wanted.Set_->empty())
    return;
  Wanted.Position_ = Wanted.Set_->begin();
  Wanted.IsOverShare_ =
      !Wanted.IsTurn_ && Shares_.isOverShare(*Wanted.Customer_);
  Cursors_.push_back(Wanted);
  std::push_heap(Cursors_.begin(), Cursors_.end(), isLater);
}

void JobIndex::reorderCursors() {
  for (ScanCursor &Each : Cursors_)
    Each.IsOverShare_ = !Each.IsTurn_ && Shares_.isOverShare(*Each.Customer_);
  std::make_heap(Cursors_.begin(), Cursors_.end(), isLater);
}

bool JobIndex::postpone(ActiveJob &Job) {
  if (!HasLastStarted_ || !IsLastWithinShare_ ||
      !Shares_.isOverShare(customerOf(Job)))
    return false;
  Returned_.erase(&Job);
  Postponed_.push_back({Entries_.at(Job.id()).Keys_.Rank_});
  pushCursor({.Set_ = &Postponed_.back(),
              .Position_ = {},
              .Customer_ = &customerOf(Job)});
  return true;
}

void JobIndex::collectTurns() {
  Turns_.clear();
  Shares_.forEachTurn([this](const std::string &Customer, ActiveJob &Job) {
    JobRank Rank = Entries_.at(Job.id()).Keys_.Rank_;
    if (Pool_.Settings_.RefusesUnderPressure_)
      Rank.Lateness_ = Lateness::InTime;
    Turns_[Customer] = {Rank};
  });
  for (auto &[Customer, Of] : Turns_)
    pushCursor({.Set_ = &Of,
                .Position_ = {},
                .Customer_ = &Customer,
                .IsTurn_ = true});
}

void JobIndex::beginScan(CapacityCheck HasCapacity) {
  refresh();
  Shares_.update();
  HasCapacity_ = std::move(HasCapacity);
  Cursors_.clear();
  Refused_.clear();
  Returned_.clear();
  Postponed_.clear();
  LastJob_ = nullptr;
  PendingVisit_.reset();
  collectTurns();
  for (auto &[Customer, Of] : Unconditional_)
    pushCursor({.Set_ = &Of, .Position_ = {}, .Customer_ = &Customer});
  for (auto &[Customer, Of] : Unvisited_)
    pushCursor({.Set_ = &Of,
                .Position_ = {},
                .Customer_ = &Customer,
                .IsUnvisited_ = true});
  for (auto &[Need, Sets] : ByNeed_) {
    if (!HasCapacity_(Need))
      continue;
    for (auto &[Key, Of] : Sets)
      pushCursor({.Set_ = &Of,
                  .Position_ = {},
                  .Customer_ = &Key.first,
                  .Need_ = &Need,
                  .GangSize_ = Key.second});
  }
}

void JobIndex::refuse(const ActiveJob &Job, const WorkerRequirements &Need,
                      std::uint32_t GangSize) {
  Refused_[{customerOf(Job), GangSize}].insert(Need);
  Shares_.onRefused(customerOf(Job));
}

bool JobIndex::isRefused(const ScanCursor &Cursor) const {
  if (Refused_.empty() || Cursor.Customer_->empty())
    return false;
  if (Cursor.Need_ != nullptr) {
    auto Found = Refused_.find({*Cursor.Customer_, Cursor.GangSize_});
    return Found != Refused_.end() && Found->second.contains(*Cursor.Need_);
  }
  // The other sets hold jobs with any requirements. Those that the limit may
  // admit are also in the sets of their requirements.
  auto First = Refused_.lower_bound({*Cursor.Customer_, 0});
  return First != Refused_.end() && First->first.first == *Cursor.Customer_;
}

bool JobIndex::markReturned(ActiveJob *Job) {
  const bool IsNew = (customerOf(*Job).empty() && Turns_.empty())
                         ? Job != LastJob_
                         : Returned_.insert(Job).second;
  LastJob_ = Job;
  return IsNew;
}

ActiveJob *JobIndex::next() {
  auto MarkVisited = [this](const JobRank &Rank) {
    Unvisited_.find(customerOf(*Rank.Job_))->second.erase(Rank);
  };
  if (PendingVisit_)
    MarkVisited(*PendingVisit_);
  PendingVisit_.reset();
  while (!Cursors_.empty()) {
    std::pop_heap(Cursors_.begin(), Cursors_.end(), isLater);
    ScanCursor &First = Cursors_.back();
    if ((First.Need_ != nullptr && !HasCapacity_(*First.Need_)) ||
        isRefused(First)) {
      Cursors_.pop_back();
      continue;
    }
    const JobRank Rank = *First.Position_;
    const bool IsUnvisited = First.IsUnvisited_;
    const bool IsWithinShare = !First.IsOverShare_;
    ++First.Position_;
    if (First.Position_ == First.Set_->end())
      Cursors_.pop_back();
    else
      std::push_heap(Cursors_.begin(), Cursors_.end(), isLater);
    if (!markReturned(Rank.Job_)) {
      if (IsUnvisited)
        MarkVisited(Rank);
      continue;
    }
    if (IsUnvisited)
      PendingVisit_ = Rank;
    IsLastWithinShare_ = IsWithinShare;
    HasLastStarted_ = false;
    ++VisitCount_;
    return Rank.Job_;
  }
  return nullptr;
}

} // namespace dragonflylock
