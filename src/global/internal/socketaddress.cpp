#include "global/socketaddress.h"
#include "global/globalerrors.h"
#include "global/units.h"

#include <arpa/inet.h>

#include <limits>
#include <string>
#include <utility>

namespace dragonflylock {
namespace {

Error notAnAddress(std::string_view Text) {
  return {UnitErrc::NotAnAddress,
          "'" + std::string(Text) + "' is not an address",
          "write an IPv4 number and a port, such as 127.0.0.1:8080"};
}

bool isIpNumber(const std::string &Host) {
  in_addr Parsed{};
  return inet_pton(AF_INET, Host.c_str(), &Parsed) == 1;
}

} // namespace

std::string SocketAddress::text() const {
  return Host_ + ":" + std::to_string(Port_);
}

bool SocketAddress::isLoopback() const { return Host_.starts_with("127."); }

Result<SocketAddress> SocketAddress::parse(std::string_view Text) {
  auto Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return notAnAddress(Text);
  std::string Host(Text.substr(0, Colon));
  auto Port = parseNumber(Text.substr(Colon + 1));
  if (!isIpNumber(Host) || !Port ||
      Port.value() > std::numeric_limits<std::uint16_t>::max())
    return notAnAddress(Text);
  return SocketAddress{std::move(Host),
                       static_cast<std::uint16_t>(Port.value())};
}

} // namespace dragonflylock
