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

/// Decides when no entry instance can act on an instance's earlier epoch any
/// more.
///
/// Entry instances of the instance's zone act without a lease, so that each
/// of them has to acknowledge. Those of other zones act under ViewLease: each
/// has to acknowledge, or its lease and then its requests' deadlines have to
/// pass.
class QuiescenceTracker {
public:
  /// \returns whether \p Instance, which is leaving in \p View, is quiet.
  /// \param Deadline the deadline of its pool's requests.
  /// \param Now must have been read after \p View was, so that the epoch was
  /// written before it.
  bool isQuiescent(const FleetView &View, const std::string &Instance,
                   std::chrono::milliseconds Deadline, TimePoint Now);

private:
  /// When each epoch was first seen, by instance.
  std::map<std::string, std::pair<std::uint64_t, TimePoint>> FirstSeen_;
};

} // namespace dragonflylock

#endif
