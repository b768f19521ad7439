#include "scheduling/internal/pendingreporter.h"
#include "global/iclock.h"

#include <utility>

namespace dragonflylock {
namespace {

/// Backlogs change all the time and are written at intervals.
bool haveSamePending(const PendingRow &Left, const PendingRow &Right) {
  return Left.Token_ == Right.Token_ && Left.Pending_ == Right.Pending_;
}

} // namespace

PendingReporter::PendingReporter(IStore &Store, const IClock &Clock,
                                 StoredCallback OnStored)
    : Clock_(Clock), Writer_(Store), OnStored_(std::move(OnStored)) {}

void PendingReporter::report(const std::string &Pool, const PendingRow &Row) {
  PoolState &State = Pools_[Pool];
  const bool IsStored = State.Last_ && haveSamePending(*State.Last_, Row) &&
                        !State.Backlog_.isDue(Row.Backlog_, Clock_.now());
  if (State.IsWriting_ || IsStored)
    return;
  State.IsWriting_ = true;
  State.Last_ = Row;
  State.Backlog_.onWrite(Row.Backlog_, Clock_.now());
  Writer_.write(controlrows::pending(Pool), controlrows::encode(Row),
                [Weak = weak_from_this(), Pool,
                 Row](const StoreTransactionResult &Result) {
                  if (auto Self = Weak.lock())
                    Self->onWritten(Pool, Row, Result);
                });
}

void PendingReporter::onWritten(const std::string &Pool, const PendingRow &Row,
                                const StoreTransactionResult &Result) {
  const bool IsDone = Result.Outcome_ == StoreOutcome::Done;
  if (auto Found = Pools_.find(Pool); Found != Pools_.end()) {
    Found->second.IsWriting_ = false;
    if (!IsDone)
      Found->second.Last_.reset();
  }
  if (IsDone)
    OnStored_(Pool, Result.Version_, Row);
}

bool PendingReporter::onRow(const std::string &Pool, const StoreRow &Stored,
                            const PendingRow &Read) {
  if (!Writer_.onRow(Stored))
    return false;
  auto Found = Pools_.find(Pool);
  if (Found != Pools_.end() && !Found->second.IsWriting_ &&
      Found->second.Last_ && !haveSamePending(*Found->second.Last_, Read))
    Found->second.Last_.reset();
  return true;
}

void PendingReporter::forget(const std::string &Pool) { Pools_.erase(Pool); }

} // namespace dragonflylock
