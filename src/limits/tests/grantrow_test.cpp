#include "limits/grantrow.h"

#include <gtest/gtest.h>

namespace dragonflylock {
namespace {

GrantRow sample() {
  GrantRow Row;
  Row.ConfigurationVersion_ = 7;
  Row.Limit_ = {8000, 4096, 0};
  Row.Pools_["east"] = {5, {1000, 256, 0}, {3000, 512, 0}, 4};
  Row.Pools_["west"] = {9, {500, 128, 0}, {}, 0};
  return Row;
}

TEST(GrantRow, SurvivesEncoding) {
  const auto Read = grantrows::decode(grantrows::encode(sample()));
  ASSERT_TRUE(Read);
  EXPECT_EQ(*Read, sample());
  EXPECT_EQ(Read->sum(), (Resources{1500, 384, 0}));
}

// Guards against a damaged row that raises a grant: a negative amount of one
// pool would leave more for the others.
TEST(GrantRow, RejectsDamagedText) {
  const std::string Good = grantrows::encode(sample());
  for (std::size_t Length = 0; Length < Good.size(); ++Length)
    EXPECT_FALSE(grantrows::decode(Good.substr(0, Length))) << Length;
  GrantRow Negative = sample();
  Negative.Pools_["east"].Held_.CpuMillis_ = -1;
  EXPECT_FALSE(grantrows::decode(grantrows::encode(Negative)));
  GrantRow Huge = sample();
  Huge.Pools_["east"].Held_.CpuMillis_ = std::int64_t{1} << 60;
  EXPECT_FALSE(grantrows::decode(grantrows::encode(Huge)));
  EXPECT_FALSE(grantrows::decode("{}"));
  EXPECT_FALSE(grantrows::decode("null"));
}

// Guards against a row in a table or part that the nodes do not follow.
TEST(GrantRow, IsInTheControlTable) {
  EXPECT_EQ(grantrows::key("acme"),
            (StoreKey{"dragonflylock-control", "", "limit/acme"}));
}

} // namespace
} // namespace dragonflylock
