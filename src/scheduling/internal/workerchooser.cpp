#include "scheduling/internal/workerchooser.h"
#include "scheduling/internal/advicecache.h"
#include "scheduling/internal/poolstate.h"
#include "scheduling/internal/workerrequirements.h"

#include <algorithm>
#include <set>

namespace dragonflylock {

bool WorkerChooser::isUsable(const WorkerSession &Session,
                             const PoolState &Pool) {
  return Session.IsFenced_ &&
         Session.ConfirmedToken_ >= Session.RequiredToken_ &&
         !Session.isAcknowledgementUnsettled() &&
         !Session.AwaitsListsOfStarts_ && !Session.HasSuccessor_ &&
         Session.IsInRoster_ && Session.IsListed_ &&
         !Session.isBeingDrained() && !Session.hasRunOnTrial() &&
         !Session.IsDeclaredSilent_ && Session.hasClock() &&
         Session.HoldFailures_ == 0 &&
         Session.entry().State_ == WorkerState::Ready &&
         Session.NoStartsBefore_ <= Pool.Clock_.now() &&
         Session.SetAsideUntil_ <= Pool.Clock_.now();
}

void WorkerChooser::updateCandidate(const WorkerSession &Session,
                                    PlacementCandidate &Candidate) {
  Candidate.Rack_ = Session.entry().Rack_;
  Candidate.Labels_ = Session.entry().Labels_;
  Candidate.Free_ = Session.freeResources();
  Candidate.Fillers_ = Session.fillers();
  Candidate.Serving_ = Session.serving();
}

void WorkerChooser::beginRound() {
  // The candidates are reused from round to round to keep the memory of their
  // strings.
  std::vector<PlacementCandidate> &Candidates = Round_.Candidates_;
  Round_.Sessions_.clear();
  for (auto &[Lifetime, Session] : Pool_.Sessions_) {
    if (!isUsable(*Session, Pool_))
      continue;
    if (Candidates.size() == Round_.Sessions_.size())
      Candidates.emplace_back();
    updateCandidate(*Session, Candidates[Round_.Sessions_.size()]);
    Round_.Sessions_.push_back(Session.get());
  }
  Candidates.resize(Round_.Sessions_.size());
  updateMaxFree();
}

void WorkerChooser::updateMaxFree() {
  MaxFree_ = {};
  for (const PlacementCandidate &Each : Round_.Candidates_) {
    MaxFree_.CpuMillis_ = std::max(MaxFree_.CpuMillis_, Each.Free_.CpuMillis_);
    MaxFree_.MemoryMb_ = std::max(MaxFree_.MemoryMb_, Each.Free_.MemoryMb_);
    MaxFree_.Gpus_ = std::max(MaxFree_.Gpus_, Each.Free_.Gpus_);
  }
}

bool WorkerChooser::hasResourcesFor(const WorkerRequirements &Need) const {
  auto Offers = [&](const PlacementCandidate &Each) {
    return Each.Free_.canFit(Need.PerTask_) &&
           (Need.Label_.empty() ||
            std::find(Each.Labels_.begin(), Each.Labels_.end(), Need.Label_) !=
                Each.Labels_.end());
  };
  return MaxFree_.canFit(Need.PerTask_) &&
         std::any_of(Round_.Candidates_.begin(), Round_.Candidates_.end(),
                     Offers);
}

void WorkerChooser::onStarted(const WorkerSession &Session,
                              const StepSpec &Step) {
  auto Found =
      std::find(Round_.Sessions_.begin(), Round_.Sessions_.end(), &Session);
  if (Found == Round_.Sessions_.end())
    return;
  auto Index = static_cast<std::size_t>(Found - Round_.Sessions_.begin());
  PlacementCandidate &Used = Round_.Candidates_[Index];
  Used.Free_ -= requiredResources(Step);
  if (Session.hasRunOnTrial())
    Used.Free_ = Resources();
  Used.Fillers_ += Step.IsFiller_ ? 1 : 0;
  Used.Serving_ += Step.LatencyTarget_.count() > 0 ? 1 : 0;
  updateMaxFree();
}

void WorkerChooser::evaluateFor(const ActiveJob &Job, const TaskName &Name,
                                bool CountsRunningTasks) {
  const StepSpec &Step = Job.step(Name);
  const Resources Room = requiredResources(Step);
  const std::string &FailedOn = Job.run(Name).LastFailedWorker_;
  const bool IsSuspected = !Job.progress().task(Name).CrashedRuns_.empty();
  bool CountsStep = Step.MaxPerWorker_ > 0 || Step.PrefersSameRack_ ||
                    Step.DisruptionBudget_.has_value();
  std::set<std::string> RacksOfStep;
  for (std::size_t Index = 0; Index < Round_.Sessions_.size(); ++Index) {
    const WorkerSession &Session = *Round_.Sessions_[Index];
    PlacementCandidate &Candidate = Round_.Candidates_[Index];
    Candidate.IsExcluded_ =
        (!CountsRunningTasks && !Candidate.Free_.canFit(Room)) ||
        Session.runs().contains(Name);
    Candidate.HasFailedTask_ =
        !FailedOn.empty() && Session.entry().lifetime() == FailedOn;
    Candidate.RunsAtRisk_ =
        IsSuspected ? static_cast<std::uint32_t>(Session.runs().size()) : 0;
    Candidate.SameStepTasks_ = CountsStep ? Session.countTasksOfStep(Name) : 0;
    if (Candidate.SameStepTasks_ > 0)
      RacksOfStep.insert(Candidate.Rack_);
  }
  for (PlacementCandidate &Candidate : Round_.Candidates_)
    Candidate.IsOnRackOfStep_ =
        Step.PrefersSameRack_ && RacksOfStep.contains(Candidate.Rack_);
}

void WorkerChooser::filterByAdvice(CandidateSet &Set, const StepSpec &Step,
                                   const TaskName &Name) const {
  CandidateSet Allowed;
  std::vector<WorkerSession *> WithoutRoom;
  for (std::size_t Index = 0; Index < Set.Sessions_.size(); ++Index) {
    WorkerSession *Session = Set.Sessions_[Index];
    if (Advice_.isForbidden(Name, *Session))
      continue;
    if (Advice_.ticketFor(Name, *Session).empty()) {
      bool HasRoom =
          Set.Candidates_[Index].Free_.canFit(requiredResources(Step));
      (HasRoom ? Allowed.WithoutAdvice_ : WithoutRoom).push_back(Session);
      continue;
    }
    Allowed.Candidates_.push_back(Set.Candidates_[Index]);
    Allowed.Sessions_.push_back(Session);
  }
  Allowed.WithoutAdvice_.insert(Allowed.WithoutAdvice_.end(),
                                WithoutRoom.begin(), WithoutRoom.end());
  Set = std::move(Allowed);
}

bool WorkerChooser::hasWorkerOnRack(const std::string &Rack) const {
  return std::any_of(
      Round_.Candidates_.begin(), Round_.Candidates_.end(),
      [&](const PlacementCandidate &Each) { return Each.Rack_ == Rack; });
}

void WorkerChooser::filterByRack(CandidateSet &Set, const std::string &Rack) {
  CandidateSet OnRack;
  for (std::size_t Index = 0; Index < Set.Sessions_.size(); ++Index) {
    if (Set.Candidates_[Index].Rack_ != Rack)
      continue;
    OnRack.Candidates_.push_back(Set.Candidates_[Index]);
    OnRack.Sessions_.push_back(Set.Sessions_[Index]);
  }
  Set = std::move(OnRack);
}

WorkerSession *WorkerChooser::choose(const ActiveJob &Job, const TaskName &Name,
                                     bool OnlyOnDataRack) {
  if (!MaxFree_.canFit(requiredResources(Job.step(Name))))
    return nullptr;
  evaluateFor(Job, Name);
  bool NeedsAdvice = Advice_.isNeededFor(Job);
  if (!OnlyOnDataRack && !NeedsAdvice) {
    auto Chosen = choosePlacement(Job.step(Name), Round_.Candidates_);
    return Chosen ? Round_.Sessions_[*Chosen] : nullptr;
  }
  CandidateSet Set = Round_;
  if (OnlyOnDataRack)
    filterByRack(Set, Job.step(Name).DataRack_);
  if (NeedsAdvice)
    filterByAdvice(Set, Job.step(Name), Name);
  auto Chosen = choosePlacement(Job.step(Name), Set.Candidates_);
  if (Chosen)
    return Set.Sessions_[*Chosen];
  Advice_.requestAdvice(Name, Set.WithoutAdvice_);
  return nullptr;
}

std::vector<WorkerSession *> WorkerChooser::placeAll(const StepSpec &Step,
                                                     CandidateSet Set,
                                                     std::size_t Tasks) const {
  std::vector<WorkerSession *> Chosen;
  for (std::size_t Task = 0; Task < Tasks; ++Task) {
    auto Index = choosePlacement(Step, Set.Candidates_);
    if (!Index)
      return {};
    Chosen.push_back(Set.Sessions_[*Index]);
    PlacementCandidate &Used = Set.Candidates_[*Index];
    Used.Free_ -= requiredResources(Step);
    ++Used.SameStepTasks_;
  }
  return Chosen;
}

std::vector<WorkerSession *>
WorkerChooser::placeOnOneRack(const StepSpec &Step, const CandidateSet &Set,
                              std::size_t Tasks) const {
  std::set<std::string> Racks;
  for (const PlacementCandidate &Candidate : Set.Candidates_)
    Racks.insert(Candidate.Rack_);
  for (const std::string &Rack : Racks) {
    CandidateSet OnRack = Set;
    filterByRack(OnRack, Rack);
    auto Chosen = placeAll(Step, std::move(OnRack), Tasks);
    if (!Chosen.empty())
      return Chosen;
  }
  return {};
}

std::vector<WorkerSession *>
WorkerChooser::chooseAll(const ActiveJob &Job,
                         const std::vector<TaskName> &Names, bool OnOneRack) {
  evaluateFor(Job, Names.front());
  const StepSpec &Step = Job.step(Names.front());
  CandidateSet Set = Round_;
  if (Advice_.isNeededFor(Job))
    filterByAdvice(Set, Step, Names.front());
  auto Chosen = OnOneRack ? placeOnOneRack(Step, Set, Names.size())
                          : placeAll(Step, Set, Names.size());
  if (Chosen.empty())
    Advice_.requestAdvice(Names.front(), Set.WithoutAdvice_);
  return Chosen;
}

bool WorkerChooser::couldFitLater(const ActiveJob &Job,
                                  const std::vector<TaskName> &Names,
                                  bool OnOneRack) {
  evaluateFor(Job, Names.front(), /*CountsRunningTasks=*/true);
  CandidateSet Set = Round_;
  if (Advice_.isNeededFor(Job))
    for (std::size_t Index = 0; Index < Set.Sessions_.size(); ++Index)
      if (Advice_.isForbidden(Names.front(), *Set.Sessions_[Index]))
        Set.Candidates_[Index].IsExcluded_ = true;
  for (std::size_t Index = 0; Index < Set.Sessions_.size(); ++Index)
    for (const auto &[Name, Run] : Set.Sessions_[Index]->runs()) {
      const ActiveJob *Other = Pool_.job(Name.Job_);
      bool IsLongRunning = Other != nullptr && Other->step(Name).IsLongRunning_;
      if (!IsLongRunning)
        Set.Candidates_[Index].Free_ += Run.reservedResources();
    }
  const StepSpec &Step = Job.step(Names.front());
  auto Chosen = OnOneRack ? placeOnOneRack(Step, Set, Names.size())
                          : placeAll(Step, std::move(Set), Names.size());
  return !Chosen.empty();
}

} // namespace dragonflylock
