#include "platformservices/internal/embeddedplatform.h"
#include "platformservices/platformerrors.h"

namespace dragonflylock {

Result<std::optional<TableRow>> EmbeddedPlatform::read(const RowKey &Row) {
  std::lock_guard Lock(Mutex_);
  const auto &Rows = Tables_[Row.Table_].Rows_;
  auto Found = Rows.find(Row.Key_);
  if (Found == Rows.end())
    return std::optional<TableRow>();
  return std::optional<TableRow>(Found->second);
}

Result<TableChanges> EmbeddedPlatform::readChanges(const std::string &Name,
                                                   TableRevision Since) {
  std::lock_guard Lock(Mutex_);
  const Table &Source = Tables_[Name];
  TableChanges Changes;
  Changes.Revision_ = Source.Revision_;
  // A revision that this table has not reached cannot be the base of changes,
  // so the caller gets a snapshot.
  Changes.IsSnapshot_ = Since == 0 || Since > Source.Revision_;
  if (Changes.IsSnapshot_) {
    for (const auto &[Key, Row] : Source.Rows_)
      Changes.Rows_.push_back(Row);
    return Changes;
  }
  auto First = Source.KeysByRevision_.upper_bound(Since);
  for (auto Each = First; Each != Source.KeysByRevision_.end(); ++Each) {
    auto Row = Source.Rows_.find(Each->second);
    if (Row == Source.Rows_.end())
      Changes.Deleted_.push_back(Each->second);
    else
      Changes.Rows_.push_back(Row->second);
  }
  return Changes;
}

Result<std::vector<TableRow>>
EmbeddedPlatform::readOldest(const std::string &Name, std::size_t Count) {
  std::lock_guard Lock(Mutex_);
  const Table &Source = Tables_[Name];
  std::vector<TableRow> Rows;
  for (const auto &[Revision, Key] : Source.KeysByRevision_) {
    if (Rows.size() >= Count)
      break;
    auto Row = Source.Rows_.find(Key);
    if (Row != Source.Rows_.end())
      Rows.push_back(Row->second);
  }
  return Rows;
}

bool EmbeddedPlatform::isConditionMet(const RowWrite &Write) {
  const auto &Rows = Tables_[Write.Row_.Table_].Rows_;
  auto Found = Rows.find(Write.Row_.Key_);
  switch (Write.Condition_.Kind_) {
  case RowCondition::Kind::Any:
    return true;
  case RowCondition::Kind::Absent:
    return Found == Rows.end();
  case RowCondition::Kind::AtVersion:
    return Found != Rows.end() &&
           Found->second.Version_ == Write.Condition_.Version_;
  }
  return false;
}

RowVersion EmbeddedPlatform::apply(const RowWrite &Write) {
  Table &Target = Tables_[Write.Row_.Table_];
  const std::string &Key = Write.Row_.Key_;
  TableRevision Revision = ++Target.Revision_;
  auto Previous = Target.LastRevisions_.find(Key);
  if (Previous != Target.LastRevisions_.end())
    Target.KeysByRevision_.erase(Previous->second);
  Target.LastRevisions_[Key] = Revision;
  Target.KeysByRevision_[Revision] = Key;
  if (!Write.Value_) {
    Target.Rows_.erase(Key);
    return Revision;
  }
  // The table's revision is the row's version, so that a row that is deleted
  // and inserted again never reuses an earlier version.
  Target.Rows_[Key] = TableRow{Key, Revision, *Write.Value_};
  return Revision;
}

Result<std::vector<RowVersion>>
EmbeddedPlatform::transact(const std::vector<RowWrite> &Writes) {
  std::lock_guard Lock(Mutex_);
  for (const RowWrite &Write : Writes) {
    if (!isConditionMet(Write))
      return Error(PlatformErrc::ConditionFailed,
                   "the condition on row " + Write.Row_.Table_ + "/" +
                       Write.Row_.Key_ + " does not hold",
                   "read the row again and re-evaluate the change");
  }
  std::vector<RowVersion> Versions;
  Versions.reserve(Writes.size());
  for (const RowWrite &Write : Writes)
    Versions.push_back(apply(Write));
  return Versions;
}

Result<std::optional<std::string>>
EmbeddedPlatform::get(const std::string &Name) {
  std::lock_guard Lock(Mutex_);
  auto Found = Objects_.find(Name);
  if (Found == Objects_.end())
    return std::optional<std::string>();
  return std::optional<std::string>(Found->second);
}

Result<void> EmbeddedPlatform::put(const std::string &Name,
                                   const std::string &Content) {
  std::lock_guard Lock(Mutex_);
  Objects_[Name] = Content;
  return {};
}

Result<InstanceList> EmbeddedPlatform::list() {
  std::lock_guard Lock(Mutex_);
  InstanceList List;
  for (const auto &[Id, Instance] : Instances_)
    List.Instances_.push_back(Instance);
  return List;
}

Result<void> EmbeddedPlatform::perform(InstanceAction Action,
                                       const std::string &Id) {
  std::lock_guard Lock(Mutex_);
  auto Found = Instances_.find(Id);
  if (Found == Instances_.end())
    return Error(PlatformErrc::NotFound, "no instance " + Id,
                 "see `dragonflylock instance list`");
  ++ListRevision_;
  if (Action == InstanceAction::Drain || Action == InstanceAction::Stop)
    Found->second.State_ = InstanceState::Leaving;
  if (Action == InstanceAction::Reboot) {
    Found->second.State_ = InstanceState::Live;
    ++Found->second.Generation_;
  }
  return {};
}

std::uint64_t EmbeddedPlatform::listRevision() {
  std::lock_guard Lock(Mutex_);
  return ListRevision_;
}

void EmbeddedPlatform::setInstance(const ListedInstance &Instance) {
  std::lock_guard Lock(Mutex_);
  Instances_[Instance.Id_] = Instance;
  ++ListRevision_;
}

void EmbeddedPlatform::removeInstance(const std::string &Id) {
  std::lock_guard Lock(Mutex_);
  Instances_.erase(Id);
  ++ListRevision_;
}

} // namespace dragonflylock
