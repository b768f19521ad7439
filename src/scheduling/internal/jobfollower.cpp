#include "scheduling/internal/jobfollower.h"
#include "scheduling/istore.h"
#include "scheduling/jobrows.h"

#include <algorithm>
#include <utility>

namespace dragonflylock {
namespace {

constexpr std::chrono::milliseconds RetryPause{150};
/// Short enough to notice a connection that has gone silent.
constexpr std::chrono::milliseconds LongestWait{1500};
/// Pause between two answers, in which changes gather. A job waits for it at
/// most once before its first start.
constexpr std::chrono::milliseconds GatherPause{15};

} // namespace

JobFollower::JobFollower(IStore &Store, const IClock &Clock, RowSink Sink)
    : Store_(Store), Clock_(Clock), Sink_(std::move(Sink)) {}

void JobFollower::follow(const std::set<std::string> &Queues) {
  for (const std::string &Queue : Queues)
    Tables_[jobrows::tableOf(Queue)].Parts_.try_emplace(Queue);
}

bool JobFollower::isLoaded() const {
  return std::all_of(Tables_.begin(), Tables_.end(), [](const auto &Table) {
    const auto &Parts = Table.second.Parts_;
    return std::all_of(Parts.begin(), Parts.end(),
                       [](const auto &Part) { return Part.second.IsRead_; });
  });
}

void JobFollower::tick() {
  const TimePoint Now = Clock_.now();
  for (auto &[Table, State] : Tables_) {
    if (!State.IsReading_ && State.NextRead_ <= Now)
      read(Table, State);
    if (State.Version_ && !State.IsAwaiting_ && State.NextAwait_ <= Now)
      await(Table, State);
  }
}

void JobFollower::read(const std::string &Table, FollowedTable &State) {
  auto Unread =
      std::find_if(State.Parts_.begin(), State.Parts_.end(),
                   [](const auto &Part) { return !Part.second.IsRead_; });
  if (Unread == State.Parts_.end())
    return;
  State.IsReading_ = true;
  Store_.readRange(Table, Unread->first, Unread->second.From_, "",
                   [Weak = weak_from_this(), Table, Queue = Unread->first,
                    Pass = State.Pass_](const StoreRange &Read) {
                     auto Self = Weak.lock();
                     if (!Self)
                       return;
                     Self->Tables_[Table].IsReading_ = false;
                     // A page of a pass that was given up begins no new one.
                     if (Self->Tables_[Table].Pass_ == Pass)
                       Self->onRead(Table, Queue, Read);
                   });
}

void JobFollower::onRead(const std::string &Table, const std::string &Queue,
                         const StoreRange &Read) {
  FollowedTable &State = Tables_[Table];
  if (Read.Outcome_ != StoreOutcome::Done) {
    State.NextRead_ = Clock_.now() + RetryPause;
    return;
  }
  QueuePart &Part = State.Parts_[Queue];
  if (!Part.FirstVersion_)
    Part.FirstVersion_ = Read.Version_;
  // Every change after the first read reaches the sink, also of parts that
  // are read later.
  if (!State.Version_)
    State.Version_ = Part.FirstVersion_;
  for (const StoreRow &Row : Read.Rows_)
    Sink_(Row);
  Part.IsRead_ = !Read.HasMore_ || Read.Rows_.empty();
  if (!Part.IsRead_)
    Part.From_ = Read.Rows_.back().Name_.Key_ + '\1';
  else
    for (const StoreRow &Row : std::exchange(Part.Early_, {}))
      Sink_(Row);
  tick();
}

void JobFollower::await(const std::string &Table, FollowedTable &State) {
  State.IsAwaiting_ = true;
  Store_.awaitChanges(
      Table, *State.Version_, LongestWait,
      [Weak = weak_from_this(), Table](const StoreChanges &Changes) {
        if (auto Self = Weak.lock())
          Self->onChanges(Table, Changes);
      });
}

void JobFollower::onChanges(const std::string &Table,
                            const StoreChanges &Changes) {
  FollowedTable &State = Tables_[Table];
  State.IsAwaiting_ = false;
  State.NextAwait_ = Clock_.now() + RetryPause;
  if (Changes.Outcome_ == StoreOutcome::HistoryLost)
    readAgain(State);
  if (Changes.Outcome_ != StoreOutcome::Done)
    return;
  State.NextAwait_ = Clock_.now() + GatherPause;
  State.Version_ = std::max(*State.Version_, Changes.Version_);
  for (const StoreRow &Row : Changes.Rows_)
    onChange(State, Row);
}

void JobFollower::onChange(FollowedTable &State, const StoreRow &Row) {
  auto Part = State.Parts_.find(Row.Name_.Part_);
  // A page that was read before the change may come after it.
  if (Part != State.Parts_.end() && !Part->second.IsRead_)
    Part->second.Early_.push_back(Row);
  Sink_(Row);
}

void JobFollower::readAgain(FollowedTable &State) {
  State.Version_.reset();
  ++State.Pass_;
  for (auto &[Queue, Part] : State.Parts_)
    Part = QueuePart();
}

} // namespace dragonflylock
