#include "global/tests/mocks/manualclock.h"
#include "sharing/shareorder.h"

#include <gtest/gtest.h>

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;

/// Customers that run tasks of one core and 1 GB in a pool of 100 cores.
class ShareOrderTest : public testing::Test {
protected:
  static Resources tasks(std::int64_t Count) {
    return {Count * 1000, Count * 1000, 0};
  }
  void update(const std::vector<CustomerLoad> &Loads) {
    Order_.update(Loads, Capacity_, Clock_.now());
  }
  bool isExceededBy(const std::string &Customer) const {
    return Order_.shareOf(Customer).IsExceeded_;
  }

  ManualClock Clock_;
  Resources Capacity_{100000, 1000000, 0};
  ShareOrder Order_;
};

// Guards against shares by number of customers instead of by weight.
TEST_F(ShareOrderTest, SharesFollowTheWeights) {
  update({{"a", 3, tasks(70), tasks(50)}, {"b", 1, tasks(30), tasks(50)}});
  EXPECT_FALSE(isExceededBy("a"));
  EXPECT_TRUE(isExceededBy("b"));
  EXPECT_DOUBLE_EQ(Order_.shareOf("a").Fair_, 75000);
  EXPECT_DOUBLE_EQ(Order_.shareOf("b").Fair_, 25000);
}

// Guards against a share that is kept for a customer which does not need it.
TEST_F(ShareOrderTest, WhatOneLeavesGoesToTheOthersByWeight) {
  update({{"idle", 4, tasks(10), {}},
          {"a", 3, tasks(65), tasks(50)},
          {"b", 1, tasks(25), tasks(50)}});
  EXPECT_FALSE(isExceededBy("idle"));
  EXPECT_FALSE(isExceededBy("a"));
  EXPECT_TRUE(isExceededBy("b"));
  EXPECT_DOUBLE_EQ(Order_.shareOf("a").Fair_, 67500);
  EXPECT_DOUBLE_EQ(Order_.shareOf("b").Fair_, 22500);
}

// Guards against customers with little load that are put behind because they
// use more than others with little load, beside one that fills the pool.
TEST_F(ShareOrderTest, OnlyTheCustomerThatFillsThePoolIsBehind) {
  std::vector<CustomerLoad> Loads = {{"hot", 1, tasks(70), tasks(500)}};
  for (int Number = 0; Number < 10; ++Number)
    Loads.push_back(
        {"light" + std::to_string(Number), 1, tasks(Number % 5 + 1), tasks(1)});
  update(Loads);
  EXPECT_TRUE(isExceededBy("hot"));
  for (std::size_t Number = 1; Number < Loads.size(); ++Number)
    EXPECT_FALSE(isExceededBy(Loads[Number].Name_)) << Loads[Number].Name_;
}

// Guards against a single customer that counts as above its share.
TEST_F(ShareOrderTest, ASingleCustomerMayUseThePool) {
  update({{"a", 1, tasks(100), tasks(100)}});
  EXPECT_FALSE(isExceededBy("a"));
  EXPECT_FALSE(isExceededBy("unknown"));
}

// Guards against shares of the processor where another resource is scarce.
TEST_F(ShareOrderTest, TheScarcestResourceDecides) {
  Capacity_ = {1000000, 100000, 0};
  update({{"memory", 1, {1000, 60000, 0}, {1000, 60000, 0}},
          {"cpu", 1, {90000, 30000, 0}, {90000, 30000, 0}}});
  EXPECT_TRUE(isExceededBy("memory"));
  EXPECT_FALSE(isExceededBy("cpu"));
}

// Guards against an idle pool whose capacity goes to one customer only, because
// the starts of a round count after it.
TEST_F(ShareOrderTest, StartsCountAtOnce) {
  update({{"a", 1, {}, tasks(200)}, {"b", 1, {}, tasks(200)}});
  EXPECT_FALSE(isExceededBy("a"));
  EXPECT_TRUE(Order_.addStart("a", tasks(1)));
  EXPECT_TRUE(isExceededBy("a"));
  EXPECT_FALSE(isExceededBy("b"));
  EXPECT_TRUE(Order_.addStart("b", tasks(1)));
  EXPECT_FALSE(isExceededBy("a"));
  EXPECT_FALSE(isExceededBy("b"));
}

// Guards against a customer that fills the pool in short bursts and each time
// counts as one that has used nothing, and against use that counts for ever.
TEST_F(ShareOrderTest, PastUseCountsForAFewSeconds) {
  update({{"burst", 1, tasks(100), {}}});
  Clock_.advance(milliseconds(10000));
  update({{"burst", 1, tasks(20), tasks(100)},
          {"other", 1, tasks(20), tasks(100)}});
  EXPECT_TRUE(isExceededBy("burst"));
  EXPECT_FALSE(isExceededBy("other"));
  Clock_.advance(4 * ShareOrder::UsageDecay);
  update({{"burst", 1, tasks(20), tasks(100)},
          {"other", 1, tasks(25), tasks(100)}});
  EXPECT_FALSE(isExceededBy("burst"));
  EXPECT_TRUE(isExceededBy("other"));
}

// Guards against a division by zero, and a weight of 0 that lets a customer
// starve.
TEST_F(ShareOrderTest, ToleratesNoCapacityAndNoWeight) {
  Capacity_ = {};
  update({{"a", 0, tasks(1), tasks(1)}, {"b", 0, {}, tasks(1)}});
  EXPECT_TRUE(isExceededBy("a"));
  EXPECT_FALSE(isExceededBy("b"));
  update({});
  EXPECT_FALSE(isExceededBy("a"));
}

} // namespace
} // namespace dragonflylock
