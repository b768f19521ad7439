#include "scheduling/internal/latestartrecord.h"
#include "global/ilogger.h"
#include "global/logevent.h"
#include "scheduling/internal/poolstate.h"
#include "scheduling/internal/readlog.h"
#include "scheduling/istore.h"

#include <algorithm>
#include <utility>

namespace dragonflylock {
namespace {

constexpr std::chrono::milliseconds RetryDelay{100};
/// Interval at which the row is written while it names starts.
constexpr std::chrono::milliseconds WriteInterval{400};
/// Time without a response after which a start is recorded. Nearly all
/// responses arrive sooner.
constexpr std::chrono::milliseconds UsualResponseTime{200};
/// Age up to which a reading of the store's clock is used. Later, the drift of
/// the two clocks could count.
constexpr std::chrono::milliseconds MaxReadingAge{10000};

} // namespace

LateStartRecord::LateStartRecord(PoolState &Pool,
                                 std::optional<TimePoint> PredecessorEnd)
    : Pool_(Pool), PredecessorEnd_(PredecessorEnd), Writer_(Pool.Store_) {}

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
  const LateStartsRow Next = makeRow(UsualResponseTime);
  if (MayNameStarts_ || !Next.TimeLeft_.empty())
    write(Next);
}

std::optional<StorePut> LateStartRecord::rowForRelease() const {
  if (!IsLoaded_)
    return std::nullopt;
  const LateStartsRow Last = makeRow(std::chrono::milliseconds(0));
  if (!MayNameStarts_ && Last.TimeLeft_.empty())
    return std::nullopt;
  return StorePut{controlrows::lateStarts(Pool_.Pool_),
                  controlrows::encode(Last)};
}

LateStartsRow LateStartRecord::makeRow(std::chrono::milliseconds MinAge) const {
  LateStartsRow Row = Pool_.LateStarts_.row(MinAge);
  const TimePoint Now = Pool_.Clock_.now();
  // Counted from the request, the time is not before the real one, so that the
  // next owner does not take the row for older than it is.
  if (ClockReading_ && Now < ClockReading_->RequestedAt_ + MaxReadingAge)
    Row.MadeAt_ = ClockReading_->StoreTime_ +
                  std::chrono::ceil<std::chrono::milliseconds>(
                      Now - ClockReading_->RequestedAt_);
  return Row;
}

void LateStartRecord::readClock(
    TimePoint RequestedAt, std::optional<std::chrono::milliseconds> StoreTime) {
  if (StoreTime)
    ClockReading_ = {RequestedAt, *StoreTime};
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
  readClock(LoadStart_, Read.Now_);
  if (Read.Rows_.empty())
    return;
  Writer_.onRow(Read.Rows_.front());
  auto Row = controlrows::decodeLateStarts(Read.Rows_.front().Value_);
  if (!Row) {
    Pool_.Logger_.write(
        LogLevel::Error,
        LogEvent("late-starts.unreadable").with("pool", Pool_.Pool_));
    return;
  }
  MayNameStarts_ = !Row->TimeLeft_.empty();
  const TimePoint Now = Pool_.Clock_.now();
  TimePoint MadeAt = std::min(Now, PredecessorEnd_.value_or(Now));
  if (Row->MadeAt_ && Read.Now_ && *Read.Now_ > *Row->MadeAt_)
    MadeAt = std::min<TimePoint>(MadeAt, Now - (*Read.Now_ - *Row->MadeAt_));
  Pool_.LateStarts_.inherit(*Row, MadeAt);
}

void LateStartRecord::write(const LateStartsRow &Next) {
  IsBusy_ = true;
  const StoreKey Row = controlrows::lateStarts(Pool_.Pool_);
  Writer_.write(
      Row, controlrows::encode(Next),
      [Weak = weak_from_this(), NamesStarts = !Next.TimeLeft_.empty(),
       RequestedAt = Pool_.Clock_.now()](const StoreTransactionResult &Result) {
        if (auto Self = Weak.lock())
          Self->onWritten(NamesStarts, RequestedAt, Result);
      });
}

void LateStartRecord::onWritten(bool NamesStarts, TimePoint RequestedAt,
                                const StoreTransactionResult &Result) {
  IsBusy_ = false;
  readClock(RequestedAt, Result.Now_);
  switch (Result.Outcome_) {
  case StoreOutcome::Done:
    MayNameStarts_ = NamesStarts;
    return;
  case StoreOutcome::ConditionFailed:
    // An earlier write of this owner, or of a previous one, was applied late.
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
