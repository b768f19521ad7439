#ifndef DRAGONFLYLOCK_ADMISSION_ADMISSIONFORECAST_H
#define DRAGONFLYLOCK_ADMISSION_ADMISSIONFORECAST_H

#include "admission/poolbacklog.h"
#include "global/iclock.h"

#include <chrono>
#include <map>
#include <optional>
#include <string_view>

namespace dragonflylock {

struct AdmissionJob;

/// Why a job is refused, and when to send it again.
struct AdmissionRefusal {
  /// Time from now to the predicted end of the job.
  std::chrono::milliseconds Predicted_{0};
  /// Time from now after which the job's end is worth nothing.
  std::chrono::milliseconds Limit_{0};
  /// Age of the report that the prediction is based on.
  std::chrono::milliseconds ReportAge_{0};
  /// Time after which to send the job again, in whole seconds.
  std::chrono::milliseconds RetryAfter_{0};
};

/// Predicts when a job that is submitted to a pool would end, and tells which
/// jobs to refuse because their end would be worth nothing by then. Answers for
/// peaks of load of several times the pool's capacity, in which work that is
/// accepted without a limit makes every job late.
///
/// The prediction errs on the early side: a job that is refused in vain costs
/// its caller more than one that is accepted in vain costs the pool.
class AdmissionForecast {
public:
  /// Age from which on a report decides nothing.
  static constexpr std::chrono::milliseconds MaxReportAge{3000};

  /// Sets the latest report of the pool's owner.
  /// \param ReceivedAt when this node received it.
  void onReport(PoolBacklog Report, TimePoint ReceivedAt);
  /// Called when the owner has reported that there is no backlog.
  void clear();
  /// Called when this node has stored the submission of a job of the pool.
  void onAccepted(const AdmissionJob &Job);

  /// Decides on a job that is submitted at \p Now.
  /// \param Id the job's id, which spreads the retries of callers over time.
  /// \param Wall the time since 1970 on this node's clock. A report that is too
  ///   old by it was received late and decides nothing either.
  /// \returns why the job is refused, or nothing if it is to be accepted.
  std::optional<AdmissionRefusal>
  refusalOf(const AdmissionJob &Job, std::string_view Id, TimePoint Now,
            std::chrono::milliseconds Wall) const;

private:
  /// Work that goes before a job, in core-milliseconds.
  struct WorkAhead {
    /// While the job is on time.
    double IfOnTime_ = 0;
    /// Once the job is late.
    double IfLate_ = 0;
    /// Work that arrives in one millisecond and goes before the job while it is
    /// on time, and once it is late.
    double ArrivingIfOnTime_ = 0;
    double ArrivingIfLate_ = 0;
    /// Age of the place that starts next in the job's priority; see
    /// PriorityBacklog.
    double FrontAge_ = 0;
  };
  WorkAhead workAhead(const AdmissionJob &Job,
                      std::chrono::milliseconds Age) const;

  std::optional<PoolBacklog> Report_;
  TimePoint ReceivedAt_;
  /// Work that this node has accepted since the report, by priority. Places
  /// count from the acceptance.
  std::map<std::uint32_t, WorkByUrgency> Accepted_;
};

} // namespace dragonflylock

#endif
