#include "emulator/modelstore.h"
#include "emulator/simulation.h"

#include <algorithm>
#include <type_traits>

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;

/// The platform gives 500; emulated queues are shorter.
constexpr std::size_t RowsPerPage = 50;
constexpr milliseconds OneWay{2};
/// Bytes of a row on the wire besides its value.
constexpr std::size_t RowFrame = 150;

const std::vector<StoreRow> &rowsOf(const StoreTransactionResult &End) {
  return End.Current_;
}

const std::vector<StoreRow> &rowsOf(const StoreRange &Read) {
  return Read.Rows_;
}

const std::vector<StoreRow> &rowsOf(const StoreChanges &Changes) {
  return Changes.Rows_;
}

template <typename Result> Result failed(StoreOutcome Outcome) {
  Result Failed;
  Failed.Outcome_ = Outcome;
  return Failed;
}

/// \returns an answer whose end did not arrive in time.
template <typename Result> Result begun() {
  Result Begun = failed<Result>(StoreOutcome::Unknown);
  if constexpr (std::is_same_v<Result, StoreChanges>)
    Begun.HasPartialResponse_ = true;
  return Begun;
}

} // namespace

void ModelStore::compact() {
  Forgotten_ = Version_;
  History_.clear();
}

std::string ModelStore::valueOf(const StoreKey &Name) const {
  auto Found = Rows_.find(Name);
  return Found == Rows_.end() ? std::string() : Found->second.Value_;
}

template <typename Result>
void ModelStore::call(const std::string &Node, const Deliver &Answer,
                      std::function<void(const Result &)> Done,
                      std::function<Result()> Work, bool IsWrite,
                      milliseconds Limit) {
  auto FailWith = [=, this](StoreOutcome Outcome, milliseconds Delay) {
    World_.after(Delay,
                 [=] { Answer([=] { Done(failed<Result>(Outcome)); }); });
  };
  if (Faults_.IsBusy_ || Faults_.RefusedNodes_.contains(Node)) {
    FailWith(StoreOutcome::NotDone, OneWay * 2);
    return;
  }
  if (Faults_.IsSilent_) {
    FailWith(StoreOutcome::Unknown, CallLimit);
    return;
  }
  if (IsWrite && World_.happens(Faults_.LateShare_)) {
    World_.after(milliseconds(World_.between(1000, 6000)), [Work] { Work(); });
    FailWith(StoreOutcome::Unknown, CallLimit);
    return;
  }
  bool IsLost = IsWrite && World_.happens(Faults_.LostShare_);
  World_.after(OneWay * Faults_.Slowness_, [=, this] {
    Result Made = Work();
    if (IsLost) {
      FailWith(StoreOutcome::Unknown, CallLimit);
      return;
    }
    auto Transfer = carry(Node, rowsOf(Made), Limit);
    if (!Transfer) {
      World_.after(Limit, [=] { Answer([=] { Done(begun<Result>()); }); });
      return;
    }
    World_.after(OneWay * Faults_.Slowness_ + *Transfer,
                 [=] { Answer([=] { Done(Made); }); });
  });
}

std::optional<std::chrono::microseconds>
ModelStore::carry(const std::string &Node, const std::vector<StoreRow> &Rows,
                  milliseconds Limit) {
  if (LinkSpeed_ == 0)
    return std::chrono::microseconds(0);
  std::uint64_t Bytes = 0;
  for (const StoreRow &Row : Rows)
    Bytes += RowFrame + Row.Value_.size() * 4 / 3;
  const TimePoint Now = World_.now();
  TimePoint &Taken = LinkTaken_[Node];
  Taken = std::max(Taken, Now) +
          std::chrono::microseconds(Bytes * 1000000 / LinkSpeed_);
  // An answer that is given up takes the link no longer.
  bool IsLate = Taken > Now + Limit;
  Taken = std::min<TimePoint>(Taken, Now + Limit);
  if (IsLate)
    return std::nullopt;
  return std::chrono::ceil<std::chrono::microseconds>(Taken - Now);
}

void ModelStore::transact(const std::string &Node, const Deliver &Answer,
                          StoreTransaction Wanted,
                          IStore::TransactionCallback Done) {
  call<StoreTransactionResult>(
      Node, Answer, std::move(Done),
      [this, Wanted = std::move(Wanted)] { return apply(Wanted); },
      /*IsWrite=*/true);
}

