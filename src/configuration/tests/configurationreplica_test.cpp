#include "configuration/configurationreplica.h"
#include "configuration/fleetconfiguration.h"
#include "configuration/internal/yamlconfigurationparser.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

namespace dragonflylock {
namespace {

using Offered = ConfigurationReplica::Offered;

std::string documentOf(ConfigurationVersion Version) {
  return "pools:\n  - name: pool-" + std::to_string(Version) + "\n";
}

TEST(ConfigurationReplica, HasNothingInForceAtFirst) {
  YamlConfigurationParser Parser;
  ConfigurationReplica Replica(Parser);
  EXPECT_EQ(Replica.version(), 0U);
  EXPECT_FALSE(Replica.configuration());
}

TEST(ConfigurationReplica, NeverRevertsInAnyOrderOfArrival) {
  YamlConfigurationParser Parser;
  std::vector<ConfigurationVersion> Order{1, 2, 3, 4};
  do {
    ConfigurationReplica Replica(Parser);
    ConfigurationVersion Highest = 0;
    for (ConfigurationVersion Version : Order) {
      Replica.offer(Version, documentOf(Version), TimePoint());
      Replica.offer(Version, documentOf(Version), TimePoint());
      Highest = std::max(Highest, Version);
      EXPECT_EQ(Replica.version(), Highest);
      EXPECT_EQ(Replica.document(), documentOf(Highest));
    }
  } while (std::next_permutation(Order.begin(), Order.end()));
}

TEST(ConfigurationReplica, KeepsTheVersionInForceWhenAHigherOneIsFaulty) {
  YamlConfigurationParser Parser;
  ConfigurationReplica Replica(Parser);
  Replica.offer(1, documentOf(1), TimePoint());
  EXPECT_EQ(Replica.offer(2, "pools: 3\n", TimePoint()), Offered::Faulty);
  EXPECT_EQ(Replica.version(), 1U);
  EXPECT_EQ(Replica.offer(3, documentOf(3), TimePoint()), Offered::Applied);
}

} // namespace
} // namespace dragonflylock
