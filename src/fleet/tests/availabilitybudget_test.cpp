#include "fleet/availabilitybudget.h"

#include <gtest/gtest.h>

namespace dragonflylock {
namespace {

TEST(AvailabilityBudget, RoundsThePromiseUp) {
  AvailabilityBudget Budget(0.75, 0);
  EXPECT_EQ(Budget.required(8), 6U);
  EXPECT_EQ(Budget.required(9), 7U);
  EXPECT_EQ(Budget.required(0), 0U);
}

TEST(AvailabilityBudget, CountsFailuresAndTheReserve) {
  AvailabilityBudget Budget(0.75, 1);
  EXPECT_TRUE(Budget.mayTakeOut({8, 0, 0, 1}));
  EXPECT_FALSE(Budget.mayTakeOut({8, 1, 0, 1}));
  EXPECT_FALSE(Budget.mayTakeOut({8, 0, 1, 1}));
  EXPECT_TRUE(Budget.mayTakeOut({12, 1, 0, 1}));
  EXPECT_FALSE(Budget.mayTakeOut({12, 2, 0, 1}));
}

TEST(AvailabilityBudget, NeverBreaksThePromiseForAnyCount) {
  constexpr std::size_t Most = 20;
  for (std::size_t Members = 0; Members <= Most; ++Members)
    for (std::size_t Out = 0; Out <= Members; ++Out)
      for (std::size_t Failed = 0; Out + Failed <= Members; ++Failed)
        for (std::size_t Reserve : {0U, 1U, 4U}) {
          AvailabilityBudget Budget(0.8, Reserve);
          if (!Budget.mayTakeOut({Members, Out, Failed, Reserve}))
            continue;
          std::size_t Left = Members - Out - Failed - 1 - Reserve;
          EXPECT_GE(Left, Budget.required(Members));
        }
}

} // namespace
} // namespace dragonflylock
