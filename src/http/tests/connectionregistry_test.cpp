#include "http/internal/connectionregistry.h"
#include "http/internal/trackedsocket.h"

#include <gtest/gtest.h>

#include <asio/io_context.hpp>

#include <thread>
#include <vector>

namespace dragonflylock {
namespace {

TEST(ConnectionRegistryTest, SocketsMayBeDestroyedOnAnyThread) {
  constexpr int Threads = 4;
  constexpr int SocketsPerThread = 20000;
  asio::io_context Context;
  auto &Registry = asio::use_service<ConnectionRegistry>(Context);
  std::vector<std::thread> Users;
  Users.reserve(Threads);
  for (int Number = 0; Number < Threads; ++Number)
    Users.emplace_back([&Context] {
      for (int Each = 0; Each < SocketsPerThread; ++Each)
        TrackedSocket Socket(Context);
    });
  for (int Round = 0; Round < SocketsPerThread; ++Round)
    Registry.closeIdle(std::chrono::milliseconds(0));
  for (std::thread &User : Users)
    User.join();
}

} // namespace
} // namespace dragonflylock
