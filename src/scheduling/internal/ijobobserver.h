#ifndef DRAGONFLYLOCK_SCHEDULING_INTERNAL_IJOBOBSERVER_H
#define DRAGONFLYLOCK_SCHEDULING_INTERNAL_IJOBOBSERVER_H

namespace dragonflylock {

class ActiveJob;

/// Is told which jobs change, so that only these have to be looked at.
class IJobObserver {
public:
  virtual ~IJobObserver() = default;
  /// Takes note that the job is about to change.
  virtual void onJobChanging(ActiveJob &Job) = 0;
};

} // namespace dragonflylock

#endif
