#ifndef DRAGONFLYLOCK_SCHEDULING_INTERNAL_WAITINGJOB_H
#define DRAGONFLYLOCK_SCHEDULING_INTERNAL_WAITINGJOB_H

#include "global/iclock.h"
#include "global/resources.h"

namespace dragonflylock {

class ActiveJob;

/// What a job's startable tasks wait for, as ShareTracker counts it.
struct WaitingJob {
  ActiveJob *Job_ = nullptr;
  /// Sum over the startable tasks.
  Resources Needed_;
  /// When the job became startable, started a task or lost its turn, whichever
  /// was last.
  TimePoint Since_;
  /// Whether the tracker counts the job.
  bool IsCounted_ = false;
};

} // namespace dragonflylock

#endif
