#include "limits/grantpolicy.h"

#include <gtest/gtest.h>

namespace dragonflylock {
namespace {

constexpr FencingToken Token = 5;

Resources cpu(std::int64_t Amount) { return {Amount, 0, 0}; }

/// Fixture with a customer that may run 32 units of CPU in three pools.
class GrantPolicyTest : public testing::Test {
protected:
  GrantPolicyTest() { Row_.Limit_ = cpu(32); }

  void grant(const std::string &Pool, std::int64_t Held,
             std::int64_t Wanted = 0) {
    Row_.Pools_[Pool] = {Token, cpu(Held), cpu(Wanted),
                         Wanted > 0 ? ++Turn_ : 0};
  }
  static PoolDemand runningOnly(std::int64_t Running) {
    PoolDemand Demand;
    Demand.Running_ = Demand.RecentPeak_ = Demand.SteadyPeak_ =
        Demand.LongPeak_ = cpu(Running);
    return Demand;
  }
  static PoolDemand waiting(std::int64_t Running, std::int64_t Task,
                            std::int64_t Step = 0) {
    PoolDemand Demand = runningOnly(Running);
    Demand.Refused_ = cpu(Task);
    Demand.RefusedTask_ = cpu(Task);
    Demand.Step_ = cpu(std::max(Task, Step));
    return Demand;
  }
  GrantDecision decide(const PoolDemand &Demand, const char *Pool = "east") {
    return GrantPolicy::decide(Pool, Token, Row_, Demand);
  }
  /// \returns the grant after the decision.
  std::int64_t heldAfter(const GrantDecision &Decision,
                         const char *Pool = "east") {
    const GrantRow &Row = Decision.Next_ ? *Decision.Next_ : Row_;
    auto Found = Row.Pools_.find(Pool);
    return Found == Row.Pools_.end() ? 0 : Found->second.Held_.CpuMillis_;
  }

