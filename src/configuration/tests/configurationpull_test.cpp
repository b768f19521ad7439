#include "configuration/configurationpull.h"

#include <gtest/gtest.h>

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;

const TimePoint Start = TimePoint(milliseconds(100'000));

TEST(ConfigurationPull, AsksNobodyWhereThePlatformDelivers) {
  ConfigurationPull Pull;
  Pull.onPeer("a", 2, Start);
  EXPECT_FALSE(Pull.due(1, Start + milliseconds(500)));
  EXPECT_FALSE(Pull.due(2, Start + milliseconds(5'000)));
}

TEST(ConfigurationPull, AsksOnePeerAndRepeats) {
  ConfigurationPull Pull;
  Pull.onPeer("a", 2, Start);
  Pull.onPeer("b", 2, Start + milliseconds(10));
  EXPECT_EQ(Pull.due(1, Start + milliseconds(1'000)), "a");
  EXPECT_FALSE(Pull.due(1, Start + milliseconds(1'500)));
  EXPECT_EQ(Pull.due(1, Start + milliseconds(2'000)), "a");
}

TEST(ConfigurationPull, AsksForTheHighestVersion) {
  ConfigurationPull Pull;
  Pull.onPeer("a", 2, Start);
  Pull.onPeer("b", 3, Start);
  EXPECT_EQ(Pull.due(2, Start + milliseconds(1'000)), "b");
}

TEST(ConfigurationPull, IsUrgentWithoutAnyVersion) {
  ConfigurationPull Pull;
  EXPECT_FALSE(Pull.due(0, Start));
  Pull.onPeer("a", 1, Start);
  EXPECT_EQ(Pull.due(0, Start + milliseconds(100)), "a");
}

} // namespace
} // namespace dragonflylock
