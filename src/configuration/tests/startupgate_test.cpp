#include "configuration/startupgate.h"

#include <gtest/gtest.h>

namespace dragonflylock {
namespace {

using std::chrono::seconds;

const TimePoint Start = TimePoint(seconds(100));

TEST(StartupGate, OpensAtOnceWithoutPeers) {
  StartupGate Gate(0, Start);
  EXPECT_FALSE(Gate.opensFor(0, Start));
  EXPECT_TRUE(Gate.opensFor(1, Start));
}

TEST(StartupGate, WaitsForEveryPeerButNotForever) {
  StartupGate Gate(2, Start);
  Gate.onPeer("a", 1);
  Gate.onPeer("a", 1);
  EXPECT_FALSE(Gate.opensFor(1, Start + seconds(1)));
  EXPECT_TRUE(Gate.opensFor(1, Start + seconds(2)));
}

TEST(StartupGate, StaysShutWhileAHigherVersionIsKnown) {
  StartupGate Gate(1, Start);
  Gate.onPeer("a", 5);
  EXPECT_FALSE(Gate.opensFor(4, Start + seconds(60)));
  EXPECT_TRUE(Gate.opensFor(5, Start + seconds(60)));
}

TEST(StartupGate, StaysOpen) {
  StartupGate Gate(1, Start);
  Gate.onPeer("a", 1);
  EXPECT_TRUE(Gate.opensFor(1, Start));
  Gate.onPeer("a", 9);
  EXPECT_TRUE(Gate.opensFor(1, Start));
}

} // namespace
} // namespace dragonflylock