  GrantRow Row_;
  std::uint64_t Turn_ = 0;
};

TEST_F(GrantPolicyTest, TakesWhatIsUnallocated) {
  grant("west", 20);
  EXPECT_EQ(heldAfter(decide(waiting(0, 1, 4))), 4);
  EXPECT_EQ(heldAfter(decide(waiting(0, 1, 100))), 12);
}

// Guards against a sum of grants above the limit.
TEST_F(GrantPolicyTest, AsksWhereNothingIsLeft) {
  grant("west", 32);
  const GrantDecision Decision = decide(waiting(0, 1, 4));
  EXPECT_EQ(heldAfter(Decision), 0);
  EXPECT_TRUE(Decision.IsAtLimit_);
  ASSERT_TRUE(Decision.Next_);
  EXPECT_EQ(Decision.Next_->Pools_.at("east").Wanted_, cpu(4));
}

// Guards against a write in each round while a pool waits.
TEST_F(GrantPolicyTest, AsksOnce) {
  grant("west", 32);
  Row_ = *decide(waiting(0, 1, 4)).Next_;
  EXPECT_FALSE(decide(waiting(0, 1, 8)).Next_);
}

TEST_F(GrantPolicyTest, GivesBackWhatIsUnusedForASecond) {
  grant("east", 20);
  EXPECT_EQ(heldAfter(decide(runningOnly(8))), 10);
  EXPECT_EQ(heldAfter(decide(runningOnly(0))), 0);
}

// Guards against a write for each small change of use.
TEST_F(GrantPolicyTest, KeepsASmallSurplus) {
  grant("east", 10);
  EXPECT_FALSE(decide(runningOnly(7)).Next_);
  EXPECT_TRUE(
      GrantPolicy::isSettled(Row_.Limit_, Row_.Pools_["east"], runningOnly(7)));
}

// Guards against two writes for each task of a customer that rarely runs one.
TEST_F(GrantPolicyTest, KeepsASmallGrantForTasksThatRecur) {
  grant("east", 2);
  PoolDemand Demand = runningOnly(0);
  Demand.LongPeak_ = cpu(2);
  EXPECT_FALSE(decide(Demand).Next_);
  EXPECT_EQ(heldAfter(decide(runningOnly(0))), 0);
}

// Guards against a pool that keeps what it does not use from another one.
TEST_F(GrantPolicyTest, GivesBackAtOnceWhenAnotherPoolAsks) {
  grant("east", 30);
  grant("west", 2, 10);
  PoolDemand Demand = runningOnly(5);
  Demand.SteadyPeak_ = cpu(30);
  EXPECT_EQ(heldAfter(decide(Demand)), 5);
}

// Guards against a pool with endless work that leaves nothing to another one.
TEST_F(GrantPolicyTest, YieldsToAPoolWithLessThanItsShare) {
  grant("east", 32);
  grant("west", 0, 32);
  GrantDecision Decision = decide(waiting(32, 1));
  EXPECT_EQ(heldAfter(Decision), 32); // All of it runs.
  ASSERT_TRUE(Decision.Ceiling_);
  EXPECT_EQ(*Decision.Ceiling_, cpu(16));
  Decision = decide(waiting(20, 1));
  EXPECT_EQ(heldAfter(Decision), 20);
  Decision = decide(waiting(12, 1));
  EXPECT_EQ(heldAfter(Decision), 16);
}

// Guards against a pool that yields much more than another one asks for.
TEST_F(GrantPolicyTest, YieldsNoMoreThanIsAskedFor) {
  grant("east", 32);
  grant("west", 0, 2);
  EXPECT_EQ(*decide(waiting(32, 1)).Ceiling_, cpu(30));
}

// Guards against pools that take back at once what they have just yielded, and
// against a lost owner that never takes its turn.
TEST_F(GrantPolicyTest, LetsPoolsGoFirstThatAskedFirst) {
  grant("west", 0, 10);
  PoolDemand Demand = waiting(0, 10);
  const GrantDecision Decision = decide(Demand);
  EXPECT_EQ(heldAfter(Decision), 0);
  EXPECT_TRUE(Decision.IsDeferred_);
  EXPECT_EQ(Decision.Next_->Pools_.at("east").Turn_, 2U);
  EXPECT_EQ(heldAfter(decide(Demand, "west"), "west"), 10);
  Demand.HasDeferred_ = true;
  EXPECT_EQ(heldAfter(decide(Demand)), 10);
}

// Guards against pools that block each other with rests that no task fits into.
TEST_F(GrantPolicyTest, GivesBackARestThatNoTaskFitsInto) {
  grant("east", 8);
  grant("west", 8, 12);
  grant("north", 8, 12);
  grant("south", 8, 12);
  EXPECT_EQ(heldAfter(decide(waiting(0, 12))), 0);
}

// Guards against a task larger than the limit that never starts.
TEST_F(GrantPolicyTest, GrantsOneTaskThatIsLargerThanTheLimit) {
  GrantDecision Decision = decide(waiting(0, 50));
  EXPECT_EQ(heldAfter(Decision), 50);
  Row_ = *Decision.Next_;
  EXPECT_TRUE(GrantPolicy::mayStart(Row_.Limit_, cpu(50), Row_.sum(), cpu(0),
                                    cpu(50), cpu(50)));
  // Nothing more starts beside it, here and elsewhere.
  EXPECT_FALSE(GrantPolicy::mayStart(Row_.Limit_, cpu(100), Row_.sum(), cpu(50),
                                     cpu(1), cpu(1)));
  EXPECT_EQ(heldAfter(decide(waiting(0, 1), "west"), "west"), 0);
}

// Guards against a gang that exceeds the limit by more than one task.
TEST_F(GrantPolicyTest, GrantsAGangThatExceedsTheLimitByOneTask) {
  PoolDemand Demand = waiting(0, 40);
  Demand.RefusedTask_ = cpu(8);
  EXPECT_EQ(heldAfter(decide(Demand)), 40);
  EXPECT_TRUE(GrantPolicy::mayStart(Row_.Limit_, cpu(40), cpu(40), cpu(0),
                                    cpu(40), cpu(8)));
  Demand.Refused_ = cpu(42);
  Demand.RefusedTask_ = cpu(7);
  EXPECT_EQ(heldAfter(decide(Demand)), 0);
  EXPECT_FALSE(GrantPolicy::mayStart(Row_.Limit_, cpu(50), cpu(50), cpu(0),
                                     cpu(42), cpu(7)));
}

// Guards against a large task that starts beside half of the limit or more.
TEST_F(GrantPolicyTest, GrantsALargeTaskOnlyBelowHalfOfTheLimit) {
  grant("west", 16);
  EXPECT_EQ(heldAfter(decide(waiting(0, 50))), 0);
  grant("west", 15);
  EXPECT_EQ(heldAfter(decide(waiting(0, 50))), 50);
}

// Guards against starts after the limit was lowered below what is granted.
TEST_F(GrantPolicyTest, GivesBackAtOnceWhenTheLimitIsLowered) {
  grant("east", 20);
  grant("west", 10);
  Row_.Limit_ = cpu(8);
  PoolDemand Demand = waiting(6, 1);
  EXPECT_EQ(heldAfter(decide(Demand)), 6);
  EXPECT_TRUE(decide(Demand).IsAtLimit_);
  EXPECT_EQ(heldAfter(decide(runningOnly(6))), 6);
  EXPECT_FALSE(GrantPolicy::mayStart(Row_.Limit_, cpu(20), Row_.sum(), cpu(6),
                                     cpu(1), cpu(1)));
}

// Guards against a limit on running work that does not count what ran before
// there was a limit.
TEST_F(GrantPolicyTest, RecordsWhatRunsBeyondTheGrant) {
  grant("west", 30);
  EXPECT_EQ(heldAfter(decide(runningOnly(10))), 10);
  EXPECT_EQ(heldAfter(decide(waiting(10, 1))), 10);
}

// Guards against a previous owner whose late write changes a grant that its
// successor relies on.
TEST_F(GrantPolicyTest, LeavesTheGrantOfALaterOwnerAlone) {
  Row_.Pools_["east"] = {Token + 1, cpu(10), {}, 0};
  EXPECT_FALSE(decide(runningOnly(0)).Next_);
  EXPECT_FALSE(decide(waiting(0, 1)).Next_);
}

// Guards against an owner that relies on a grant which the previous owner may
// still change.
TEST_F(GrantPolicyTest, ConfirmsAnInheritedGrant) {
  Row_.Pools_["east"] = {Token - 1, cpu(10), {}, 0};
  const GrantDecision Decision = decide(waiting(0, 1));
  ASSERT_TRUE(Decision.Next_);
  EXPECT_EQ(Decision.Next_->Pools_.at("east").Token_, Token);
  EXPECT_EQ(heldAfter(Decision), 10);
}

TEST_F(GrantPolicyTest, IgnoresResourcesWithoutALimit) {
  PoolDemand Demand = waiting(0, 1);
  Demand.Refused_->MemoryMb_ = 1 << 20;
  Demand.Step_.MemoryMb_ = 1 << 20;
  EXPECT_EQ(decide(Demand).Next_->Pools_.at("east").Held_, cpu(1));
}

// Guards against a limit that is enforced in one resource only.
TEST_F(GrantPolicyTest, LimitsEachResource) {
  Row_.Limit_ = {32, 1024, 0};
  Row_.Pools_["west"] = {Token, {4, 1024, 0}, {}, 0};
  PoolDemand Demand = waiting(0, 1);
  Demand.Refused_->MemoryMb_ = 64;
  Demand.Step_.MemoryMb_ = 64;
  const GrantDecision Decision = decide(Demand);
  EXPECT_TRUE(Decision.IsAtLimit_);
  EXPECT_EQ(heldAfter(Decision), 0);
}

} // namespace
} // namespace dragonflylock
