#include "scheduling/internal/jobfollower.h"
#include "global/logevent.h"
#include "scheduling/internal/readlog.h"
#include "scheduling/istore.h"
#include "scheduling/jobrows.h"

#include <algorithm>
#include <utility>

namespace dragonflylock {
namespace {

constexpr std::chrono::milliseconds RetryPause{150};
/// Pause between two answers, in which changes gather. A job waits for it at
/// most once before its first start.
constexpr std::chrono::milliseconds GatherPause{15};

std::uint64_t bytesOf(const std::vector<StoreRow> &Rows) {
  std::uint64_t Bytes = 0;
  for (const StoreRow &Row : Rows)
    Bytes += Row.Value_.size();
  return Bytes;
}

} // namespace

JobFollower::JobFollower(IStore &Store, const IClock &Clock, ILogger &Logger,
                         RowSink Sink)
    : Store_(Store), Clock_(Clock), Logger_(Logger), Sink_(std::move(Sink)) {}

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

void JobFollower::describe(LogEvent &Event) const {
  Event.with("pages", Pages_)
      .with("rows", Rows_)
      .with("bytes", Bytes_)
      .with("changed-rows", ChangedRows_)
      .with("changed-bytes", ChangedBytes_)
      .with("waited",
            std::chrono::duration_cast<std::chrono::microseconds>(Waited_));
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

std::size_t JobFollower::unreadTables() const {
  return static_cast<std::size_t>(
      std::count_if(Tables_.begin(), Tables_.end(), [](const auto &Table) {
        const auto &Parts = Table.second.Parts_;
        return std::any_of(Parts.begin(), Parts.end(), [](const auto &Part) {
          return !Part.second.IsRead_;
        });
      }));
}

void JobFollower::read(const std::string &Table, FollowedTable &State) {
  auto Unread =
      std::find_if(State.Parts_.begin(), State.Parts_.end(),
                   [](const auto &Part) { return !Part.second.IsRead_; });
  if (Unread == State.Parts_.end())
    return;
  State.Asked_ = Window_.nextPage(unreadTables());
  if (State.Asked_ == 0)
    return;
  Window_.begin(State.Asked_);
  State.AskedFrom_ = Unread->second.From_;
  State.IsReading_ = true;
  State.ReadBegun_ = Clock_.now();
  Store_.readRange(Table, Unread->first, State.AskedFrom_, "", State.Asked_,
                   [Weak = weak_from_this(), Table, Queue = Unread->first,
                    Pass = State.Pass_](const StoreRange &Read) {
                     auto Self = Weak.lock();
                     if (!Self)
                       return;
                     FollowedTable &Followed = Self->Tables_[Table];
                     Followed.IsReading_ = false;
                     Self->Window_.end(Followed.Asked_, Read,
                                       Followed.ReadBegun_, Self->Clock_.now());
                     // A page of a pass that was given up begins no new one.
                     if (Followed.Pass_ == Pass)
                       Self->onRead(Table, Queue, Read);
                   });
}

void JobFollower::onRead(const std::string &Table, const std::string &Queue,
                         const StoreRange &Read) {
  FollowedTable &State = Tables_[Table];
  if (Read.Outcome_ != StoreOutcome::Done) {
    readlog::logPageFailure(Logger_, {Table, Queue, State.AskedFrom_},
                            State.Asked_, Read.Outcome_,
                            Clock_.now() - State.ReadBegun_);
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
  ++Pages_;
  Rows_ += Read.Rows_.size();
  Bytes_ += bytesOf(Read.Rows_);
  Waited_ += Clock_.now() - State.ReadBegun_;
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
  State.AwaitBegun_ = Clock_.now();
  Store_.awaitChanges(
      Table, *State.Version_, State.Wait_.longest(),
      [Weak = weak_from_this(), Table](const StoreChanges &Changes) {
        if (auto Self = Weak.lock())
          Self->onChanges(Table, Changes);
      });
}

void JobFollower::onChanges(const std::string &Table,
                            const StoreChanges &Changes) {
  FollowedTable &State = Tables_[Table];
  State.IsAwaiting_ = false;
  State.Wait_.onEnd(Changes);
  State.NextAwait_ = Clock_.now() + RetryPause;
  const StoreVersion After = State.Version_.value_or(0);
  if (Changes.Outcome_ == StoreOutcome::HistoryLost)
    readAgain(State);
  if (Changes.Outcome_ != StoreOutcome::Done) {
    readlog::logChangesFailure(Logger_, Table, After, Changes.Outcome_,
                               Clock_.now() - State.AwaitBegun_);
    return;
  }
  State.NextAwait_ = Clock_.now() + GatherPause;
  State.Version_ = std::max(*State.Version_, Changes.Version_);
  ChangedRows_ += Changes.Rows_.size();
  ChangedBytes_ += bytesOf(Changes.Rows_);
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
