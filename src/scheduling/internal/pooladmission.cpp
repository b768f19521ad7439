#include "scheduling/internal/pooladmission.h"
#include "global/ilogger.h"
#include "global/logevent.h"
#include "scheduling/controlrows.h"
#include "scheduling/schedulingsettings.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace dragonflylock {
namespace {

/// Time without a refusal after which a node counts as accepting again.
constexpr std::chrono::milliseconds OpenAfter{2000};

} // namespace

AdmissionJob admissionJobOf(const QueuePolicy &Policy, const JobSpec &Spec) {
  AdmissionJob Job;
  Job.Priority_ = Policy.Priority_;
  Job.Stretch_ = Policy.Stretch_;
  Job.TargetLatency_ = Policy.TargetLatency_;
  Job.IsExempt_ = Spec.OccurrenceCount_ > 0;
  std::vector<std::chrono::milliseconds> Ends(Spec.Steps_.size());
  for (std::size_t Index = 0; Index < Spec.Steps_.size(); ++Index) {
    const StepSpec &Step = Spec.Steps_[Index];
    for (const std::uint32_t Earlier : Step.After_)
      if (Earlier < Index)
        Ends[Index] = std::max(Ends[Index], Ends[Earlier]);
    Ends[Index] += Step.Estimate_;
    Job.Chain_ = std::max(Job.Chain_, Ends[Index]);
    Job.Work_ += Step.TaskCount_ * Step.Estimate_.count() *
                 Step.PerTask_.CpuMillis_ / 1000;
    Job.IsExempt_ = Job.IsExempt_ || Step.IsLongRunning_ || Step.IsFiller_;
  }
  return Job;
}

PoolAdmission::PoolAdmission(const SchedulingSettings &Settings,
                             const IClock &Clock, ILogger &Logger,
                             OwnerLookup Owner)
    : Settings_(Settings), Clock_(Clock), Logger_(Logger),
      Owner_(std::move(Owner)) {}

void PoolAdmission::onPendingRow(const std::string &Pool, StoreVersion Version,
                                 const PendingRow &Row, bool IsSnapshot) {
  // A row that is read again is as old as when it was read first.
  PoolReport &Of = Pools_[Pool];
  if (Version <= Of.Version_)
    return;
  Of.Version_ = Version;
  Of.Token_ = Row.Token_;
  if (Row.Backlog_ && !IsSnapshot)
    Of.Forecast_.onReport(*Row.Backlog_, Clock_.now());
  else
    Of.Forecast_.clear();
}

void PoolAdmission::tick() {
  for (auto &[Pool, Of] : Pools_) {
    if (Of.Refused_ == 0 || Clock_.now() < Of.LastRefusal_ + OpenAfter)
      continue;
    Logger_.write(LogLevel::Info,
                  LogEvent("admission.open")
                      .with("pool", Pool)
                      .with("refused", std::exchange(Of.Refused_, 0)));
  }
}

std::optional<AdmissionRefusal>
PoolAdmission::refusalOf(const AdmissionOffer &Offer) {
  auto Found = Pools_.find(Offer.Pool_);
  if (!Settings_.RefusesUnderPressure_ || Found == Pools_.end() ||
      Owner_(Offer.Pool_) != Found->second.Token_)
    return std::nullopt;
  return Found->second.Forecast_.refusalOf(
      Offer.Needs_, Offer.Job_, Clock_.now(),
      std::chrono::milliseconds(millisecondsSinceEpoch(Clock_.wallNow())));
}

void PoolAdmission::onRefused(const AdmissionOffer &Offer,
                              const AdmissionRefusal &Refusal) {
  PoolReport &Of = Pools_[Offer.Pool_];
  if (Of.Refused_++ == 0)
    Logger_.write(LogLevel::Warning,
                  LogEvent("admission.closed")
                      .with("pool", Offer.Pool_)
                      .with("token", Of.Token_)
                      .with("report-age", Refusal.ReportAge_));
  Of.LastRefusal_ = Clock_.now();
  Logger_.write(LogLevel::Info,
                LogEvent("admission.refused")
                    .with("job", Offer.Job_)
                    .with("queue", Offer.Queue_)
                    .with("priority", std::uint64_t{Offer.Needs_.Priority_})
                    .with("predicted", Refusal.Predicted_)
                    .with("limit", Refusal.Limit_)
                    .with("report-age", Refusal.ReportAge_)
                    .with("retry-after", Refusal.RetryAfter_));
}

void PoolAdmission::onAccepted(const AdmissionOffer &Offer) {
  auto Found = Pools_.find(Offer.Pool_);
  if (Settings_.RefusesUnderPressure_ && Found != Pools_.end())
    Found->second.Forecast_.onAccepted(Offer.Needs_);
}

} // namespace dragonflylock
