#include "scheduling/internal/rosterkeeper.h"
#include "global/ilogger.h"
#include "global/logevent.h"
#include "scheduling/controlrows.h"
#include "scheduling/internal/poolstate.h"
#include "scheduling/istore.h"

namespace dragonflylock {
namespace {

constexpr std::chrono::milliseconds RetryPause{100};

} // namespace

void RosterKeeper::tick() {
  if (IsBusy_ || Pool_.Clock_.now() < NotBefore_ || !Pool_.mayAct())
    return;
  if (!IsLoaded_)
    load();
  else if (needsWriting())
    write();
}

void RosterKeeper::load() {
  IsBusy_ = true;
  StoreKey Row = controlrows::roster(Pool_.Pool_);
  Pool_.Store_.readRange(Row.Table_, Row.Part_, Row.Key_, Row.Key_ + '\1',
                         [Weak = weak_from_this()](const StoreRange &Read) {
                           if (auto Self = Weak.lock())
                             Self->onLoaded(Read);
                         });
}

void RosterKeeper::onLoaded(const StoreRange &Read) {
  IsBusy_ = false;
  if (Read.Outcome_ != StoreOutcome::Done) {
    NotBefore_ = Pool_.Clock_.now() + RetryPause;
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
  StoredQueues_ = Roster->Queues_;
  addQueues(Roster->Queues_);
  for (WorkerEntry &Worker : Roster->Workers_) {
    Worker.Pool_ = Pool_.Pool_;
    Stored_.insert(Worker.lifetime());
    bool IsKnown = Pool_.session(Worker.lifetime()) != nullptr;
    WorkerSession &Session = Pool_.meet(Worker);
    Session.IsInRoster_ = true;
    if (!IsKnown)
      Session.IsListed_ = false;
  }
}

void RosterKeeper::addQueues(const std::set<std::string> &Queues) {
  Queues_.insert(Queues.begin(), Queues.end());
}

bool RosterKeeper::needsWriting() const {
  if (Queues_ != StoredQueues_)
    return true;
  if (Pool_.Sessions_.size() != Stored_.size())
    return true;
  for (const auto &[Lifetime, Session] : Pool_.Sessions_)
    if (!Stored_.contains(Lifetime))
      return true;
  return false;
}

void RosterKeeper::write() {
  IsBusy_ = true;
  RosterRow Roster;
  Roster.Queues_ = Queues_;
  std::set<std::string> Written;
  for (const auto &[Lifetime, Session] : Pool_.Sessions_) {
    Roster.Workers_.push_back(Session->entry());
    Written.insert(Lifetime);
  }
  StoreKey Row = controlrows::roster(Pool_.Pool_);
  StoreTransaction Wanted;
  Wanted.Expected_ = {{Row, Version_}};
  Wanted.Puts_ = {{Row, controlrows::encode(Roster)}};
  Pool_.Store_.transact(std::move(Wanted),
                        [Weak = weak_from_this(), Written,
                         Queues = Queues_](const StoreTransactionEnd &End) {
                          if (auto Self = Weak.lock())
                            Self->onWritten(Written, Queues, End);
                        });
}

void RosterKeeper::onWritten(const std::set<std::string> &Written,
                             const std::set<std::string> &Queues,
                             const StoreTransactionEnd &End) {
  IsBusy_ = false;
  switch (End.Outcome_) {
  case StoreOutcome::Done:
    Version_ = End.Version_;
    Stored_ = Written;
    StoredQueues_ = Queues;
    for (auto &[Lifetime, Session] : Pool_.Sessions_)
      if (Written.contains(Lifetime))
        Session->IsInRoster_ = true;
    break;
  case StoreOutcome::ConditionFailed:
    // An earlier write of ours, or a later owner, whose lease is checked
    // before the next write.
    Version_ = End.Current_.empty() ? 0 : End.Current_.front().Version_;
    break;
  default:
    NotBefore_ = Pool_.Clock_.now() + RetryPause;
  }
  tick();
}

} // namespace dragonflylock
