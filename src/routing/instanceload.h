#ifndef DRAGONFLYLOCK_ROUTING_INSTANCELOAD_H
#define DRAGONFLYLOCK_ROUTING_INSTANCELOAD_H

#include "global/iclock.h"
#include "global/socketaddress.h"

#include <cstdint>
#include <string>

namespace dragonflylock {

/// What one entry instance has at an instance.
struct InstanceLoad {
  std::string Id_;
  std::string Zone_;
  SocketAddress Address_;
  /// Whether it is in the entry instance's own zone.
  bool IsOwnZone_ = false;
  /// Offers that have not ended.
  std::uint64_t Outstanding_ = 0;
  /// The instance is not chosen before this time after a failed connection.
  TimePoint BackoffUntil_;
};

} // namespace dragonflylock

#endif
