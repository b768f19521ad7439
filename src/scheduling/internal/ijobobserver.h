#ifndef DRAGONFLYLOCK_SCHEDULING_INTERNAL_IJOBOBSERVER_H
#define DRAGONFLYLOCK_SCHEDULING_INTERNAL_IJOBOBSERVER_H

namespace dragonflylock {

class ActiveJob;

/// Is notified of jobs that change, so that only those have to be evaluated
/// again.
class IJobObserver {
public:
  virtual ~IJobObserver() = default;
  /// Called before the job changes.
  virtual void onJobChanging(ActiveJob &Job) = 0;
};

} // namespace dragonflylock

#endif
