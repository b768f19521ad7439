#include "routing/instanceregistry.h"
#include "routing/routingtypes.h"

#include <set>

namespace dragonflylock {

const char *nameOf(Outcome Value) {
  return Value == Outcome::NotRun ? "not-run" : "unknown";
}

const char *nameOf(InstancePhase Phase) {
  switch (Phase) {
  case InstancePhase::Serving:
    return "serving";
  case InstancePhase::Leaving:
    return "leaving";
  case InstancePhase::Out:
    return "out";
  }
  return "out";
}

InstancePhase instancePhaseOf(const std::string &Name) {
  if (Name == nameOf(InstancePhase::Serving))
    return InstancePhase::Serving;
  if (Name == nameOf(InstancePhase::Leaving))
    return InstancePhase::Leaving;
  return InstancePhase::Out;
}

KnownInstance &InstanceRegistry::findOrCreate(const std::string &Id) {
  return Instances_[Id];
}

InstanceListChanges InstanceRegistry::onList(const InstanceList &List) {
  InstanceListChanges Changes;
  std::set<std::string> Present;
  for (const ListedInstance &Listed : List.Instances_) {
    Present.insert(Listed.Id_);
    KnownInstance &Instance = findOrCreate(Listed.Id_);
    bool IsOlder =
        Instance.Listed_ && Instance.Listed_->Generation_ > Listed.Generation_;
    if (IsOlder || Instance.Listed_ == Listed)
      continue;
    Instance.Listed_ = Listed;
    ++Revision_;
    InstanceIncarnation Incarnation{Listed.Id_, Listed.Generation_};
    if (Listed.State_ == InstanceState::Live)
      Changes.Live_.push_back(Incarnation);
    else if (onLeaving(Incarnation))
      Changes.Leaving_.push_back(Incarnation);
  }
  for (auto &[Id, Instance] : Instances_) {
    if (!Instance.Listed_ || Present.contains(Id))
      continue;
    Instance.Listed_.reset();
    ++Revision_;
  }
  return Changes;
}

void InstanceRegistry::onRow(const std::string &Id, const InstanceRow &Row) {
  KnownInstance &Instance = findOrCreate(Id);
  if (Instance.Row_ && Instance.Row_->Epoch_ >= Row.Epoch_)
    return;
  Instance.Row_ = Row;
  ++Revision_;
}

void InstanceRegistry::onRowDeleted(const std::string &Id) {
  findOrCreate(Id).Row_.reset();
  ++Revision_;
}

bool InstanceRegistry::onLeaving(const InstanceIncarnation &Incarnation) {
  KnownInstance &Instance = findOrCreate(Incarnation.Id_);
  bool IsKnown = Instance.LeavingGeneration_ &&
                 *Instance.LeavingGeneration_ >= Incarnation.Generation_;
  if (IsKnown)
    return false;
  Instance.LeavingGeneration_ = Incarnation.Generation_;
  ++Revision_;
  return true;
}

bool InstanceRegistry::isEligible(const KnownInstance &Instance) {
  if (!Instance.Listed_ || !Instance.Row_)
    return false;
  if (Instance.Row_->Phase_ != InstancePhase::Serving)
    return false;
  if (Instance.Listed_->State_ != InstanceState::Live)
    return false;
  return !Instance.LeavingGeneration_ ||
         Instance.Listed_->Generation_ > *Instance.LeavingGeneration_;
}

} // namespace dragonflylock
