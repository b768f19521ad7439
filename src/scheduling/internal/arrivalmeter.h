#ifndef DRAGONFLYLOCK_SCHEDULING_INTERNAL_ARRIVALMETER_H
#define DRAGONFLYLOCK_SCHEDULING_INTERNAL_ARRIVALMETER_H

#include "global/iclock.h"

#include <map>
#include <string>

namespace dragonflylock {

struct PoolState;

/// Counts the work of a pool's newly accepted jobs, each once. Unlike
/// PoolLoad::ArrivalLoad_, it includes jobs that end within a second, so that
/// the same arrivals count the same whether or not the pool keeps up with them.
class ArrivalMeter {
public:
  explicit ArrivalMeter(const PoolState &Pool) : Pool_(Pool) {}

  /// \returns the work in machine-seconds of the jobs that have appeared since
  ///   the last call. The first call returns 0: the jobs that an owner finds
  ///   have arrived before.
  double takeNewWork();

private:
  const PoolState &Pool_;
  bool HasStarted_ = false;
  /// When each recent job was first seen, by job id.
  std::map<std::string, TimePoint> SeenAt_;
};

} // namespace dragonflylock

#endif
