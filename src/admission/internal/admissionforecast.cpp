#include "admission/admissionforecast.h"
#include "admission/admissionjob.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;

/// Multiple of its objective after which a job's end is worth nothing.
constexpr int WorthlessFactor = 3;
/// A job is refused if its predicted end exceeds the limit by this factor and
/// this time. The prediction assumes that work divides over all cores.
constexpr double MarginFactor = 1.15;
constexpr double MarginMs = 100;
/// Time for which the arrivals that the owner has measured are taken to go on:
/// the time over which it measures them.
constexpr double ArrivalPersistenceMs = 1000;
/// Longest part of a report's age for which the measured arrivals count.
constexpr milliseconds MaxArrivalTime{1000};
/// Factor on the predicted share of jobs that start on time. With 1.25, the
/// pool served up to a fifth fewer jobs in time than without admission, because
/// the prediction is late by the age of the report.
constexpr double AcceptedExcess = 2;
/// Difference between two places in the dispatch order that the report can
/// tell.
constexpr double FrontToleranceMs = 50;
/// Multiple of its slack that a job has to wait at most while it is on time for
/// the age of the front to count. In a sudden burst the front is still young.
constexpr double BurstFactor = 5;
/// Work left to running tasks, in milliseconds of the whole pool, that does not
/// delay a job: when the job starts, other tasks run that have as much left.
constexpr double UsualRunningMs = 400;
constexpr double ShortestRetryMs = 1000;
/// The longest time that a caller is told to wait before its retry is spread.
constexpr double LongestRetryMs = 30000;
/// Least time over which retries are spread. "Retry-After" has whole seconds.
constexpr double ShortestSpreadMs = 2000;

/// \returns a number from 0 to 1 that depends only on \p Id and \p Report.
double fractionOf(std::string_view Id, milliseconds Report) {
  // FNV-1a, followed by a multiplication that mixes the upper bits.
  std::uint64_t Hash =
      14695981039346656037ULL ^ static_cast<std::uint64_t>(Report.count());
  for (const char Each : Id) {
    Hash ^= static_cast<unsigned char>(Each);
    Hash *= 1099511628211ULL;
  }
  Hash ^= Hash >> 32U;
  Hash *= 0x9E3779B97F4A7C15ULL;
  return static_cast<double>(Hash >> 11U) / 9007199254740992.0;
}

/// \returns the time in milliseconds after which \p Ahead core-milliseconds and
/// the work that goes ahead of the job when it arrives have been served.
/// \param Arriving core-milliseconds that arrive in a millisecond.
double startAfter(double Ahead, double Arriving, double Speed) {
  const double Net = Speed - Arriving;
  if (Net > 0 && Ahead <= Net * ArrivalPersistenceMs)
    return Ahead / Net;
  return (Ahead + Arriving * ArrivalPersistenceMs) / Speed;
}

/// \returns the share of jobs to accept although they are worth nothing unless
/// they start on time.
///
/// The pool starts the jobs that are still on time in the order of their
/// arrival. While more arrive than it serves, each of them waits until about
/// its latest start, and the share that gets a core by then is \p Slack /
/// \p Start. The exponent keeps the accepted work near the capacity for any
/// overload, since accepting fewer also shortens \p Start.
double chanceToBeOnTime(double Start, double Slack) {
  if (Start <= 0)
    return 1;
  return std::pow(std::min(1.0, AcceptedExcess * Slack / Start), 3);
}

milliseconds roundUpToSeconds(double Milliseconds) {
  return milliseconds(
      1000 * static_cast<std::int64_t>(std::ceil(Milliseconds / 1000)));
}

} // namespace

void AdmissionForecast::onReport(PoolBacklog Report, TimePoint ReceivedAt) {
  Report_ = std::move(Report);
  ReceivedAt_ = ReceivedAt;
  Accepted_.clear();
}

void AdmissionForecast::clear() {
  Report_.reset();
  Accepted_.clear();
}

void AdmissionForecast::onAccepted(const AdmissionJob &Job) {
  if (Report_ && !Job.IsExempt_)
    Accepted_[Job.Priority_].add(urgencyDelayOf(Job.Work_), Job.Work_);
}

