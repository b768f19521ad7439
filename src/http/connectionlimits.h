#ifndef DRAGONFLYLOCK_HTTP_CONNECTIONLIMITS_H
#define DRAGONFLYLOCK_HTTP_CONNECTIONLIMITS_H

#include <chrono>

namespace dragonflylock {

/// Limits of the connections that a client keeps open.
struct ConnectionLimits {
  /// Connections kept between requests, over all servers.
  long Kept_ = 1024;
  /// Connections to one server, idle ones included; 0 for no limit. Requests
  /// beyond it wait for one.
  long PerServer_ = 0;
  /// Time without a request after which a connection is closed; 0 for never.
  std::chrono::milliseconds IdleTimeout_{0};
};

} // namespace dragonflylock

#endif
