#include "emulator/modelstore.h"
#include "emulator/simulation.h"

#include <algorithm>
#include <type_traits>

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;

/// The platform returns up to 500 rows per page. The limit is lower here
/// because emulated queues are shorter.
constexpr std::size_t RowsPerPage = 50;
constexpr milliseconds OneWayLatency{2};
/// Bytes of a row on the wire in addition to its encoded value.
constexpr std::size_t RowOverheadBytes = 150;

const std::vector<StoreRow> &
rowsOf(const StoreTransactionResult &TransactionResult) {
  return TransactionResult.Current_;
}

const std::vector<StoreRow> &rowsOf(const StoreRange &Read) {
  return Read.Rows_;
}

const std::vector<StoreRow> &rowsOf(const StoreChanges &Changes) {
  return Changes.Rows_;
}

template <typename Result> Result failedResponse(StoreOutcome Outcome) {
  Result Failed;
  Failed.Outcome_ = Outcome;
  return Failed;
}

/// \returns the response for rows that did not arrive completely in time.
template <typename Result> Result incompleteResponse() {
  Result Incomplete = failedResponse<Result>(StoreOutcome::Unknown);
  if constexpr (std::is_same_v<Result, StoreChanges>)
    Incomplete.HasPartialResponse_ = true;
  return Incomplete;
}

} // namespace

void ModelStore::compact() {
  CompactedVersion_ = Version_;
  History_.clear();
}

std::string ModelStore::valueOf(const StoreKey &Name) const {
  auto Found = Rows_.find(Name);
  return Found == Rows_.end() ? std::string() : Found->second.Value_;
}

template <typename Result>
void ModelStore::call(const std::string &Node, const Responder &Respond,
                      std::function<void(const Result &)> Done,
                      std::function<Result()> Work, bool IsWrite,
                      milliseconds Timeout) {
  auto FailWith = [=, this](StoreOutcome Outcome, milliseconds Delay) {
    Simulation_.schedule(Delay, [=] {
      Respond([=] { Done(failedResponse<Result>(Outcome)); });
    });
  };
  if (Faults_.RefusesAllCalls_ || Faults_.RefusedNodes_.contains(Node)) {
    FailWith(StoreOutcome::NotDone, OneWayLatency * 2);
    return;
  }
  if (Faults_.IsUnresponsive_) {
    FailWith(StoreOutcome::Unknown, CallTimeout);
    return;
  }
  if (IsWrite &&
      Simulation_.withProbability(Faults_.DelayedExecutionProbability_)) {
    Simulation_.schedule(milliseconds(Simulation_.randomInRange(1000, 6000)),
                         [Work] { Work(); });
    FailWith(StoreOutcome::Unknown, CallTimeout);
    return;
  }
  bool IsLost =
      IsWrite && Simulation_.withProbability(Faults_.LostResponseProbability_);
  Simulation_.schedule(OneWayLatency * Faults_.LatencyFactor_, [=, this] {
    Result Response = Work();
    if (IsLost) {
      FailWith(StoreOutcome::Unknown, CallTimeout);
      return;
    }
    auto Transfer = transferTime(Node, rowsOf(Response), Timeout);
    if (!Transfer) {
      Simulation_.schedule(Timeout, [=] {
        Respond([=] { Done(incompleteResponse<Result>()); });
      });
      return;
    }
    Simulation_.schedule(OneWayLatency * Faults_.LatencyFactor_ + *Transfer,
                         [=] { Respond([=] { Done(Response); }); });
  });
}

std::optional<std::chrono::microseconds>
ModelStore::transferTime(const std::string &Node,
                         const std::vector<StoreRow> &Rows,
                         milliseconds Timeout) {
  if (LinkBandwidth_ == 0)
    return std::chrono::microseconds(0);
  std::uint64_t Bytes = 0;
  for (const StoreRow &Row : Rows)
    Bytes += RowOverheadBytes + Row.Value_.size() * 4 / 3;
  const TimePoint Now = Simulation_.now();
  TimePoint &BusyUntil = LinkBusyUntil_[Node];
  BusyUntil = std::max(BusyUntil, Now) +
              std::chrono::microseconds(Bytes * 1000000 / LinkBandwidth_);
  // A response that has timed out no longer occupies the link.
  bool TimesOut = BusyUntil > Now + Timeout;
  BusyUntil = std::min<TimePoint>(BusyUntil, Now + Timeout);
  if (TimesOut)
    return std::nullopt;
  return std::chrono::ceil<std::chrono::microseconds>(BusyUntil - Now);
}

