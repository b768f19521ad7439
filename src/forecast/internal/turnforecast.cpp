#include "forecast/turnforecast.h"

#include <algorithm>
#include <sstream>

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;

/// Arrivals are counted per bucket. The phase is known to one bucket.
constexpr milliseconds Bucket{500};
/// Steady and wall clock may differ by this much between two calls. Clock
/// adjustments without jumps stay far below it.
constexpr milliseconds MaxClockStep{250};
/// A pause of the calls after which arrivals may have been missed.
constexpr milliseconds MaxPause{2000};
/// Time after the start of an observation in which a peak may have begun
/// before.
constexpr milliseconds SettleTime{1000};
/// Time from the begin of a peak until it is noticed: two buckets, plus one for
/// the position within a bucket.
constexpr milliseconds DetectionDelay{1500};
/// A shorter period leaves no time to move machines there and back.
constexpr milliseconds MinPeriod{6000};
/// Longer periods are not worth the wait for three peaks.
constexpr milliseconds MaxPeriod{120000};
/// Minimum tolerance for the distance of two peaks. Random arrivals move a
/// detected begin by up to two buckets.
constexpr milliseconds MinTolerance{1000};
/// Tolerance for the distance of two peaks, as a part of the period.
constexpr int ToleranceParts = 10;
/// Ratio up to which the heights of two peaks are similar.
constexpr double MaxHeightRatio = 2;
/// Minimum ratio of a peak's height to the load before it. Dips of an even
/// random load otherwise divide it into peaks.
constexpr double MinGapRatio = 3;
/// A peak begins above and ends below these parts of the recent maximum.
constexpr double BeginRatio = 0.5;
constexpr double EndRatio = 0.4;
/// The maximum halves in about 20 s, so that a single outlier does not hide
/// regular peaks for longer than one or two periods.
constexpr double CeilingDecay = 0.983;
constexpr std::uint32_t PeaksOfNewPattern = 2;
constexpr std::uint32_t PeaksAfterBreak = 3;
/// Predicted peaks in a row that may take place unobserved.
constexpr std::uint32_t MaxUnobserved = 2;

double secondsOf(milliseconds Time) {
  return std::chrono::duration<double>(Time).count();
}

bool areSimilar(double Left, double Right) {
  return Left <= Right * MaxHeightRatio && Right <= Left * MaxHeightRatio;
}

} // namespace

std::optional<TurnForecast> TurnForecast::decode(const std::string &Text,
                                                 milliseconds Wall) {
  std::int64_t Begin = 0;
  std::int64_t Changed = 0;
  std::int64_t Length = 0;
  std::int64_t Period = 0;
  double Height = 0;
  std::uint32_t Peaks = 0;
  bool HasBroken = false;
  std::istringstream Fields(Text);
  Fields >> Begin >> Changed >> Length >> Period >> Height >> Peaks >>
      HasBroken;
  if (Fields.fail() || Length <= 0 || Height <= 0 ||
      Peaks < PeaksOfNewPattern || milliseconds(Period) < MinPeriod ||
      milliseconds(Period) > MaxPeriod || Length > Period || Begin > Changed)
    return std::nullopt;
  const milliseconds Age = Wall - milliseconds(Changed);
  if (Age < -MaxClockStep || Age > milliseconds(Period) * (MaxUnobserved + 1))
    return std::nullopt;
  TurnForecast Forecast;
  Forecast.Last_ = {milliseconds(Begin), milliseconds(Length), Height};
  Forecast.Period_ = milliseconds(Period);
  Forecast.Peaks_ = Peaks;
  Forecast.HasBroken_ = HasBroken;
  Forecast.ChangedAt_ = milliseconds(Changed);
  return Forecast;
}

std::string TurnForecast::encode() const {
  if (Peaks_ < PeaksOfNewPattern)
    return {};
  std::ostringstream Text;
  Text << Last_.Begin_.count() << ' ' << ChangedAt_.count() << ' '
       << Last_.Length_.count() << ' ' << Period_.count() << ' '
       << Last_.Height_ << ' ' << Peaks_ << ' ' << HasBroken_;
  return Text.str();
}

bool TurnForecast::isKnown() const {
  return Peaks_ >= (HasBroken_ ? PeaksAfterBreak : PeaksOfNewPattern);
}

