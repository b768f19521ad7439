#ifndef DRAGONFLYLOCK_ADMISSION_ADMISSIONJOB_H
#define DRAGONFLYLOCK_ADMISSION_ADMISSIONJOB_H

#include <chrono>
#include <cstdint>

namespace dragonflylock {

/// What admission needs to know of a submitted job.
struct AdmissionJob {
  /// Priority of its queue; 0 is the highest.
  std::uint32_t Priority_ = 0;
  /// Declared run time of the longest chain of dependent steps.
  std::chrono::milliseconds Chain_{0};
  /// Declared work of all tasks, in core-milliseconds.
  std::int64_t Work_ = 0;
  /// Factor on the chain in the job's objective.
  double Stretch_ = 1.0;
  std::chrono::milliseconds TargetLatency_{0};
  /// Whether the job has no objective that admission could judge, because it
  /// runs until it is cancelled or has due times.
  bool IsExempt_ = false;

  /// \returns the time from the submission within which the job is to end.
  std::chrono::milliseconds objective() const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(Stretch_ *
                                                                 Chain_) +
           TargetLatency_;
  }
};

} // namespace dragonflylock

#endif
