#include "scheduling/internal/startwatermark.h"
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

} // namespace

void StartWatermark::tick(bool AreJobsLoaded) {
  if (IsBusy_ || Pool_.Clock_.now() < NextCall_ || !Pool_.holdsLease())
    return;
  if (!IsLoaded_)
    load();
  else if (AreJobsLoaded && Pool_.LatestSubmission_ > Pool_.StartWatermark_)
    write();
}

void StartWatermark::load() {
  IsBusy_ = true;
  LoadStart_ = Pool_.Clock_.now();
  const StoreKey Row = controlrows::watermark(Pool_.Pool_);
  Pool_.Store_.readRange(Row.Table_, Row.Part_, Row.Key_, Row.Key_ + '\1',
                         /*MaxRows=*/1,
                         [Weak = weak_from_this()](const StoreRange &Read) {
                           if (auto Self = Weak.lock())
                             Self->onLoaded(Read);
                         });
}

void StartWatermark::onLoaded(const StoreRange &Read) {
  IsBusy_ = false;
  if (Read.Outcome_ != StoreOutcome::Done) {
    readlog::logPageFailure(Pool_.Logger_, controlrows::watermark(Pool_.Pool_),
                            1, Read.Outcome_, Pool_.Clock_.now() - LoadStart_);
    NextCall_ = Pool_.Clock_.now() + RetryDelay;
    return;
  }
  IsLoaded_ = true;
  if (Read.Rows_.empty())
    return;
  RowVersion_ = Read.Rows_.front().Version_;
  auto Row = controlrows::decodeWatermark(Read.Rows_.front().Value_);
  if (!Row) {
    Pool_.Logger_.write(
        LogLevel::Error,
        LogEvent("watermark.unreadable").with("pool", Pool_.Pool_));
    return;
  }
  // The row of another owner says nothing about the previous one, which may be
  // of a version that doesn't write it.
  if (Predecessor_ > 0 && Row->Token_ == Predecessor_)
    Pool_.InheritedWatermark_ = Row->Version_;
}

void StartWatermark::write() {
  IsBusy_ = true;
  const WatermarkRow Next{Pool_.Token_, Pool_.LatestSubmission_};
  const StoreKey Row = controlrows::watermark(Pool_.Pool_);
  StoreTransaction Transaction;
  Transaction.Expected_ = {{Row, RowVersion_}};
  Transaction.Puts_ = {{Row, controlrows::encode(Next)}};
  Pool_.Store_.transact(
      std::move(Transaction),
      [Weak = weak_from_this(), Next](const StoreTransactionResult &Result) {
        if (auto Self = Weak.lock())
          Self->onWritten(Next, Result);
      });
}

void StartWatermark::onWritten(const WatermarkRow &Written,
                               const StoreTransactionResult &Result) {
  IsBusy_ = false;
  if (Result.Outcome_ == StoreOutcome::Done) {
    RowVersion_ = Result.Version_;
    confirm(Written.Version_);
    return;
  }
  if (Result.Outcome_ != StoreOutcome::ConditionFailed) {
    Pool_.Logger_.write(LogLevel::Warning,
                        LogEvent("watermark.unstored")
                            .with("pool", Pool_.Pool_)
                            .with("outcome", nameOf(Result.Outcome_)));
    NextCall_ = Pool_.Clock_.now() + RetryDelay;
    return;
  }
  // The row holds a write of this owner whose response was lost, or a late
  // write of an earlier owner, which didn't act on it any more.
  RowVersion_ = Result.Current_.empty() ? 0 : Result.Current_.front().Version_;
  auto Row = Result.Current_.empty()
                 ? std::nullopt
                 : controlrows::decodeWatermark(Result.Current_.front().Value_);
  if (Row && Row->Token_ == Pool_.Token_)
    confirm(Row->Version_);
}

void StartWatermark::confirm(StoreVersion Stored) {
  Pool_.StartWatermark_ = std::max(Pool_.StartWatermark_, Stored);
  Pool_.NeedsDispatch_ = true;
}

} // namespace dragonflylock
