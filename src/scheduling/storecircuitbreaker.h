#ifndef DRAGONFLYLOCK_SCHEDULING_STORECIRCUITBREAKER_H
#define DRAGONFLYLOCK_SCHEDULING_STORECIRCUITBREAKER_H

#include "global/iclock.h"
#include "scheduling/storetypes.h"

#include <chrono>
#include <cstdint>

namespace dragonflylock {

/// Decides whether a submission is tried while the store fails. Without this,
/// each submission is retried until its own timeout, and its caller, whom
/// another node could serve or who could come back later, waits for nothing.
/// Meant for a store that is away, or refuses this node, for longer than
/// FailureDuration; while it fails single calls, all submissions are tried.
class StoreCircuitBreaker {
public:
  /// Time without a successful call after which the store counts as away.
  static constexpr std::chrono::milliseconds FailureDuration{600};
  /// Failed calls in that time before the store counts as away.
  static constexpr std::uint32_t MinFailures = 3;
  /// Time after the last failed call from which on it says nothing about the
  /// store any more.
  static constexpr std::chrono::milliseconds FailureValidity{1500};
  /// Interval of the calls that find out whether the store is back.
  static constexpr std::chrono::milliseconds ProbeInterval{200};

  /// Records the outcome of a write that ended at \p Now.
  void record(StoreOutcome Outcome, TimePoint Now);
  /// \returns whether a call may be made at \p Now: always while the store
  ///   works, one for each probe interval otherwise.
  bool admit(TimePoint Now);
  /// \returns whether the store counts as away at \p Now.
  bool isOpen(TimePoint Now) const;

private:
  std::uint32_t Failures_ = 0;
  /// When the first call failed after the last successful one.
  TimePoint FirstFailure_;
  TimePoint LastFailure_;
  TimePoint NextProbe_;
};

} // namespace dragonflylock

#endif
