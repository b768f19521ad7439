#ifndef DRAGONFLYLOCK_FLEET_QUIESCENCETRACKER_H
#define DRAGONFLYLOCK_FLEET_QUIESCENCETRACKER_H

#include "global/iclock.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace dragonflylock {

struct FleetView;

/// Decides when no entry instance can use an instance under an earlier epoch
/// any more.
///
/// Entry instances in the instance's zone use it without a lease, so each of
/// them must acknowledge the epoch. Entry instances in other zones use it under
/// ViewLease: each must acknowledge the epoch, or its lease and then the
/// deadline of its last requests must expire.
class QuiescenceTracker {
public:
  /// The first call for an epoch only records the time and returns false.
  /// \returns whether \p Instance, which is leaving in \p View, is quiescent.
  /// \param Deadline the request deadline of the instance's pool.
  /// \param Now the current time, read after \p View: the epoch must have been
  /// written before \p Now.
  bool isQuiescent(const FleetView &View, const std::string &Instance,
                   std::chrono::milliseconds Deadline, TimePoint Now);

private:
  /// When each epoch was first seen, by instance.
  std::map<std::string, std::pair<std::uint64_t, TimePoint>> FirstSeen_;
};

} // namespace dragonflylock

#endif
