#include "scheduling/storecircuitbreaker.h"

namespace dragonflylock {

void StoreCircuitBreaker::record(StoreOutcome Outcome, TimePoint Now) {
  // A failed condition is an answer of a working store.
  if (Outcome == StoreOutcome::Done ||
      Outcome == StoreOutcome::ConditionFailed) {
    Failures_ = 0;
    return;
  }
  if (Failures_++ == 0)
    FirstFailure_ = Now;
  LastFailure_ = Now;
}

bool StoreCircuitBreaker::isOpen(TimePoint Now) const {
  return Failures_ >= MinFailures && Now >= FirstFailure_ + FailureDuration &&
         Now < LastFailure_ + FailureValidity;
}

bool StoreCircuitBreaker::admit(TimePoint Now) {
  if (!isOpen(Now))
    return true;
  if (Now < NextProbe_)
    return false;
  NextProbe_ = Now + ProbeInterval;
  return true;
}

} // namespace dragonflylock
