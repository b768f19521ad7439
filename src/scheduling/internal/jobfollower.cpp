#include "scheduling/internal/jobfollower.h"
#include "global/logevent.h"
#include "scheduling/internal/readlog.h"
#include "scheduling/istore.h"
#include "scheduling/jobrows.h"

#include <algorithm>
#include <utility>

namespace dragonflylock {
namespace {

constexpr std::chrono::milliseconds RetryDelay{150};
/// Time between a response and the next request for changes, in which changes
/// accumulate. It delays the first start of a job at most once.
constexpr std::chrono::milliseconds BatchDelay{15};

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
  for (const std::string &Queue : Queues) {
    FollowedTable &State = Tables_[jobrows::tableOf(Queue)];
    if (State.Parts_.empty())
      State.ChangesReceivedAt_ = Clock_.now();
    State.Parts_.try_emplace(Queue);
  }
}

bool JobFollower::isLoaded() const {
  return std::all_of(Tables_.begin(), Tables_.end(), [](const auto &Table) {
    const auto &Parts = Table.second.Parts_;
    return std::all_of(Parts.begin(), Parts.end(),
                       [](const auto &Part) { return Part.second.IsLoaded_; });
  });
}

std::chrono::nanoseconds JobFollower::changesAge() const {
  std::chrono::nanoseconds Oldest{0};
  for (const auto &[Table, State] : Tables_)
    Oldest = std::max<std::chrono::nanoseconds>(
        Oldest, Clock_.now() - State.ChangesReceivedAt_);
  return Oldest;
}

void JobFollower::describe(LogEvent &Event) const {
  Event.with("pages", Pages_)
      .with("rows", Rows_)
      .with("bytes", Bytes_)
      .with("changed-rows", ChangedRows_)
      .with("changed-bytes", ChangedBytes_)
      .with("waited", std::chrono::duration_cast<std::chrono::microseconds>(
                          TotalReadTime_));
}

void JobFollower::tick() {
  const TimePoint Now = Clock_.now();
  for (auto &[Table, State] : Tables_) {
    if (!State.IsReading_ && State.NextRead_ <= Now)
      readPage(Table, State);
    if (State.Version_ && !State.IsPolling_ && State.NextPoll_ <= Now)
      pollChanges(Table, State);
  }
}

std::size_t JobFollower::loadingTables() const {
  return static_cast<std::size_t>(
      std::count_if(Tables_.begin(), Tables_.end(), [](const auto &Table) {
        const auto &Parts = Table.second.Parts_;
        return std::any_of(Parts.begin(), Parts.end(), [](const auto &Part) {
          return !Part.second.IsLoaded_;
        });
      }));
}

void JobFollower::readPage(const std::string &Table, FollowedTable &State) {
  auto Loading =
      std::find_if(State.Parts_.begin(), State.Parts_.end(),
                   [](const auto &Part) { return !Part.second.IsLoaded_; });
  if (Loading == State.Parts_.end())
    return;
  State.RequestedRows_ = ReadWindow_.nextPageRows(loadingTables());
  if (State.RequestedRows_ == 0)
    return;
  ReadWindow_.onPageRequested(State.RequestedRows_);
  State.RequestedFrom_ = Loading->second.NextKey_;
  State.IsReading_ = true;
  State.ReadStart_ = Clock_.now();
  Store_.readRange(
      Table, Loading->first, State.RequestedFrom_, "", State.RequestedRows_,
      [Weak = weak_from_this(), Table, Queue = Loading->first,
       Generation = State.LoadGeneration_](const StoreRange &Read) {
        auto Self = Weak.lock();
        if (!Self)
          return;
        FollowedTable &Followed = Self->Tables_[Table];
        Followed.IsReading_ = false;
        Self->ReadWindow_.onPageFinished(Followed.RequestedRows_, Read,
                                         Followed.ReadStart_,
                                         Self->Clock_.now());
        // A page that was requested before the load was restarted is not
        // part of the new load.
        if (Followed.LoadGeneration_ == Generation)
          Self->onRead(Table, Queue, Read);
      });
}

void JobFollower::onRead(const std::string &Table, const std::string &Queue,
                         const StoreRange &Read) {
  FollowedTable &State = Tables_[Table];
  if (Read.Outcome_ != StoreOutcome::Done) {
    readlog::logPageFailure(Logger_, {Table, Queue, State.RequestedFrom_},
                            State.RequestedRows_, Read.Outcome_,
                            Clock_.now() - State.ReadStart_);
    State.NextRead_ = Clock_.now() + RetryDelay;
    return;
  }
  QueueLoad &Part = State.Parts_[Queue];
  if (!Part.FirstVersion_)
    Part.FirstVersion_ = Read.Version_;
  // Every change after the first page is delivered to the sink, including
  // changes of parts that are read later.
  if (!State.Version_)
    State.Version_ = Part.FirstVersion_;
  ++Pages_;
  Rows_ += Read.Rows_.size();
  Bytes_ += bytesOf(Read.Rows_);
  TotalReadTime_ += Clock_.now() - State.ReadStart_;
  for (const StoreRow &Row : Read.Rows_)
    Sink_(Row);
  Part.IsLoaded_ = !Read.HasMore_ || Read.Rows_.empty();
  if (!Part.IsLoaded_)
    Part.NextKey_ = Read.Rows_.back().Name_.Key_ + '\1';
  else
    for (const StoreRow &Row : std::exchange(Part.ChangesDuringLoad_, {}))
      Sink_(Row);
  tick();
}

void JobFollower::pollChanges(const std::string &Table, FollowedTable &State) {
  State.IsPolling_ = true;
  State.PollStart_ = Clock_.now();
  Store_.awaitChanges(
      Table, *State.Version_, State.ChangesTimeout_.timeout(),
      [Weak = weak_from_this(), Table](const StoreChanges &Changes) {
        if (auto Self = Weak.lock())
          Self->onChanges(Table, Changes);
      });
}

void JobFollower::onChanges(const std::string &Table,
                            const StoreChanges &Changes) {
  FollowedTable &State = Tables_[Table];
  State.IsPolling_ = false;
  State.ChangesTimeout_.onResult(Changes);
  State.NextPoll_ = Clock_.now() + RetryDelay;
  const StoreVersion After = State.Version_.value_or(0);
  if (Changes.Outcome_ == StoreOutcome::HistoryLost)
    restartLoad(State);
  if (Changes.Outcome_ != StoreOutcome::Done) {
    readlog::logChangesFailure(Logger_, Table, After, Changes.Outcome_,
                               Clock_.now() - State.PollStart_);
    return;
  }
  State.NextPoll_ = Clock_.now() + BatchDelay;
  State.ChangesReceivedAt_ = Clock_.now();
  State.Version_ = std::max(*State.Version_, Changes.Version_);
  ChangedRows_ += Changes.Rows_.size();
  ChangedBytes_ += bytesOf(Changes.Rows_);
  for (const StoreRow &Row : Changes.Rows_)
    onChange(State, Row);
}

void JobFollower::onChange(FollowedTable &State, const StoreRow &Row) {
  auto Part = State.Parts_.find(Row.Name_.Part_);
  // A page that the store read before the change may arrive after it.
  if (Part != State.Parts_.end() && !Part->second.IsLoaded_)
    Part->second.ChangesDuringLoad_.push_back(Row);
  Sink_(Row);
}

void JobFollower::restartLoad(FollowedTable &State) {
  State.Version_.reset();
  ++State.LoadGeneration_;
  for (auto &[Queue, Part] : State.Parts_)
    Part = QueueLoad();
}

} // namespace dragonflylock
