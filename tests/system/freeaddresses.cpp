#include "freeaddresses.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <unistd.h>

namespace dragonflylock {
namespace {

bool isFree(asio::io_context &Context, std::uint16_t Port) {
  asio::ip::tcp::acceptor Acceptor(Context);
  std::error_code Failure;
  Acceptor.open(asio::ip::tcp::v4());
  Acceptor.set_option(asio::socket_base::reuse_address(true));
  Acceptor.bind({asio::ip::make_address("127.0.0.1"), Port}, Failure);
  return !Failure;
}

} // namespace

std::vector<SocketAddress> freeAddresses(std::size_t Count) {
  constexpr std::uint16_t FirstPort = 10'000;
  constexpr std::uint16_t Blocks = 340;
  constexpr std::uint16_t BlockSize = 64;
  asio::io_context Context;
  std::vector<SocketAddress> Addresses;
  auto Block = static_cast<std::uint16_t>(getpid() % Blocks);
  auto Port = static_cast<std::uint16_t>(FirstPort + Block * BlockSize);
  for (; Addresses.size() < Count; ++Port) {
    if (isFree(Context, Port))
      Addresses.push_back({"127.0.0.1", Port});
  }
  return Addresses;
}

} // namespace dragonflylock
