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

/// \returns the latest start time at which the job still meets its objective,
/// since 1970.
std::chrono::milliseconds latestStartOf(const ActiveJob &Job,
                                        const QueuePolicy &Policy) {
  auto Objective =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          Policy.Stretch_ * Job.criticalPathTime(/*OnlyRemaining=*/false)) +
      Policy.TargetLatency_;
  return Job.submission().AcceptedAt_ + Objective -
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

} // namespace

bool JobRank::operator<(const JobRank &Other) const {
  auto Order = [](const JobRank &Each) {
    return std::tie(Each.IsBatch_, Each.Priority_, Each.IsLate_, Each.Urgency_);
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
  Job.setObserver(*this);
  markChanged(Entry);
}

void JobIndex::remove(ActiveJob &Job) {
  auto Found = Entries_.find(Job.id());
  removeFromSets(Found->second);
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
  Unconditional_.erase(Old.Rank_);
  Unvisited_.erase(Old.Rank_);
  for (const WorkerRequirements &Need : Old.Needs_) {
    auto Of = ByNeed_.find(Need);
    Of->second.erase(Old.Rank_);
    if (Of->second.empty())
      ByNeed_.erase(Of);
  }
  Old = {};
}

void JobIndex::insertIntoSets(JobEntry &Entry) {
  ActiveJob &Job = *Entry.Job_;
  const std::vector<WorkerRequirements> OldNeeds = Entry.Keys_.Needs_;
  const bool WasUnvisited = Entry.Keys_.Rank_.Job_ != nullptr &&
                            Unvisited_.contains(Entry.Keys_.Rank_);
  removeFromSets(Entry);
  if (Job.isDirty())
    Dirty_[Job.submission().Queue_].insert(&Job);
  else if (isFinal(Job.progress().state()) && Job.runCount() == 0)
    Removable_.insert(&Job);
  if (hasUnwantedRuns(Job))
    Pool_.NeedsStopCheck_ = true;
  if (Job.isOver())
    return;
  Entry.Keys_ = keysOf(Job);
  const IndexKeys &New = Entry.Keys_;
  if (New.NextWall_)
    ByWall_.insert({*New.NextWall_, &Job});
  if (New.NextTime_)
    ByTime_.insert({*New.NextTime_, &Job});
  for (const WorkerRequirements &Need : New.Needs_)
    ByNeed_[Need].insert(New.Rank_);
  if (New.IsUnconditional_)
    Unconditional_.insert(New.Rank_);
  else if (!New.Needs_.empty() &&
           (WasUnvisited || !Job.capacityWaitSince() || New.Needs_ != OldNeeds))
    Unvisited_.insert(New.Rank_);
}

JobIndex::IndexKeys JobIndex::keysOf(ActiveJob &Job) const {
  const QueuePolicy &Policy = Pool_.policyOf(Job);
  IndexKeys Found;
  collectNeeds(Job, Found);
  std::chrono::milliseconds LatestStart = latestStartOf(Job, Policy);
  Found.Rank_ = {!Job.isLongRunning(), Policy.Priority_,
                 LastWall_ > LatestStart, urgencyOf(Job), &Job};
  if (!Found.Rank_.IsLate_)
    updateEarliest(Found.NextWall_, LatestStart + std::chrono::milliseconds(1));
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
        bool HasStartable = false;
        for (const TaskRun &Run : Runs) {
          if (Run.Phase_ != TaskPhase::Waiting || Run.MayHaveInheritedRun_)
            continue;
          if (Run.NotBefore_ > Now)
            updateEarliest(Into.NextTime_, Run.NotBefore_);
          else
            HasStartable = true;
        }
        if (!HasStartable)
          return;
        const StepSpec &Spec = Job.submission().Spec_.Steps_[Step];
        // A gang that does not fit may still keep less urgent tasks from
        // starting.
        Into.IsUnconditional_ = Into.IsUnconditional_ || Spec.IsGang_;
        WorkerRequirements Need{requiredResources(Spec), Spec.RequiredLabel_};
        if (std::find(Into.Needs_.begin(), Into.Needs_.end(), Need) ==
            Into.Needs_.end())
          Into.Needs_.push_back(std::move(Need));
      },
      [&](std::chrono::milliseconds Due) {
        updateEarliest(Into.NextWall_, Due);
      });
}

void JobIndex::pushCursor(Ranks &Of, const WorkerRequirements *Need) {
  if (Of.empty() || (Need != nullptr && !HasCapacity_(*Need)))
    return;
  Cursors_.push_back({&Of, Of.begin(), Need});
  std::push_heap(Cursors_.begin(), Cursors_.end(), isLater);
}

void JobIndex::beginScan(CapacityCheck HasCapacity) {
  refresh();
  HasCapacity_ = std::move(HasCapacity);
  Cursors_.clear();
  LastJob_ = nullptr;
  PendingVisit_.reset();
  pushCursor(Unconditional_, nullptr);
  pushCursor(Unvisited_, nullptr);
  for (auto &[Need, Of] : ByNeed_)
    pushCursor(Of, &Need);
}

ActiveJob *JobIndex::next() {
  if (PendingVisit_)
    Unvisited_.erase(*PendingVisit_);
  PendingVisit_.reset();
  while (!Cursors_.empty()) {
    std::pop_heap(Cursors_.begin(), Cursors_.end(), isLater);
    ScanCursor &First = Cursors_.back();
    if (First.Need_ != nullptr && !HasCapacity_(*First.Need_)) {
      Cursors_.pop_back();
      continue;
    }
    const JobRank Rank = *First.Position_;
    const bool IsUnvisited = First.Set_ == &Unvisited_;
    ++First.Position_;
    if (First.Position_ == First.Set_->end())
      Cursors_.pop_back();
    else
      std::push_heap(Cursors_.begin(), Cursors_.end(), isLater);
    // A job may be in several sets; the scan returns it once.
    if (Rank.Job_ == LastJob_) {
      if (IsUnvisited)
        Unvisited_.erase(Rank);
      continue;
    }
    if (IsUnvisited)
      PendingVisit_ = Rank;
    LastJob_ = Rank.Job_;
    ++VisitCount_;
    return Rank.Job_;
  }
  return nullptr;
}

} // namespace dragonflylock
