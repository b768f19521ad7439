#include "scheduling/internal/workerchooser.h"
#include "scheduling/internal/advicekeeper.h"
#include "scheduling/internal/poolstate.h"
#include "scheduling/internal/roomneed.h"

#include <algorithm>
#include <set>

namespace dragonflylock {

bool WorkerChooser::isUsable(const WorkerSession &Session) const {
  return Session.IsFenced_ && Session.IsInRoster_ && Session.IsListed_ &&
         !Session.isBeingEmptied() && !Session.IsDeclaredSilent_ &&
         Session.knowsClock() && Session.HoldFailures_ == 0 &&
         Session.entry().State_ == WorkerState::Ready &&
         Session.AvoidUntil_ <= Pool_.Clock_.now();
}

void WorkerChooser::describe(const WorkerSession &Session,
                             PlacementCandidate &Candidate) {
  Candidate.Rack_ = Session.entry().Rack_;
  Candidate.Labels_ = Session.entry().Labels_;
  Candidate.Free_ = Session.freeRoom();
  Candidate.Fillers_ = Session.fillers();
  Candidate.Serving_ = Session.serving();
}

void WorkerChooser::beginRound() {
  // Kept from round to round for the memory that their texts have.
  std::vector<PlacementCandidate> &Candidates = Round_.Candidates_;
  Round_.Sessions_.clear();
  for (auto &[Lifetime, Session] : Pool_.Sessions_) {
    if (!isUsable(*Session))
      continue;
    if (Candidates.size() == Round_.Sessions_.size())
      Candidates.emplace_back();
    describe(*Session, Candidates[Round_.Sessions_.size()]);
    Round_.Sessions_.push_back(Session.get());
  }
  Candidates.resize(Round_.Sessions_.size());
  noteLargest();
}

void WorkerChooser::noteLargest() {
  Largest_ = {};
  for (const PlacementCandidate &Each : Round_.Candidates_) {
    Largest_.CpuMillis_ = std::max(Largest_.CpuMillis_, Each.Free_.CpuMillis_);
    Largest_.MemoryMb_ = std::max(Largest_.MemoryMb_, Each.Free_.MemoryMb_);
    Largest_.Gpus_ = std::max(Largest_.Gpus_, Each.Free_.Gpus_);
  }
}

bool WorkerChooser::hasRoomFor(const RoomNeed &Need) const {
  auto Offers = [&](const PlacementCandidate &Each) {
    return Each.Free_.canFit(Need.Room_) &&
           (Need.Label_.empty() ||
            std::find(Each.Labels_.begin(), Each.Labels_.end(), Need.Label_) !=
                Each.Labels_.end());
  };
  return Largest_.canFit(Need.Room_) &&
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
  Used.Free_ -= roomOf(Step);
  Used.Fillers_ += Step.IsFiller_ ? 1 : 0;
  Used.Serving_ += Step.LatencyTarget_.count() > 0 ? 1 : 0;
  noteLargest();
}

void WorkerChooser::fitTo(const ActiveJob &Job, const TaskName &Name,
                          bool MayEnd) {
  const StepSpec &Step = Job.step(Name);
  const Resources Room = roomOf(Step);
  const std::string &FailedOn = Job.run(Name).LastFailedWorker_;
  bool CountsStep = Step.MaxPerWorker_ > 0 || Step.PrefersSameRack_ ||
                    Step.DisruptionBudget_.has_value();
  std::set<std::string> RacksOfStep;
  for (std::size_t Index = 0; Index < Round_.Sessions_.size(); ++Index) {
    const WorkerSession &Session = *Round_.Sessions_[Index];
    PlacementCandidate &Candidate = Round_.Candidates_[Index];
    Candidate.IsBarred_ = (!MayEnd && !Candidate.Free_.canFit(Room)) ||
                          Session.runs().contains(Name);
    Candidate.HasFailedTask_ =
        !FailedOn.empty() && Session.entry().lifetime() == FailedOn;
    Candidate.SameStep_ = CountsStep ? Session.countOf(Name) : 0;
    if (Candidate.SameStep_ > 0)
      RacksOfStep.insert(Candidate.Rack_);
  }
  for (PlacementCandidate &Candidate : Round_.Candidates_)
    Candidate.IsRackOfStep_ =
        Step.PrefersSameRack_ && RacksOfStep.contains(Candidate.Rack_);
}

void WorkerChooser::keepAllowed(Choice &Among, const StepSpec &Step,
                                const TaskName &Name) const {
  Choice Allowed;
  std::vector<WorkerSession *> Full;
  for (std::size_t Index = 0; Index < Among.Sessions_.size(); ++Index) {
    WorkerSession *Session = Among.Sessions_[Index];
    if (Advice_.isForbidden(Name, *Session))
      continue;
    if (Advice_.ticketFor(Name, *Session).empty()) {
      bool HasRoom = Among.Candidates_[Index].Free_.canFit(roomOf(Step));
      (HasRoom ? Allowed.Unasked_ : Full).push_back(Session);
      continue;
    }
    Allowed.Candidates_.push_back(Among.Candidates_[Index]);
    Allowed.Sessions_.push_back(Session);
  }
  Allowed.Unasked_.insert(Allowed.Unasked_.end(), Full.begin(), Full.end());
  Among = std::move(Allowed);
}

bool WorkerChooser::hasWorkerOn(const std::string &Rack) const {
  return std::any_of(
      Round_.Candidates_.begin(), Round_.Candidates_.end(),
      [&](const PlacementCandidate &Each) { return Each.Rack_ == Rack; });
}

void WorkerChooser::keepRack(Choice &Among, const std::string &Rack) {
  Choice OfRack;
  for (std::size_t Index = 0; Index < Among.Sessions_.size(); ++Index) {
    if (Among.Candidates_[Index].Rack_ != Rack)
      continue;
    OfRack.Candidates_.push_back(Among.Candidates_[Index]);
    OfRack.Sessions_.push_back(Among.Sessions_[Index]);
  }
  Among = std::move(OfRack);
}

WorkerSession *WorkerChooser::choose(const ActiveJob &Job, const TaskName &Name,
                                     bool OnlyOnDataRack) {
  if (!Largest_.canFit(roomOf(Job.step(Name))))
    return nullptr;
  fitTo(Job, Name);
  bool NeedsAdvice = Advice_.isNeededFor(Job);
  if (!OnlyOnDataRack && !NeedsAdvice) {
    auto Chosen = choosePlacement(Job.step(Name), Round_.Candidates_);
    return Chosen ? Round_.Sessions_[*Chosen] : nullptr;
  }
  Choice Among = Round_;
  if (OnlyOnDataRack)
    keepRack(Among, Job.step(Name).DataRack_);
  if (NeedsAdvice)
    keepAllowed(Among, Job.step(Name), Name);
  auto Chosen = choosePlacement(Job.step(Name), Among.Candidates_);
  if (Chosen)
    return Among.Sessions_[*Chosen];
  Advice_.ask(Name, Among.Unasked_);
  return nullptr;
}

std::vector<WorkerSession *> WorkerChooser::placeAll(const StepSpec &Step,
                                                     Choice Among,
                                                     std::size_t Tasks) const {
  std::vector<WorkerSession *> Chosen;
  for (std::size_t Task = 0; Task < Tasks; ++Task) {
    auto Index = choosePlacement(Step, Among.Candidates_);
    if (!Index)
      return {};
    Chosen.push_back(Among.Sessions_[*Index]);
    PlacementCandidate &Used = Among.Candidates_[*Index];
    Used.Free_ -= roomOf(Step);
    ++Used.SameStep_;
  }
  return Chosen;
}

std::vector<WorkerSession *>
WorkerChooser::placeOnOneRack(const StepSpec &Step, const Choice &Among,
                              std::size_t Tasks) const {
  std::set<std::string> Racks;
  for (const PlacementCandidate &Candidate : Among.Candidates_)
    Racks.insert(Candidate.Rack_);
  for (const std::string &Rack : Racks) {
    Choice OfRack = Among;
    keepRack(OfRack, Rack);
    auto Chosen = placeAll(Step, std::move(OfRack), Tasks);
    if (!Chosen.empty())
      return Chosen;
  }
  return {};
}

std::vector<WorkerSession *>
WorkerChooser::chooseAll(const ActiveJob &Job,
                         const std::vector<TaskName> &Names, bool OnOneRack) {
  fitTo(Job, Names.front());
  const StepSpec &Step = Job.step(Names.front());
  Choice Among = Round_;
  if (Advice_.isNeededFor(Job))
    keepAllowed(Among, Step, Names.front());
  auto Chosen = OnOneRack ? placeOnOneRack(Step, Among, Names.size())
                          : placeAll(Step, Among, Names.size());
  if (Chosen.empty())
    Advice_.ask(Names.front(), Among.Unasked_);
  return Chosen;
}

bool WorkerChooser::mayFitLater(const ActiveJob &Job,
                                const std::vector<TaskName> &Names,
                                bool OnOneRack) {
  fitTo(Job, Names.front(), /*MayEnd=*/true);
  Choice Among = Round_;
  if (Advice_.isNeededFor(Job))
    for (std::size_t Index = 0; Index < Among.Sessions_.size(); ++Index)
      Among.Candidates_[Index].IsBarred_ =
          Advice_.isForbidden(Names.front(), *Among.Sessions_[Index]);
  for (std::size_t Index = 0; Index < Among.Sessions_.size(); ++Index)
    for (const auto &[Name, Run] : Among.Sessions_[Index]->runs()) {
      const ActiveJob *Other = Pool_.job(Name.Job_);
      bool IsLasting = Other != nullptr && Other->step(Name).IsLongRunning_;
      if (!IsLasting)
        Among.Candidates_[Index].Free_ += Run.Resources_;
    }
  const StepSpec &Step = Job.step(Names.front());
  auto Chosen = OnOneRack ? placeOnOneRack(Step, Among, Names.size())
                          : placeAll(Step, std::move(Among), Names.size());
  return !Chosen.empty();
}

} // namespace dragonflylock