bool TurnForecast::isConfirmed() const {
  return isKnown() && Peaks_ >= PeaksAfterBreak && Matches_ > 0;
}

std::optional<Turn> TurnForecast::turnAt(milliseconds Wall) const {
  if (!isKnown())
    return std::nullopt;
  Turn Next = Last_;
  while (Next.end() <= Wall)
    Next.Begin_ += Period_;
  return Next;
}

milliseconds TurnForecast::tolerance() const {
  return std::max(MinTolerance, Period_ / ToleranceParts);
}

void TurnForecast::dropPattern() {
  if (isKnown())
    HasBroken_ = true;
  Peaks_ = 0;
  Period_ = milliseconds(0);
  Matches_ = 0;
  Unobserved_ = 0;
}

void TurnForecast::restartObservation(milliseconds Wall) {
  ObservedSince_ = Wall;
  Bucket_ = Wall / Bucket;
  BucketWork_ = 0;
  PreviousRate_ = 0;
  Open_.reset();
  GapWork_ = 0;
}

bool TurnForecast::hasClockJumped(milliseconds Wall, TimePoint Now) {
  const milliseconds Offset =
      Wall - std::chrono::duration_cast<milliseconds>(Now.time_since_epoch());
  const bool HasJumped =
      ClockOffset_ && std::chrono::abs(Offset - *ClockOffset_) > MaxClockStep;
  ClockOffset_ = Offset;
  return HasJumped;
}

TurnForecast::Change TurnForecast::record(milliseconds Wall, TimePoint Now,
                                          double Work) {
  const bool WasKnown = isKnown();
  if (hasClockJumped(Wall, Now)) {
    dropPattern();
    restartObservation(Wall);
    Ceiling_ = 0;
  } else if (!ObservedSince_ || Wall >= (Bucket_ + 1) * Bucket + MaxPause) {
    restartObservation(Wall);
  } else {
    closeBuckets(Wall / Bucket);
    dropIfMissed(Wall);
  }
  BucketWork_ += Work;
  if (WasKnown == isKnown())
    return Change::None;
  return WasKnown ? Change::Dropped : Change::Found;
}

void TurnForecast::closeBuckets(std::int64_t Current) {
  while (Bucket_ < Current)
    closeBucket();
}

void TurnForecast::closeBucket() {
  const double Rate = BucketWork_ / secondsOf(Bucket);
  const double Smoothed = (Rate + PreviousRate_) / 2;
  Ceiling_ = std::max(Smoothed, Ceiling_ * CeilingDecay);
  if (Open_)
    continuePeak(Rate, Smoothed);
  else if (Ceiling_ >= MinHeight_ && Smoothed >= MinHeight_ &&
           Smoothed >= Ceiling_ * BeginRatio)
    beginPeak(Rate, Smoothed);
  else
    GapWork_ += Rate * secondsOf(Bucket);
  PreviousRate_ = Rate;
  BucketWork_ = 0;
  ++Bucket_;
}

void TurnForecast::beginPeak(double Rate, double Smoothed) {
  const bool BeganBefore = PreviousRate_ >= Smoothed / 2;
  OpenPeak Peak;
  Peak.Begin_ = (BeganBefore ? Bucket_ - 1 : Bucket_) * Bucket;
  Peak.FirstRate_ = BeganBefore ? PreviousRate_ : Rate;
  Peak.Work_ = (Rate + (BeganBefore ? PreviousRate_ : 0)) * secondsOf(Bucket);
  Peak.IsDated_ = Peak.Begin_ >= *ObservedSince_ + SettleTime;
  if (Peaks_ > 0)
    Peak.GapRate_ =
        GapWork_ / secondsOf(std::max(Peak.Begin_ - Last_.end(), Bucket));
  matchBegin(Peak);
  Open_ = Peak;
}

void TurnForecast::matchBegin(OpenPeak &Peak) {
  if (Peaks_ < PeaksOfNewPattern)
    return;
  const milliseconds Expected = Last_.Begin_ + Period_;
  if (!Peak.IsDated_) {
    Peak.IsIgnored_ = true;
    return;
  }
  if (std::chrono::abs(Peak.Begin_ - Expected) <= tolerance()) {
    Peak.IsMatch_ = true;
    return;
  }
  // Random arrivals may split a peak in two.
  if (Peak.Begin_ < Last_.end() + tolerance()) {
    Peak.IsIgnored_ = true;
    return;
  }
  dropPattern();
}

