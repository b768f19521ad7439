#include "fleet/availabilitybudget.h"

#include <gtest/gtest.h>

namespace dragonflylock {
namespace {

TEST(AvailabilityBudget, RoundsRequiredMembersUp) {
  AvailabilityBudget Budget(0.75, 0);
  EXPECT_EQ(Budget.requiredInService(8), 6U);
  EXPECT_EQ(Budget.requiredInService(9), 7U);
  EXPECT_EQ(Budget.requiredInService(0), 0U);
}

TEST(AvailabilityBudget, CountsFailuresAndTheReserve) {
  AvailabilityBudget Budget(0.75, 1);
  EXPECT_TRUE(Budget.allowsDisruption({8, 0, 0, 1}));
  EXPECT_FALSE(Budget.allowsDisruption({8, 1, 0, 1}));
  EXPECT_FALSE(Budget.allowsDisruption({8, 0, 1, 1}));
  EXPECT_TRUE(Budget.allowsDisruption({12, 1, 0, 1}));
  EXPECT_FALSE(Budget.allowsDisruption({12, 2, 0, 1}));
}

TEST(AvailabilityBudget, KeepsRequiredMembersForAnyCount) {
  constexpr std::size_t MaxMembers = 20;
  for (std::size_t Members = 0; Members <= MaxMembers; ++Members)
    for (std::size_t Out = 0; Out <= Members; ++Out)
      for (std::size_t Failed = 0; Out + Failed <= Members; ++Failed)
        for (std::size_t Reserve : {0U, 1U, 4U}) {
          AvailabilityBudget Budget(0.8, Reserve);
          if (!Budget.allowsDisruption({Members, Out, Failed, Reserve}))
            continue;
          std::size_t Left = Members - Out - Failed - 1 - Reserve;
          EXPECT_GE(Left, Budget.requiredInService(Members));
        }
}

} // namespace
} // namespace dragonflylock
