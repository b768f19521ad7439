#include "http/internal/serverconnections.h"

#include <gtest/gtest.h>

namespace dragonflylock {
namespace {

using Sockets = std::vector<int>;
using std::chrono::seconds;

/// Two idle connections to the server A, a busy one, and an idle one to B.
class ServerConnectionsTest : public testing::Test {
protected:
  ServerConnectionsTest() {
    for (int Socket : {1, 2, 3})
      Connections_.onBusy(Socket, "A");
    Connections_.onBusy(4, "B");
    for (int Socket : {1, 2, 4})
      Connections_.onIdle(Socket, Start_);
  }

  const ServerConnections::TimePoint Start_ =
      ServerConnections::TimePoint(std::chrono::hours(1));
  ServerConnections Connections_;
};

TEST_F(ServerConnectionsTest, SuspectsIdleConnectionsToTheSameServer) {
  EXPECT_EQ(Connections_.takeSuspects("A", Start_, Start_ + seconds(1)),
            (Sockets{1, 2}));
}

TEST_F(ServerConnectionsTest, TrustsConnectionsOpenedSinceTheLastSuspicion) {
  Connections_.takeSuspects("A", Start_, Start_ + seconds(1));
  Connections_.onBusy(5, "A");
  Connections_.onIdle(5, Start_);
  EXPECT_TRUE(
      Connections_.takeSuspects("A", Start_, Start_ + seconds(2)).empty());
  EXPECT_EQ(
      Connections_.takeSuspects("A", Start_ + seconds(2), Start_ + seconds(3)),
      (Sockets{5}));
}

TEST_F(ServerConnectionsTest, ForgetsClosedConnections) {
  Connections_.onClosed(1);
  EXPECT_EQ(Connections_.takeSuspects("A", Start_, Start_ + seconds(1)),
            (Sockets{2}));
}

// Guards against a server whose connections are taken by clients that don't
// use them any more.
TEST_F(ServerConnectionsTest, FindsConnectionsThatHaveBeenIdleForLong) {
  Connections_.onBusy(2, "A");
  Connections_.onIdle(2, Start_ + seconds(2));
  EXPECT_EQ(Connections_.takeIdleSince(Start_ + seconds(1)), (Sockets{1, 4}));
  EXPECT_TRUE(Connections_.takeIdleSince(Start_ + seconds(1)).empty());
  EXPECT_EQ(Connections_.takeIdleSince(Start_ + seconds(2)), (Sockets{2}));
}

} // namespace
} // namespace dragonflylock
