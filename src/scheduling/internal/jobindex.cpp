#include "scheduling/internal/jobindex.h"
#include "scheduling/internal/poolstate.h"
#include "scheduling/placement.h"

#include <algorithm>
#include <tuple>

namespace dragonflylock {
namespace {

/// Work, in core-milliseconds, that weighs as much as a millisecond of waiting.
/// Less work goes first, but a large job gains on later ones while it waits.
constexpr std::int64_t WorkPerWait = 8;

std::int64_t urgencyOf(const ActiveJob &Job) {
  return Job.stored().AcceptedAt_.count() + Job.remainingWork() / WorkPerWait;
}

/// \returns the last time at which the job, if it started then, would not miss
/// its objective.
std::chrono::milliseconds latestStartOf(const ActiveJob &Job,
                                        const QueueSetting &Queue) {
  auto Objective = std::chrono::duration_cast<std::chrono::milliseconds>(
                       Queue.Stretch_ * Job.longestChain(/*OnlyLeft=*/false)) +
                   Queue.TargetLatency_;
  return Job.stored().AcceptedAt_ + Objective -
         Job.longestChain(/*OnlyLeft=*/true);
}

template <typename Time> void noteEarlier(std::optional<Time> &Known, Time At) {
  if (!Known || At < *Known)
    Known = At;
}

/// \returns whether runs of the job should be stopped.
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
  Node &Each = Nodes_[Job.id()];
  Each.Job_ = &Job;
  Job.observe(*this);
  change(Each);
}

void JobIndex::remove(ActiveJob &Job) {
  auto Found = Nodes_.find(Job.id());
  leave(Found->second);
  std::erase(Changed_, &Found->second);
  Nodes_.erase(Found);
}

ActiveJob *JobIndex::find(const std::string &Id) {
  auto Found = Nodes_.find(Id);
  return Found == Nodes_.end() ? nullptr : Found->second.Job_;
}

void JobIndex::onJobChanging(ActiveJob &Job) { change(Nodes_.at(Job.id())); }

void JobIndex::change(Node &Each) {
  if (Each.IsChanged_)
    return;
  Each.IsChanged_ = true;
  Changed_.push_back(&Each);
}

void JobIndex::changeAll() {
  for (auto &[Id, Each] : Nodes_)
    change(Each);
}

void JobIndex::changeDue() {
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
    changeAll();
  LastWall_ = Wall;
  LastConfiguration_ = Pool_.Configuration_;
  changeDue();
  for (Node *Each : std::exchange(Changed_, {})) {
    Each->IsChanged_ = false;
    enter(*Each);
  }
}

void JobIndex::leave(Node &Each) {
  ActiveJob *Job = Each.Job_;
  Place &Old = Each.Place_;
  auto Part = Dirty_.find(Job->stored().Queue_);
  if (Part != Dirty_.end())
    Part->second.erase(Job);
  Retirable_.erase(Job);
  if (Old.Rank_.Job_ == nullptr)
    return;
  if (Old.NextWall_)
    ByWall_.erase({*Old.NextWall_, Job});
  if (Old.NextTime_)
    ByTime_.erase({*Old.NextTime_, Job});
  Unconditional_.erase(Old.Rank_);
  Fresh_.erase(Old.Rank_);
  for (const WorkerRequirements &Need : Old.Needs_) {
    auto Of = ByNeed_.find(Need);
    Of->second.erase(Old.Rank_);
    if (Of->second.empty())
      ByNeed_.erase(Of);
  }
  Old = {};
}

void JobIndex::enter(Node &Each) {
  ActiveJob &Job = *Each.Job_;
  const std::vector<WorkerRequirements> OldNeeds = Each.Place_.Needs_;
  const bool WasFresh =
      Each.Place_.Rank_.Job_ != nullptr && Fresh_.contains(Each.Place_.Rank_);
  leave(Each);
  if (Job.isDirty())
    Dirty_[Job.stored().Queue_].insert(&Job);
  else if (isFinal(Job.progress().state()) && Job.runCount() == 0)
    Retirable_.insert(&Job);
  if (hasUnwantedRuns(Job))
    Pool_.NeedsStopCheck_ = true;
  if (Job.isOver())
    return;
  Each.Place_ = placeOf(Job);
  const Place &New = Each.Place_;
  if (New.NextWall_)
    ByWall_.insert({*New.NextWall_, &Job});
  if (New.NextTime_)
    ByTime_.insert({*New.NextTime_, &Job});
  for (const WorkerRequirements &Need : New.Needs_)
    ByNeed_[Need].insert(New.Rank_);
  if (New.IsUnconditional_)
    Unconditional_.insert(New.Rank_);
  else if (!New.Needs_.empty() &&
           (WasFresh || !Job.waitsSince() || New.Needs_ != OldNeeds))
    Fresh_.insert(New.Rank_);
}

JobIndex::Place JobIndex::placeOf(ActiveJob &Job) const {
  const QueueSetting &Queue = Pool_.queueOf(Job);
  Place Found;
  collectNeeds(Job, Found);
  std::chrono::milliseconds LatestStart = latestStartOf(Job, Queue);
  Found.Rank_ = {!Job.isLongRunning(), Queue.Priority_, LastWall_ > LatestStart,
                 urgencyOf(Job), &Job};
  if (!Found.Rank_.IsLate_)
    noteEarlier(Found.NextWall_, LatestStart + std::chrono::milliseconds(1));
  // Whom the advice service allows is asked although no room is left.
  if (Queue.NeedsAdvice_ && !Found.Needs_.empty())
    Found.IsUnconditional_ = true;
  return Found;
}

void JobIndex::collectNeeds(const ActiveJob &Job, Place &Into) const {
  const TimePoint Now = Pool_.Clock_.now();
  Job.forEachOpenStep(
      LastWall_,
      [&](std::uint32_t Step, const std::vector<TaskRun> &Runs) {
        bool HasStartable = false;
        for (const TaskRun &Run : Runs) {
          if (Run.Phase_ != TaskPhase::Waiting || Run.MayRunElsewhere_)
            continue;
          if (Run.NotBefore_ > Now)
            noteEarlier(Into.NextTime_, Run.NotBefore_);
          else
            HasStartable = true;
        }
        if (!HasStartable)
          return;
        const StepSpec &Spec = Job.stored().Spec_.Steps_[Step];
        // A gang may keep less urgent tasks from starting.
        Into.IsUnconditional_ = Into.IsUnconditional_ || Spec.IsGang_;
        WorkerRequirements Need{requiredResources(Spec), Spec.RequiredLabel_};
        if (std::find(Into.Needs_.begin(), Into.Needs_.end(), Need) ==
            Into.Needs_.end())
          Into.Needs_.push_back(std::move(Need));
      },
      [&](std::chrono::milliseconds Due) { noteEarlier(Into.NextWall_, Due); });
}

void JobIndex::pushHead(Ranks &Of, const WorkerRequirements *Need) {
  if (Of.empty() || (Need != nullptr && !HasRoom_(*Need)))
    return;
  Heads_.push_back({&Of, Of.begin(), Need});
  std::push_heap(Heads_.begin(), Heads_.end(), isLater);
}

void JobIndex::beginWalk(RoomCheck HasRoom) {
  refresh();
  HasRoom_ = std::move(HasRoom);
  Heads_.clear();
  Last_ = nullptr;
  Looked_.reset();
  pushHead(Unconditional_, nullptr);
  pushHead(Fresh_, nullptr);
  for (auto &[Need, Of] : ByNeed_)
    pushHead(Of, &Need);
}

ActiveJob *JobIndex::next() {
  if (Looked_)
    Fresh_.erase(*Looked_);
  Looked_.reset();
  while (!Heads_.empty()) {
    std::pop_heap(Heads_.begin(), Heads_.end(), isLater);
    Head &First = Heads_.back();
    if (First.Need_ != nullptr && !HasRoom_(*First.Need_)) {
      Heads_.pop_back();
      continue;
    }
    const JobRank Rank = *First.At_;
    const bool IsFresh = First.Of_ == &Fresh_;
    ++First.At_;
    if (First.At_ == First.Of_->end())
      Heads_.pop_back();
    else
      std::push_heap(Heads_.begin(), Heads_.end(), isLater);
    // A job is in several sets.
    if (Rank.Job_ == Last_) {
      if (IsFresh)
        Fresh_.erase(Rank);
      continue;
    }
    if (IsFresh)
      Looked_ = Rank;
    Last_ = Rank.Job_;
    ++Visits_;
    return Rank.Job_;
  }
  return nullptr;
}

} // namespace dragonflylock