AdmissionForecast::WorkAhead
AdmissionForecast::workAhead(const AdmissionJob &Job, milliseconds Age) const {
  const milliseconds Place = urgencyDelayOf(Job.Work_);
  const milliseconds ArrivalTime = std::min(Age, MaxArrivalTime);
  WorkAhead Ahead;
  double Running = 0;
  for (const auto &[Priority, Each] : Report_->Priorities_) {
    if (Priority > Job.Priority_)
      break;
    auto Found = Accepted_.find(Priority);
    const WorkByUrgency Accepted =
        Found == Accepted_.end() ? WorkByUrgency() : Found->second;
    const auto Arriving = static_cast<double>(Each.ArrivingPerSecond_.total());
    // The measured arrivals include what is refused by now, so that they count
    // for no more than what the pool has served.
    const double SinceReport =
        std::max(static_cast<double>(Accepted.total()),
                 std::min(Arriving / 1000, Report_->Speed_) *
                     static_cast<double>(ArrivalTime.count()));
    Running += static_cast<double>(Each.Running_);
    const auto OnTime = static_cast<double>(Each.OnTime_.total());
    Ahead.ArrivingIfLate_ += Arriving / 1000;
    if (Priority < Job.Priority_) {
      const double All =
          OnTime + static_cast<double>(Each.Late_.total()) + SinceReport;
      Ahead.IfOnTime_ += All;
      Ahead.IfLate_ += All;
      Ahead.ArrivingIfOnTime_ += Arriving / 1000;
      continue;
    }
    // The job's place counts from now, those of the report from its time.
    const milliseconds PlaceInReport = Place + Age;
    const double Before = Each.OnTime_.before(PlaceInReport);
    const double AcceptedBefore =
        std::max(Accepted.before(Place),
                 std::min(SinceReport, Each.ArrivingPerSecond_.arrivingBefore(
                                           PlaceInReport, ArrivalTime)));
    Ahead.FrontAge_ = static_cast<double>(Each.FrontAge_.count());
    Ahead.IfOnTime_ += Before + AcceptedBefore;
    Ahead.IfLate_ += OnTime + Each.Late_.before(PlaceInReport) + SinceReport;
  }
  const double LongRunning =
      std::max(0.0, Running - UsualRunningMs * Report_->Speed_);
  Ahead.IfOnTime_ += LongRunning;
  Ahead.IfLate_ += LongRunning;
  const double Done = Report_->Speed_ * static_cast<double>(Age.count());
  Ahead.IfOnTime_ = std::max(0.0, Ahead.IfOnTime_ - Done);
  Ahead.IfLate_ = std::max(0.0, Ahead.IfLate_ - Done);
  return Ahead;
}

std::optional<AdmissionRefusal>
AdmissionForecast::refusalOf(const AdmissionJob &Job, std::string_view Id,
                             TimePoint Now, milliseconds Wall) const {
  if (Job.IsExempt_ || !Report_ || Report_->Speed_ <= 0)
    return std::nullopt;
  const auto Age =
      std::max(milliseconds(0),
               std::chrono::duration_cast<milliseconds>(Now - ReceivedAt_));
  if (std::max(Age, Wall - Report_->MeasuredAt_) > MaxReportAge)
    return std::nullopt;
  const double Speed = Report_->Speed_;
  const double RunTime = std::max(Report_->RunTimeFactor_ *
                                      static_cast<double>(Job.Chain_.count()),
                                  static_cast<double>(Job.Work_) / Speed);
  const auto Objective = static_cast<double>(Job.objective().count());
  const double Limit = WorthlessFactor * Objective;
  const double Refused = Limit * MarginFactor + MarginMs;
  // A job without an objective is never late, and no capacity that becomes free
  // could help one that takes longer than the limit in an empty pool.
  if (Objective <= 0 || RunTime > Refused)
    return std::nullopt;
  const WorkAhead Ahead = workAhead(Job, Age);
  const double StartIfLate =
      startAfter(Ahead.IfLate_, Ahead.ArrivingIfLate_, Speed);
  if (StartIfLate + RunTime <= Refused)
    return std::nullopt;
  const double Slack = std::max(0.0, Objective - RunTime);
  const double StartIfOnTime =
      startAfter(Ahead.IfOnTime_, Ahead.ArrivingIfOnTime_, Speed);
  const double LatestAge =
      Slack - static_cast<double>(urgencyDelayOf(Job.Work_).count());
  if (LatestAge > Ahead.FrontAge_ + FrontToleranceMs &&
      StartIfOnTime < BurstFactor * Slack)
    return std::nullopt;
  if (fractionOf(Id, Report_->MeasuredAt_) <
      chanceToBeOnTime(StartIfOnTime, Slack))
    return std::nullopt;
  AdmissionRefusal Refusal;
  Refusal.Predicted_ =
      milliseconds(static_cast<std::int64_t>(StartIfLate + RunTime));
  Refusal.Limit_ = milliseconds(static_cast<std::int64_t>(Limit));
  Refusal.ReportAge_ = Age;
  const double Wait = std::clamp(
      startAfter(Ahead.IfOnTime_, Ahead.ArrivingIfLate_, Speed) - Slack,
      ShortestRetryMs, LongestRetryMs);
  const double Spread =
      std::max(ShortestSpreadMs, Wait) * fractionOf(Id, milliseconds(0));
  Refusal.RetryAfter_ = roundUpToSeconds(Wait + Spread);
  return Refusal;
}

} // namespace dragonflylock
