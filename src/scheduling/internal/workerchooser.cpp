#include "scheduling/internal/workerchooser.h"
#include "scheduling/internal/advicekeeper.h"
#include "scheduling/internal/poolstate.h"

#include <algorithm>
#include <set>

namespace dragonflylock {

bool WorkerChooser::isUsable(const WorkerSession &Session) const {
  return Session.IsFenced_ && Session.IsInRoster_ && Session.IsListed_ &&
         !Session.IsReserved_ && !Session.IsDeclaredSilent_ &&
         Session.knowsClock() && Session.HoldFailures_ == 0 &&
         Session.entry().State_ == WorkerState::Ready &&
         Session.AvoidUntil_ <= Pool_.Clock_.now();
}

PlacementCandidate
WorkerChooser::candidateOf(const ActiveJob &Job, const TaskName &Name,
                           const WorkerSession &Session) const {
  PlacementCandidate Candidate;
  Candidate.Rack_ = Session.entry().Rack_;
  Candidate.Labels_ = Session.entry().Labels_;
  Candidate.Free_ = Session.freeRoom();
  Candidate.SameStep_ = Session.countOf(Name);
  Candidate.HasFailedTask_ =
      Session.entry().lifetime() == Job.run(Name).FailedOn_;
  for (const auto &[Other, Run] : Session.runs()) {
    Candidate.Fillers_ += Run.IsFiller_ ? 1 : 0;
    Candidate.Serving_ += Run.LatencyTarget_.count() > 0 ? 1 : 0;
  }
  return Candidate;
}

WorkerChooser::Choice WorkerChooser::gather(const ActiveJob &Job,
                                            const TaskName &Name) {
  Choice Among;
  std::set<std::string> RacksOfStep;
  for (auto &[Lifetime, Session] : Pool_.Sessions_) {
    if (Session->countOf(Name) > 0)
      RacksOfStep.insert(Session->entry().Rack_);
    if (!isUsable(*Session) || Session->runs().contains(Name))
      continue;
    Among.Candidates_.push_back(candidateOf(Job, Name, *Session));
    Among.Sessions_.push_back(Session.get());
  }
  for (PlacementCandidate &Candidate : Among.Candidates_)
    Candidate.IsRackOfStep_ = RacksOfStep.contains(Candidate.Rack_);
  return Among;
}

void WorkerChooser::keepAllowed(Choice &Among, const TaskName &Name) const {
  Choice Allowed;
  for (std::size_t Index = 0; Index < Among.Sessions_.size(); ++Index) {
    WorkerSession *Session = Among.Sessions_[Index];
    if (Advice_.isForbidden(Name, *Session))
      continue;
    if (Advice_.ticketFor(Name, *Session).empty()) {
      Allowed.Unasked_.push_back(Session);
      continue;
    }
    Allowed.Candidates_.push_back(Among.Candidates_[Index]);
    Allowed.Sessions_.push_back(Session);
  }
  Among = std::move(Allowed);
}

bool WorkerChooser::hasWorkerOn(const std::string &Rack) const {
  return std::any_of(
      Pool_.Sessions_.begin(), Pool_.Sessions_.end(), [&](const auto &Each) {
        return Each.second->entry().Rack_ == Rack && isUsable(*Each.second);
      });
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
  Choice Among = gather(Job, Name);
  if (OnlyOnDataRack)
    keepRack(Among, Job.step(Name).DataRack_);
  if (Advice_.isNeededFor(Job))
    keepAllowed(Among, Name);
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
  Choice Among = gather(Job, Names.front());
  if (Advice_.isNeededFor(Job))
    keepAllowed(Among, Names.front());
  const StepSpec &Step = Job.step(Names.front());
  auto Chosen = OnOneRack ? placeOnOneRack(Step, Among, Names.size())
                          : placeAll(Step, Among, Names.size());
  if (Chosen.empty())
    Advice_.ask(Names.front(), Among.Unasked_);
  return Chosen;
}

bool WorkerChooser::mayFitLater(const ActiveJob &Job,
                                const std::vector<TaskName> &Names,
                                bool OnOneRack) {
  Choice Among = gather(Job, Names.front());
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