void TurnForecast::continuePeak(double Rate, double Smoothed) {
  const double Work = Rate * secondsOf(Bucket);
  if (Smoothed >= Ceiling_ * EndRatio && Smoothed >= MinHeight_ * EndRatio) {
    Open_->Work_ += Open_->LowWork_ + Work;
    Open_->LowWork_ = 0;
    Open_->LowSince_.reset();
    return;
  }
  Open_->LowWork_ += Work;
  if (Open_->LowSince_)
    endPeak();
  else
    Open_->LowSince_ = Bucket_ * Bucket;
}

void TurnForecast::endPeak() {
  const OpenPeak Peak = *Open_;
  Open_.reset();
  Turn Ended;
  Ended.Begin_ = Peak.Begin_;
  Ended.Length_ = std::max(*Peak.LowSince_ - Peak.Begin_, Bucket);
  Ended.Height_ = Peak.Work_ / secondsOf(Ended.Length_);
  // The first bucket tells when in its course the peak began.
  const double Late = 1 - std::min(1.0, Peak.FirstRate_ / Ended.Height_);
  Ended.Begin_ += std::chrono::duration_cast<milliseconds>(Bucket * Late);
  const bool IsPartOfLast = Peaks_ == 1 &&
                            Ended.Begin_ - Last_.Begin_ < MinPeriod &&
                            areSimilar(Ended.Height_, Last_.Height_);
  if (Peak.IsIgnored_ || !Peak.IsDated_ || IsPartOfLast) {
    GapWork_ += Peak.Work_ + Peak.LowWork_;
    return;
  }
  GapWork_ = Peak.LowWork_;
  if (Peak.IsMatch_)
    learnFromMatch(Ended, Peak.GapRate_);
  else
    learnFirstPeaks(Ended, Peak.GapRate_);
}

void TurnForecast::learnFirstPeaks(const Turn &Ended, double GapRate) {
  const milliseconds Distance = Ended.Begin_ - Last_.Begin_;
  const bool IsPattern =
      Peaks_ == 1 && Distance >= MinPeriod && Distance <= MaxPeriod &&
      std::max(Ended.Length_, Last_.Length_) * 2 <= Distance &&
      GapRate * MinGapRatio <= Ended.Height_ &&
      areSimilar(Ended.Height_, Last_.Height_);
  Peaks_ = IsPattern ? PeaksOfNewPattern : 1;
  Period_ = IsPattern ? Distance : milliseconds(0);
  Last_ = Ended;
  ChangedAt_ = Bucket_ * Bucket;
}

void TurnForecast::learnFromMatch(const Turn &Ended, double GapRate) {
  if (!areSimilar(Ended.Height_, Last_.Height_) ||
      Ended.Length_ * 2 > Period_) {
    dropPattern();
    learnFirstPeaks(Ended, GapRate);
    return;
  }
  Period_ = (Period_ * 3 + (Ended.Begin_ - Last_.Begin_)) / 4;
  Last_ = {Ended.Begin_, (Ended.Length_ + Last_.Length_) / 2,
           (Ended.Height_ + Last_.Height_) / 2};
  ++Peaks_;
  ++Matches_;
  Unobserved_ = 0;
  ChangedAt_ = Bucket_ * Bucket;
}

void TurnForecast::dropIfMissed(milliseconds Wall) {
  if (Peaks_ < PeaksOfNewPattern ||
      (Open_ && Open_->IsMatch_ && Wall < Open_->Begin_ + Period_))
    return;
  const milliseconds Expected = Last_.Begin_ + Period_;
  if (Wall < Expected + tolerance() + DetectionDelay)
    return;
  // Nobody has seen whether the peak took place.
  if (Expected < *ObservedSince_ + SettleTime + tolerance() &&
      Unobserved_ < MaxUnobserved) {
    ++Unobserved_;
    Last_.Begin_ = Expected;
    ChangedAt_ = Wall;
    return;
  }
  dropPattern();
  if (Open_)
    Open_->IsIgnored_ = true;
}

} // namespace dragonflylock