void ModelStore::transact(const std::string &Node, const Responder &Respond,
                          StoreTransaction Transaction,
                          IStore::TransactionCallback Done) {
  call<StoreTransactionResult>(
      Node, Respond, std::move(Done),
      [this, Transaction = std::move(Transaction)] {
        return apply(Transaction);
      },
      /*IsWrite=*/true);
}

StoreTransactionResult ModelStore::apply(const StoreTransaction &Transaction) {
  StoreTransactionResult TransactionResult;
  TransactionResult.Now_ = Simulation_.elapsed();
  bool ExpectationsHold = true;
  for (const StoreExpectation &Each : Transaction.Expected_) {
    auto Found = Rows_.find(Each.Name_);
    StoreVersion Version = Found == Rows_.end() ? 0 : Found->second.Version_;
    ExpectationsHold = ExpectationsHold && Version == Each.Version_;
    if (Found != Rows_.end())
      TransactionResult.Current_.push_back(Found->second);
  }
  if (!ExpectationsHold) {
    TransactionResult.Outcome_ = StoreOutcome::ConditionFailed;
    return TransactionResult;
  }
  TransactionResult.Current_.clear();
  ++Version_;
  for (const StorePut &Each : Transaction.Puts_) {
    StoreRow Row{Each.Name_, Each.Value_, Version_, false};
    Rows_[Each.Name_] = Row;
    History_.push_back(Row);
  }
  for (const StoreKey &Name : Transaction.Removals_) {
    if (Rows_.erase(Name) > 0)
      History_.push_back({Name, "", Version_, true});
  }
  TransactionResult.Outcome_ = StoreOutcome::Done;
  TransactionResult.Version_ = Version_;
  wakeWaiters();
  return TransactionResult;
}

void ModelStore::readRange(const std::string &Node, const Responder &Respond,
                           const StoreKey &From, const std::string &To,
                           std::size_t MaxRows, IStore::RangeCallback Done) {
  call<StoreRange>(
      Node, Respond, std::move(Done),
      [this, From, To, MaxRows] {
        StoreRange Read;
        Read.Outcome_ = StoreOutcome::Done;
        Read.Version_ = Version_;
        Read.Now_ = Simulation_.elapsed();
        for (auto Each = Rows_.lower_bound(From); Each != Rows_.end(); ++Each) {
          const StoreKey &Name = Each->first;
          bool IsOutside = Name.Table_ != From.Table_ ||
                           Name.Part_ != From.Part_ ||
                           (!To.empty() && Name.Key_ >= To);
          if (IsOutside)
            break;
          Read.HasMore_ = Read.Rows_.size() >= std::min(MaxRows, RowsPerPage);
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
  if (After < CompactedVersion_)
    return failedResponse<StoreChanges>(StoreOutcome::HistoryLost);
  Changes.Outcome_ = StoreOutcome::Done;
  Changes.Version_ = Version_;
  for (const StoreRow &Row : History_)
    if (Row.Version_ > After && Row.Name_.Table_ == Table)
      Changes.Rows_.push_back(Row);
  return Changes;
}

void ModelStore::awaitChanges(const std::string &Node, const Responder &Respond,
                              const std::string &Table, StoreVersion After,
                              milliseconds WaitTimeout,
                              IStore::ChangesCallback Done) {
  bool IsServed = !Faults_.RefusesAllCalls_ && !Faults_.IsUnresponsive_ &&
                  !Faults_.RefusedNodes_.contains(Node);
  StoreChanges Now = changesAfter(Table, After);
  if (!IsServed || !Now.Rows_.empty() ||
      Now.Outcome_ == StoreOutcome::HistoryLost) {
    call<StoreChanges>(
        Node, Respond, std::move(Done),
        [this, Table, After] { return changesAfter(Table, After); },
        /*IsWrite=*/false, WaitTimeout + CallTimeout);
    return;
  }
  std::uint64_t Number = ++NextWaiter_;
  Waiters_[Number] = {Node, Table, After, Respond, std::move(Done)};
  Simulation_.schedule(WaitTimeout, [this, Number] {
    auto Found = Waiters_.find(Number);
    if (Found == Waiters_.end())
      return;
    Waiter Expired = std::move(Found->second);
    Waiters_.erase(Found);
    StoreChanges Changes = changesAfter(Expired.Table_, Expired.After_);
    Expired.Respond_([=] { Expired.Done_(Changes); });
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
    auto Transfer = transferTime(Woken.Node_, Changes.Rows_, CallTimeout);
    if (!Transfer)
      Changes = incompleteResponse<StoreChanges>();
    Simulation_.schedule(OneWayLatency + Transfer.value_or(CallTimeout), [=] {
      Woken.Respond_([=] { Woken.Done_(Changes); });
    });
  }
}

} // namespace dragonflylock
