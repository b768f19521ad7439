#include "scheduling/internal/latestartrecord.h"
#include "global/ilogger.h"
#include "global/logevent.h"
#include "scheduling/internal/poolstate.h"
#include "scheduling/internal/readlog.h"
#include "scheduling/istore.h"

#include <utility>

namespace dragonflylock {
namespace {

constexpr std::chrono::milliseconds RetryDelay{100};
/// Interval at which the row is written while it names starts.
constexpr std::chrono::milliseconds WriteInterval{400};
/// Time without a response after which a start is recorded. Nearly all
/// responses arrive sooner.
constexpr std::chrono::milliseconds UsualResponseTime{200};

} // namespace

void LateStartRecord::tick(bool AreJobsLoaded) {
  const TimePoint Now = Pool_.Clock_.now();
  if (IsBusy_ || Now < NextCall_ || !Pool_.holdsLease())
    return;
  if (!IsLoaded_) {
    load();
    return;
  }
  if (!AreJobsLoaded)
    return;
  NextCall_ = Now + WriteInterval;
  const LateStartsRow Next = Pool_.LateStarts_.row(UsualResponseTime);
  if (MayNameStarts_ || !Next.TimeLeft_.empty())
    write(Next);
}

std::optional<StorePut> LateStartRecord::rowForRelease() const {
  if (!IsLoaded_)
    return std::nullopt;
  const LateStartsRow Last =
      Pool_.LateStarts_.row(std::chrono::milliseconds(0));
  if (!MayNameStarts_ && Last.TimeLeft_.empty())
    return std::nullopt;
  return StorePut{controlrows::lateStarts(Pool_.Pool_),
                  controlrows::encode(Last)};
}

void LateStartRecord::load() {
  IsBusy_ = true;
  LoadStart_ = Pool_.Clock_.now();
  const StoreKey Row = controlrows::lateStarts(Pool_.Pool_);
  Pool_.Store_.readRange(Row.Table_, Row.Part_, Row.Key_, Row.Key_ + '\1',
                         /*MaxRows=*/1,
                         [Weak = weak_from_this()](const StoreRange &Read) {
                           if (auto Self = Weak.lock())
                             Self->onLoaded(Read);
                         });
}

void LateStartRecord::onLoaded(const StoreRange &Read) {
  IsBusy_ = false;
  if (Read.Outcome_ != StoreOutcome::Done) {
    readlog::logPageFailure(Pool_.Logger_, controlrows::lateStarts(Pool_.Pool_),
                            1, Read.Outcome_, Pool_.Clock_.now() - LoadStart_);
    NextCall_ = Pool_.Clock_.now() + RetryDelay;
    return;
  }
  IsLoaded_ = true;
  if (Read.Rows_.empty())
    return;
  RowVersion_ = Read.Rows_.front().Version_;
  auto Row = controlrows::decodeLateStarts(Read.Rows_.front().Value_);
  if (!Row) {
    Pool_.Logger_.write(
        LogLevel::Error,
        LogEvent("late-starts.unreadable").with("pool", Pool_.Pool_));
    return;
  }
  MayNameStarts_ = !Row->TimeLeft_.empty();
  Pool_.LateStarts_.inherit(*Row, PredecessorEnd_.value_or(Pool_.Clock_.now()));
}

void LateStartRecord::write(const LateStartsRow &Next) {
  IsBusy_ = true;
  const StoreKey Row = controlrows::lateStarts(Pool_.Pool_);
  StoreTransaction Transaction;
  Transaction.Expected_ = {{Row, RowVersion_}};
  Transaction.Puts_ = {{Row, controlrows::encode(Next)}};
  Pool_.Store_.transact(
      std::move(Transaction),
      [Weak = weak_from_this(), NamesStarts = !Next.TimeLeft_.empty()](
          const StoreTransactionResult &Result) {
        if (auto Self = Weak.lock())
          Self->onWritten(NamesStarts, Result);
      });
}

void LateStartRecord::onWritten(bool NamesStarts,
                                const StoreTransactionResult &Result) {
  IsBusy_ = false;
  switch (Result.Outcome_) {
  case StoreOutcome::Done:
    RowVersion_ = Result.Version_;
    MayNameStarts_ = NamesStarts;
    return;
  case StoreOutcome::ConditionFailed:
    // An earlier write of this owner, or of a previous one, was applied late.
    RowVersion_ =
        Result.Current_.empty() ? 0 : Result.Current_.front().Version_;
    NextCall_ = Pool_.Clock_.now();
    break;
  default:
    Pool_.Logger_.write(LogLevel::Warning,
                        LogEvent("late-starts.unstored")
                            .with("pool", Pool_.Pool_)
                            .with("outcome", nameOf(Result.Outcome_)));
  }
  MayNameStarts_ = true;
}

} // namespace dragonflylock
