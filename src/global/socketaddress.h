#ifndef DRAGONFLYLOCK_GLOBAL_SOCKETADDRESS_H
#define DRAGONFLYLOCK_GLOBAL_SOCKETADDRESS_H

#include "global/result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace dragonflylock {

/// An IP number and a port.
struct SocketAddress {
  std::string Host_;
  std::uint16_t Port_ = 0;

  bool operator==(const SocketAddress &) const = default;

  /// \returns the address as "host:port".
  std::string text() const;
  /// \returns whether only this machine can reach the address.
  bool isLoopback() const;

  /// Reads an address such as "10.0.0.7:8080".
  /// \returns the address, or UnitErrc::NotAnAddress.
  static Result<SocketAddress> parse(std::string_view Text);
};

} // namespace dragonflylock

#endif
