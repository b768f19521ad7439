#ifndef DRAGONFLYLOCK_ROUTING_INSTANCELOAD_H
#define DRAGONFLYLOCK_ROUTING_INSTANCELOAD_H

#include "global/iclock.h"
#include "global/socketaddress.h"

#include <cstdint>
#include <string>

namespace dragonflylock {

/// The address of an instance and the load that this entry instance puts on
/// it.
struct InstanceLoad {
  std::string Id_;
  std::string Zone_;
  SocketAddress Address_;
  /// Whether the instance is in the zone of this entry instance.
  bool IsOwnZone_ = false;
  /// Number of offers in flight.
  std::uint64_t Outstanding_ = 0;
  /// The instance is not selected before this time, because an offer to it
  /// ended before a byte was sent or the outlier detector ejected it.
  TimePoint BackoffUntil_;
};

} // namespace dragonflylock

#endif
