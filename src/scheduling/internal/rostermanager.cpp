#include "scheduling/internal/rostermanager.h"
#include "global/ilogger.h"
#include "global/logevent.h"
#include "scheduling/controlrows.h"
#include "scheduling/internal/poolstate.h"
#include "scheduling/internal/readlog.h"
#include "scheduling/istore.h"

#include <algorithm>

namespace dragonflylock {
namespace {

constexpr std::chrono::milliseconds RetryDelay{100};
/// Consecutive failed holds after which a worker is declared silent.
constexpr std::uint32_t FailedHoldsUntilSilent = 2;
/// Most bytes of the stored declarations of silent workers, so that the row
/// stays within the 65,536 bytes that the store accepts.
constexpr std::size_t MaxSilentBytes = 20000;
/// Bytes of a declared task or worker in addition to the name of its job or its
/// lifetime.
constexpr std::size_t DeclarationOverhead = 12;
/// Most bytes of the row that is stored with a release; the store accepts
/// 65,536.
constexpr std::size_t MaxRowBytes = 65000;

} // namespace

void RosterManager::tick() {
  markStoredWorkers();
  if (IsBusy_ || Pool_.Clock_.now() < NextCall_ || !Pool_.holdsLease())
    return;
  if (!IsLoaded_)
    load();
  else if (needsWriting())
    write();
}

void RosterManager::load() {
  IsBusy_ = true;
  LoadStart_ = Pool_.Clock_.now();
  StoreKey Row = controlrows::roster(Pool_.Pool_);
  Pool_.Store_.readRange(Row.Table_, Row.Part_, Row.Key_, Row.Key_ + '\1',
                         /*MaxRows=*/1,
                         [Weak = weak_from_this()](const StoreRange &Read) {
                           if (auto Self = Weak.lock())
                             Self->onLoaded(Read);
                         });
}

void RosterManager::onLoaded(const StoreRange &Read) {
  IsBusy_ = false;
  if (Read.Outcome_ != StoreOutcome::Done) {
    readlog::logPageFailure(Pool_.Logger_, controlrows::roster(Pool_.Pool_), 1,
                            Read.Outcome_, Pool_.Clock_.now() - LoadStart_);
    NextCall_ = Pool_.Clock_.now() + RetryDelay;
    return;
  }
  IsLoaded_ = true;
  if (Read.Rows_.empty())
    return;
  Version_ = Read.Rows_.front().Version_;
  auto Roster = controlrows::decodeRoster(Read.Rows_.front().Value_);
  if (!Roster) {
    Pool_.Logger_.write(
        LogLevel::Error,
        LogEvent("roster.unreadable").with("pool", Pool_.Pool_));
    return;
  }
  Pool_.IsRosterKnown_ = true;
  applyRoster(*Roster);
}

void RosterManager::applyRoster(const RosterRow &Roster) {
  StoredQueues_ = Roster.Queues_;
  addQueues(Roster.Queues_);
  for (WorkerEntry Worker : Roster.Workers_) {
    Worker.Pool_ = Pool_.Pool_;
    StoredWorkers_.insert(Worker.lifetime());
    bool IsKnown = Pool_.session(Worker.lifetime()) != nullptr;
    WorkerSession &Session = Pool_.findOrCreateSession(Worker);
    Session.IsInRoster_ = true;
    Session.IsInherited_ = true;
    if (!IsKnown)
      Session.IsListed_ = false;
    auto Silent = Roster.Silent_.find(Worker.lifetime());
    if (Silent == Roster.Silent_.end())
      continue;
    StoredSilent_.insert(Worker.lifetime());
    Session.IsDeclaredSilent_ = true;
    Session.WasDeclaredSilent_ = true;
    Session.InheritedTasks_ = Silent->second;
  }
}

void RosterManager::addQueues(const std::set<std::string> &Queues) {
  Queues_.insert(Queues.begin(), Queues.end());
}

bool RosterManager::areRunsKnown(const WorkerSession &Session) const {
  return Session.WasDeclaredSilent_ ||
         !Pool_.mayHaveUnexpiredInheritedRuns(Session);
}

bool RosterManager::shouldDeclareSilent(const WorkerSession &Session) const {
  // A superseded lifetime is sent no holds that could fail.
  return (Session.HoldFailures_ >= FailedHoldsUntilSilent ||
          Session.IsSuperseded_) &&
         areRunsKnown(Session);
}

std::set<std::string> RosterManager::lifetimesToDeclare() const {
  std::set<std::string> Declared;
  std::size_t Bytes = 0;
  for (const auto &[Lifetime, Session] : Pool_.Sessions_) {
    if (!shouldDeclareSilent(*Session))
      continue;
    std::size_t Added = Lifetime.size() + DeclarationOverhead;
    for (const auto &[Name, Run] : Session->runs())
      Added += Name.Job_.size() + DeclarationOverhead;
    for (const std::string &Task : Session->InheritedTasks_)
      Added += Task.size() + DeclarationOverhead;
    // The next owner waits for workers that are not declared as for any that do
    // not answer.
    if (Bytes + Added > MaxSilentBytes)
      continue;
    Bytes += Added;
    Declared.insert(Lifetime);
  }
  return Declared;
}

std::map<std::string, std::set<std::string>>
RosterManager::tasksOn(const std::set<std::string> &Lifetimes) const {
  std::map<std::string, std::set<std::string>> TasksOf;
  for (const std::string &Lifetime : Lifetimes) {
    const auto &Session = Pool_.Sessions_.at(Lifetime);
    std::set<std::string> &Tasks = TasksOf[Lifetime];
    for (const auto &[Name, Run] : Session->runs())
      Tasks.insert(Name.text());
    if (Pool_.mayHaveInheritedRuns(*Session))
      Tasks.insert(Session->InheritedTasks_.begin(),
                   Session->InheritedTasks_.end());
  }
  // The next owner learns of these ends only when the worker lists them again.
  for (const auto &[Job, Ends] : Pool_.PendingAcknowledgements_)
    for (const PendingAcknowledgement &End : Ends)
      if (auto Found = TasksOf.find(End.Worker_); Found != TasksOf.end())
        Found->second.insert(End.Task_.text());
  return TasksOf;
}

RosterRow RosterManager::rosterOfSessions() const {
  RosterRow Roster;
  Roster.Queues_ = Queues_;
  for (const auto &[Lifetime, Session] : Pool_.Sessions_)
    Roster.Workers_.push_back(Session->entry());
  return Roster;
}

std::optional<StorePut> RosterManager::rowForRelease() const {
  if (!IsLoaded_)
    return std::nullopt;
  std::set<std::string> Known;
  for (const auto &[Lifetime, Session] : Pool_.Sessions_)
    // The tasks of unwanted runs are not kept.
    if (areRunsKnown(*Session) && !Session->hasUnwantedRuns())
      Known.insert(Lifetime);
  auto TasksOf = tasksOn(Known);
  // Workers that do not respond now are the least likely to respond to the next
  // owner.
  std::vector<std::string> Order(Known.begin(), Known.end());
  std::stable_partition(
      Order.begin(), Order.end(), [this](const std::string &Lifetime) {
        return Pool_.Sessions_.at(Lifetime)->HoldFailures_ > 0;
      });
  RosterRow Roster = rosterOfSessions();
  Roster.Silent_ = std::move(TasksOf);
  std::string Value = controlrows::encode(Roster);
  while (Value.size() > MaxRowBytes && !Order.empty()) {
    const std::size_t Kept = Order.size() * 3 / 4;
    for (std::size_t Index = Kept; Index < Order.size(); ++Index)
      Roster.Silent_.erase(Order[Index]);
    Order.resize(Kept);
    Value = controlrows::encode(Roster);
  }
  Pool_.Logger_.write(
      LogLevel::Info,
      LogEvent("roster.released")
          .with("pool", Pool_.Pool_)
          .with("token", Pool_.Token_)
          .with("workers", std::uint64_t{Pool_.Sessions_.size()})
          .with("declared", std::uint64_t{Roster.Silent_.size()})
          .with("bytes", std::uint64_t{Value.size()}));
  return StorePut{controlrows::roster(Pool_.Pool_), std::move(Value)};
}

void RosterManager::markStoredWorkers() {
  // A worker that was unlisted for a while has a new session.
  for (auto &[Lifetime, Session] : Pool_.Sessions_) {
    if (Session->IsInRoster_ || !StoredWorkers_.contains(Lifetime))
      continue;
    Session->IsInRoster_ = true;
    Pool_.NeedsDispatch_ = true;
  }
}

bool RosterManager::needsWriting() const {
  if (Queues_ != StoredQueues_)
    return true;
  bool IsStored = std::equal(Pool_.Sessions_.begin(), Pool_.Sessions_.end(),
                             StoredWorkers_.begin(), StoredWorkers_.end(),
                             [](const auto &Session, const std::string &Each) {
                               return Session.first == Each;
                             });
  if (!IsStored)
    return true;
  const std::set<std::string> Declared = lifetimesToDeclare();
  for (const auto &[Lifetime, Session] : Pool_.Sessions_) {
    // A declaration whose write was not confirmed may be stored nevertheless
    // and must be withdrawn.
    bool ShouldBeDeclared = Declared.contains(Lifetime);
    if (ShouldBeDeclared != StoredSilent_.contains(Lifetime) ||
        ShouldBeDeclared != Session->IsDeclaredSilent_)
      return true;
  }
  return false;
}

void RosterManager::write() {
  IsBusy_ = true;
  RosterRow Roster = rosterOfSessions();
  Roster.Silent_ = tasksOn(lifetimesToDeclare());
  std::set<std::string> Written;
  for (const auto &[Lifetime, Session] : Pool_.Sessions_) {
    Written.insert(Lifetime);
    // The declaration may take effect even if the response is lost.
    if (Roster.Silent_.contains(Lifetime))
      Session->IsDeclaredSilent_ = true;
  }
  StoreKey Row = controlrows::roster(Pool_.Pool_);
  StoreTransaction Transaction;
  Transaction.Expected_ = {{Row, Version_}};
  Transaction.Puts_ = {{Row, controlrows::encode(Roster)}};
  Pool_.Store_.transact(std::move(Transaction),
                        [Weak = weak_from_this(), Written,
                         Roster](const StoreTransactionResult &Result) {
                          if (auto Self = Weak.lock())
                            Self->onWritten(Written, Roster, Result);
                        });
}

void RosterManager::onWritten(const std::set<std::string> &Written,
                              const RosterRow &Roster,
                              const StoreTransactionResult &Result) {
  IsBusy_ = false;
  switch (Result.Outcome_) {
  case StoreOutcome::Done:
    Version_ = Result.Version_;
    StoredWorkers_ = Written;
    StoredQueues_ = Roster.Queues_;
    StoredSilent_.clear();
    for (const auto &[Lifetime, Tasks] : Roster.Silent_)
      StoredSilent_.insert(Lifetime);
    for (auto &[Lifetime, Session] : Pool_.Sessions_) {
      if (!Written.contains(Lifetime))
        continue;
      Session->IsDeclaredSilent_ = StoredSilent_.contains(Lifetime);
      Pool_.NeedsDispatch_ = true;
    }
    break;
  case StoreOutcome::ConditionFailed:
    // The row was changed by an earlier write of this owner, or by a later
    // owner; tick() checks the lease before the next write.
    Version_ = Result.Current_.empty() ? 0 : Result.Current_.front().Version_;
    break;
  default:
    NextCall_ = Pool_.Clock_.now() + RetryDelay;
  }
  tick();
}

} // namespace dragonflylock