StoreTransactionResult ModelStore::apply(const StoreTransaction &Wanted) {
  StoreTransactionResult End;
  bool Holds = true;
  for (const StoreExpectation &Each : Wanted.Expected_) {
    auto Found = Rows_.find(Each.Name_);
    StoreVersion Version = Found == Rows_.end() ? 0 : Found->second.Version_;
    Holds = Holds && Version == Each.Version_;
    if (Found != Rows_.end())
      End.Current_.push_back(Found->second);
  }
  if (!Holds) {
    End.Outcome_ = StoreOutcome::ConditionFailed;
    return End;
  }
  End.Current_.clear();
  ++Version_;
  for (const StorePut &Each : Wanted.Puts_) {
    StoreRow Row{Each.Name_, Each.Value_, Version_, false};
    Rows_[Each.Name_] = Row;
    History_.push_back(Row);
  }
  for (const StoreKey &Name : Wanted.Removals_) {
    if (Rows_.erase(Name) > 0)
      History_.push_back({Name, "", Version_, true});
  }
  End.Outcome_ = StoreOutcome::Done;
  End.Version_ = Version_;
  wakeWaiters();
  return End;
}

void ModelStore::readRange(const std::string &Node, const Deliver &Answer,
                           const StoreKey &From, const std::string &To,
                           std::size_t Most, IStore::RangeCallback Done) {
  call<StoreRange>(
      Node, Answer, std::move(Done),
      [this, From, To, Most] {
        StoreRange Read;
        Read.Outcome_ = StoreOutcome::Done;
        Read.Version_ = Version_;
        for (auto Each = Rows_.lower_bound(From); Each != Rows_.end(); ++Each) {
          const StoreKey &Name = Each->first;
          bool IsOutside = Name.Table_ != From.Table_ ||
                           Name.Part_ != From.Part_ ||
                           (!To.empty() && Name.Key_ >= To);
          if (IsOutside)
            break;
          Read.HasMore_ = Read.Rows_.size() >= std::min(Most, RowsPerPage);
          if (Read.HasMore_)
            break;
          Read.Rows_.push_back(Each->second);
        }
        return Read;
      },
      /*IsWrite=*/false);
}

StoreChanges ModelStore::changesAfter(const std::string &Table,
                                      StoreVersion After) {
  StoreChanges Changes;
  if (After < Forgotten_)
    return failed<StoreChanges>(StoreOutcome::HistoryLost);
  Changes.Outcome_ = StoreOutcome::Done;
  Changes.Version_ = Version_;
  for (const StoreRow &Row : History_)
    if (Row.Version_ > After && Row.Name_.Table_ == Table)
      Changes.Rows_.push_back(Row);
  return Changes;
}

void ModelStore::awaitChanges(const std::string &Node, const Deliver &Answer,
                              const std::string &Table, StoreVersion After,
                              milliseconds Longest,
                              IStore::ChangesCallback Done) {
  bool IsServed = !Faults_.IsBusy_ && !Faults_.IsSilent_ &&
                  !Faults_.RefusedNodes_.contains(Node);
  StoreChanges Now = changesAfter(Table, After);
  if (!IsServed || !Now.Rows_.empty() ||
      Now.Outcome_ == StoreOutcome::HistoryLost) {
    call<StoreChanges>(
        Node, Answer, std::move(Done),
        [this, Table, After] { return changesAfter(Table, After); },
        /*IsWrite=*/false, Longest + CallLimit);
    return;
  }
  std::uint64_t Number = ++NextWaiter_;
  Waiters_[Number] = {Node, Table, After, Answer, std::move(Done)};
  World_.after(Longest, [this, Number] {
    auto Found = Waiters_.find(Number);
    if (Found == Waiters_.end())
      return;
    Waiter Ended = std::move(Found->second);
    Waiters_.erase(Found);
    StoreChanges Changes = changesAfter(Ended.Table_, Ended.After_);
    Ended.Answer_([=] { Ended.Done_(Changes); });
  });
}

void ModelStore::wakeWaiters() {
  for (auto Each = Waiters_.begin(); Each != Waiters_.end();) {
    StoreChanges Changes =
        changesAfter(Each->second.Table_, Each->second.After_);
    if (Changes.Rows_.empty()) {
      ++Each;
      continue;
    }
    Waiter Woken = std::move(Each->second);
    Each = Waiters_.erase(Each);
    auto Transfer = carry(Woken.Node_, Changes.Rows_, CallLimit);
    if (!Transfer)
      Changes = begun<StoreChanges>();
    World_.after(OneWay + Transfer.value_or(CallLimit),
                 [=] { Woken.Answer_([=] { Woken.Done_(Changes); }); });
  }
}

} // namespace dragonflylock
