#ifndef DRAGONFLYLOCK_ADMISSION_POOLSPEEDMETER_H
#define DRAGONFLYLOCK_ADMISSION_POOLSPEEDMETER_H

#include "global/iclock.h"

#include <cstdint>

namespace dragonflylock {

/// Work of the tasks that a pool has finished, in core-milliseconds.
struct FinishedWork {
  /// By the declared run times.
  std::int64_t Declared_ = 0;
  /// By the times for which the tasks held their cores.
  std::int64_t Occupied_ = 0;
};

/// Measures how much declared work a pool does in a millisecond. Declared run
/// times may be wrong by half or more, and tasks may leave cores unused because
/// another resource is short.
///
/// The declared run times of finished tasks are compared with the actual ones.
/// The work finished in an interval is not used for this, because long tasks
/// that start together finish nothing for a while.
class PoolSpeedMeter {
public:
  /// Adds an observation.
  /// \param Finished sum over all tasks that the pool has finished so far.
  /// \param Cores cores of the workers that may start tasks.
  /// \param BusyCores cores that tasks hold.
  /// \param Waiting declared work that waits, in core-milliseconds.
  void observe(TimePoint Now, const FinishedWork &Finished, double Cores,
               double BusyCores, std::int64_t Waiting);
  /// \returns the declared work that \p Cores do in a millisecond, in
  /// core-milliseconds.
  double speedOf(double Cores) const;
  /// \returns the actual run time of the pool's tasks as a multiple of the
  /// declared one.
  /// \param Cores as for speedOf().
  double runTimeFactor(double Cores) const { return 1 / ratioOf(Cores); }

private:
  /// \returns the ratio of declared to actual run times.
  double ratioOf(double Cores) const;

  TimePoint LastAt_;
  FinishedWork Last_;
  bool HasLast_ = false;
  /// Recent sums, in which older work counts less.
  double Declared_ = 0;
  double Occupied_ = 0;
  /// Share of the cores that is in use while work waits.
  double Utilization_ = 1;
};

} // namespace dragonflylock

#endif
