#include "limits/tests/mocks/limitfleet.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds Step{20};
const Resources Task{1, 0, 0};

/// Owners of the pools "p0" to "p3", each on a node of its own, with one store
/// that answers at once. A customer may run 32 tasks.
class LimitLedgerTest : public testing::Test {
protected:
  LimitLedgerTest() {
    for (int Number = 0; Number < 4; ++Number) {
      Names_.push_back("p" + std::to_string(Number));
      Nodes_.push_back(std::make_unique<LimitNode>(Store_, Clock_, Logger_));
    }
    configure(32);
    for (std::size_t Number = 0; Number < Nodes_.size(); ++Number)
      Nodes_[Number]->acquire(Names_[Number], 1 + Number);
  }

  void configure(std::int64_t Limit) {
    ++Version_;
    for (auto &Node : Nodes_)
      Node->Ledger_->onConfiguration(
          limitsOf(Version_, {{"acme", {Limit, 0, 0}}}, Names_));
  }
  /// Plays \p Time; \p Work is called for each step before the ledgers write.
  void play(
      milliseconds Time, const std::function<void()> &Work = [] {}) {
    for (milliseconds Passed{0}; Passed < Time; Passed += Step) {
      Clock_.advance(Step);
      for (auto &Node : Nodes_)
        if (Node->IsFollowing_)
          deliverRows(*Node, Store_.Rows_, Store_.Version_);
      Work();
      for (auto &Node : Nodes_)
        Node->tick();
      Most_ = std::max(Most_, running());
    }
  }
  /// \returns the work of a pool that always has tasks to start.
  std::function<void()> backlogIn(std::size_t Pool) {
    return [this, Pool] {
      Nodes_[Pool]->startUpTo(1000, Names_[Pool], "acme", Task);
    };
  }
  std::int64_t running() const {
    std::int64_t Sum = 0;
    for (const auto &Node : Nodes_)
      Sum += Node->sum("acme").CpuMillis_;
    return Sum;
  }
  std::size_t running(std::size_t Pool) {
    return Nodes_[Pool]->running(Names_[Pool], "acme");
  }
  GrantRow row() const {
    auto Found = Store_.Rows_.find(grantrows::key("acme"));
    return Found == Store_.Rows_.end()
               ? GrantRow()
               : grantrows::decode(Found->second.Value_).value();
  }
  std::int64_t held(const std::string &Pool) const {
    const GrantRow Row = row();
    auto Found = Row.Pools_.find(Pool);
    return Found == Row.Pools_.end() ? 0 : Found->second.Held_.CpuMillis_;
  }
  std::size_t calls() { return Store_.Calls_[grantrows::key("acme")]; }

  ManualClock Clock_;
  InstantStore Store_;
  EventRecorder Logger_;
  std::vector<std::string> Names_;
  std::vector<std::unique_ptr<LimitNode>> Nodes_;
  std::uint64_t Version_ = 0;
  std::int64_t Most_ = 0;
};

// Guards against a customer that runs more than its limit because each owner
// counts only its own pool.
TEST_F(LimitLedgerTest, HoldsTheLimitOverAllPools) {
  play(milliseconds(3000), [this] {
    for (std::size_t Pool = 0; Pool < 4; ++Pool)
      backlogIn(Pool)();
  });
  EXPECT_EQ(Most_, 32);
  EXPECT_EQ(running(), 32);
}

// Guards against starts before the owner knows that its view of the grant is
// current.
TEST_F(LimitLedgerTest, StartsNothingBeforeAGrantIsConfirmed) {
  EXPECT_FALSE(Nodes_[0]->start("p0", "acme", Task));
  Store_.Outcome_ = StoreOutcome::NotDone;
  play(milliseconds(1000), backlogIn(0));
  EXPECT_EQ(running(), 0);
  Store_.Outcome_ = StoreOutcome::Done;
  play(milliseconds(2000), backlogIn(0));
  EXPECT_EQ(running(), 32);
}

TEST_F(LimitLedgerTest, LeavesCustomersWithoutALimitAlone) {
  EXPECT_TRUE(Nodes_[0]->start("p0", "birch", {1000000, 1000000, 8}));
  EXPECT_TRUE(Nodes_[0]->start("p0", "", {1000000, 1000000, 8}));
  play(milliseconds(1000));
  EXPECT_TRUE(Store_.Calls_.empty());
}

// Guards against a cut-off owner that stops, or that starts more than it was
// granted.
TEST_F(LimitLedgerTest, GoesOnWithinTheGrantWhileTheStoreIsUnreachable) {
  play(milliseconds(1000), [this] {
    Nodes_[0]->startUpTo(8 - std::min<std::size_t>(8, running(0)), "p0", "acme",
                         Task);
  });
  ASSERT_EQ(running(0), 8U);
  const std::int64_t Held = held("p0");
  ASSERT_GE(Held, 8);
  for (const StoreOutcome Failure :
       {StoreOutcome::NotDone, StoreOutcome::Unknown}) {
    Store_.Outcome_ = Failure;
    Nodes_[0]->end("p0", "acme", 4);
    play(milliseconds(500), backlogIn(0));
    EXPECT_EQ(static_cast<std::int64_t>(running(0)), Held);
  }
}

// Guards against an outage of the store in which every owner repeats its calls
// as fast as it can.
TEST_F(LimitLedgerTest, RepeatsUnansweredWritesRarely) {
  Store_.Outcome_ = StoreOutcome::Unknown;
  play(milliseconds(10000), backlogIn(0));
  EXPECT_LE(calls(), 12U);
}

// Guards against a lost owner whose runs no longer count, and against a grant
// that nobody can use again.
TEST_F(LimitLedgerTest, NextOwnerInheritsTheGrant) {
  play(milliseconds(2000), backlogIn(0));
  ASSERT_EQ(running(0), 32U);
  auto Left = Nodes_[0]->lose("p0");
  play(milliseconds(3000), backlogIn(1));
  EXPECT_EQ(running(1), 0U);
  Nodes_[2]->acquire("p0", 77, Left);
  play(milliseconds(1000), backlogIn(1));
  EXPECT_EQ(running(1), 0U);
  EXPECT_EQ(held("p0"), 32);
  Nodes_[2]->end("p0", "acme", 20);
  play(milliseconds(2500), backlogIn(1));
  EXPECT_EQ(running(1), 20U);
  EXPECT_EQ(Nodes_[2]->running("p0", "acme"), 12U);
}

// Guards against a new owner that relies on a grant which the previous owner
// has given back since this node last read the rows.
TEST_F(LimitLedgerTest, NextOwnerWithAStaleViewStartsNothing) {
  play(milliseconds(1500), backlogIn(0));
  ASSERT_EQ(held("p0"), 32);
  Nodes_[2]->IsFollowing_ = false;
  Nodes_[0]->end("p0", "acme", 32);
  play(milliseconds(1500), backlogIn(1));
  ASSERT_EQ(running(1), 32U);
  Nodes_[0]->lose("p0");
  Nodes_[2]->acquire("p0", 77);
  play(milliseconds(1500), [this] {
    backlogIn(1)();
    Nodes_[2]->startUpTo(1000, "p0", "acme", Task);
  });
  EXPECT_EQ(Most_, 32);
}

// Guards against a lowered limit that stops tasks, or under which more start.
TEST_F(LimitLedgerTest, LoweredLimitStartsNothingMore) {
  play(milliseconds(2000), backlogIn(0));
  configure(8);
  play(milliseconds(1000), [this] {
    backlogIn(0)();
    backlogIn(1)();
  });
  EXPECT_EQ(running(), 32);
  Nodes_[0]->end("p0", "acme", 25);
  Most_ = 0;
  play(milliseconds(1000), backlogIn(0));
  EXPECT_EQ(running(), 8);
  EXPECT_EQ(Most_, 8);
}

// Guards against owners with an old configuration that raise what the owners
// with the new one have lowered.
TEST_F(LimitLedgerTest, NewerLimitAppliesToOwnersWithAnOlderConfiguration) {
  ++Version_;
  Nodes_[0]->Ledger_->onConfiguration(
      limitsOf(Version_, {{"acme", {8, 0, 0}}}, Names_));
  play(milliseconds(500), [this] {
    Nodes_[0]->startUpTo(1 - std::min<std::size_t>(1, running(0)), "p0", "acme",
                         Task);
  });
  play(milliseconds(2000), backlogIn(1));
  EXPECT_EQ(running(), 8);
}

// Guards against demand that moves from pool to pool and gets its grant late or
// with many calls.
TEST_F(LimitLedgerTest, GrantFollowsDemandWithFewCalls) {
  for (std::size_t Turn = 0; Turn < 8; ++Turn) {
    const std::size_t Pool = Turn % 4;
    const std::size_t Before = calls();
    milliseconds Took{0};
    while (running(Pool) < 32 && Took < milliseconds(5000)) {
      play(Step, backlogIn(Pool));
      Took += Step;
    }
    EXPECT_EQ(running(Pool), 32U) << Turn;
    EXPECT_LE(Took, milliseconds(1000)) << Turn;
    EXPECT_LE(calls() - Before, 12U) << Turn;
    Nodes_[Pool]->end(Names_[Pool], "acme", 32);
  }
  EXPECT_EQ(Most_, 32);
}

// Guards against a pool whose work never ends and that leaves nothing to the
// work of another pool.
TEST_F(LimitLedgerTest, PoolsWithEndlessWorkShareTheLimit) {
  play(milliseconds(1500), backlogIn(0));
  ASSERT_EQ(running(0), 32U);
  std::size_t Steps = 0;
  play(milliseconds(6000), [&] {
    // A task takes about 320 ms.
    if (++Steps % 2 == 0)
      for (std::size_t Pool = 0; Pool < 2; ++Pool)
        Nodes_[Pool]->end(Names_[Pool], "acme",
                          std::max<std::size_t>(running(Pool) / 8, 1));
    backlogIn(0)();
    backlogIn(1)();
  });
  EXPECT_GE(running(1), 12U);
  EXPECT_GE(running(0), 12U);
  EXPECT_EQ(Most_, 32);
}

// Guards against tasks larger than a pool's share of the limit that wait for
// each other or for good.
TEST_F(LimitLedgerTest, LargeTasksOfAllPoolsGetTheirTurn) {
  const Resources Large{12, 0, 0};
  std::map<std::size_t, std::size_t> Ended;
  std::size_t Steps = 0;
  play(milliseconds(40000), [&] {
    // A task takes 400 ms.
    const bool EndsNow = ++Steps % 20 == 0;
    for (std::size_t Pool = 0; Pool < 4; ++Pool) {
      if (EndsNow && running(Pool) > 0) {
        Ended[Pool] += running(Pool);
        Nodes_[Pool]->end(Names_[Pool], "acme", 10);
      }
      Nodes_[Pool]->start(Names_[Pool], "acme", Large);
    }
  });
  for (std::size_t Pool = 0; Pool < 4; ++Pool)
    EXPECT_GE(Ended[Pool], 20U) << Pool;
  EXPECT_LE(Most_, 32);
}

// Guards against a task larger than the limit that never starts, and against
// more than one of them.
TEST_F(LimitLedgerTest, StartsOneTaskLargerThanTheLimit) {
  const Resources Large{50, 0, 0};
  play(milliseconds(2000), [&] {
    for (std::size_t Pool = 0; Pool < 4; ++Pool)
      Nodes_[Pool]->start(Names_[Pool], "acme", Large);
  });
  EXPECT_EQ(running(), 50);
  EXPECT_EQ(Most_, 50);
}

// Guards against a gang that can never start and keeps the customer's other
// tasks, here and in other pools, from what they need.
TEST_F(LimitLedgerTest, GangThatCanNeverStartKeepsNothingFromOthers) {
  play(milliseconds(3000), [this] {
    EXPECT_FALSE(Nodes_[0]->mayStartGang("p0", "acme", Task, 40));
    Nodes_[0]->startUpTo(8 - std::min<std::size_t>(8, running(0)), "p0", "acme",
                         Task);
    backlogIn(1)();
  });
  EXPECT_EQ(running(0), 8U);
  EXPECT_EQ(running(1), 24U);
  play(milliseconds(1000)); // The other pool stops asking.
  const std::size_t Before = calls();
  play(milliseconds(3000), [this] {
    EXPECT_FALSE(Nodes_[0]->mayStartGang("p0", "acme", Task, 40));
  });
  EXPECT_EQ(calls(), Before);
}

// Guards against plans that count what other pools hold as available, or that
// ask for grants.
TEST_F(LimitLedgerTest, PlansWithWhatOtherPoolsLeave) {
  play(milliseconds(2000), [this] {
    Nodes_[0]->startUpTo(20 - std::min<std::size_t>(20, running(0)), "p0",
                         "acme", Task);
  });
  const std::size_t Before = calls();
  ICustomerLimits &Limits = *Nodes_[1]->Pools_.at("p1").Limits_;
  const std::int64_t Rest = 32 - held("p0");
  EXPECT_TRUE(Limits.hasRoom("acme", {}, {Rest, 0, 0}));
  EXPECT_FALSE(Limits.hasRoom("acme", {1, 0, 0}, {Rest, 0, 0}));
  EXPECT_TRUE(Limits.hasRoom("birch", {}, {1000, 0, 0}));
  play(milliseconds(1000));
  EXPECT_EQ(calls(), Before); // Planning asks for nothing.
}

// Guards against a customer that is held back although it uses less than half
// of its limit: each refusal is followed by a grant with one write.
TEST_F(LimitLedgerTest, HoldsNothingBackBelowHalfOfTheLimit) {
  play(milliseconds(500), [this] {
    for (std::size_t Pool = 0; Pool < 4; ++Pool)
      if (running(Pool) == 0)
        Nodes_[Pool]->start(Names_[Pool], "acme", Task);
  });
  ASSERT_EQ(running(), 4);
  const std::size_t Before = calls();
  // Each pool runs between one and two tasks; a task ends every 100 ms.
  std::size_t Refusals = 0;
  std::size_t Steps = 0;
  play(milliseconds(20000), [&] {
    const std::size_t Pool = ++Steps / 5 % 4;
    if (Steps % 5 != 0)
      return;
    if (running(Pool) == 2)
      Nodes_[Pool]->end(Names_[Pool], "acme", 1);
    else if (!Nodes_[Pool]->start(Names_[Pool], "acme", Task))
      ++Refusals;
  });
  // The first grant of a pool has room for two tasks.
  EXPECT_EQ(Refusals, 0U);
  EXPECT_EQ(calls(), Before);
}

// Guards against store calls of a customer whose demand does not change.
TEST_F(LimitLedgerTest, SteadyDemandCostsNoCalls) {
  play(milliseconds(3000), [this] {
    Nodes_[0]->startUpTo(10 - std::min<std::size_t>(10, running(0)), "p0",
                         "acme", Task);
  });
  ASSERT_EQ(running(0), 10U);
  const std::size_t Before = calls();
  play(milliseconds(30000));
  EXPECT_EQ(calls(), Before);
}

// Guards against a grant that stays with a pool that no longer needs it.
TEST_F(LimitLedgerTest, GivesBackAfterItsLastTask) {
  play(milliseconds(1000), backlogIn(0));
  Nodes_[0]->end("p0", "acme", 100);
  play(milliseconds(2000));
  EXPECT_EQ(held("p0"), 0);
  const std::size_t Before = calls();
  play(milliseconds(30000));
  EXPECT_EQ(calls(), Before);
}

// Guards against a damaged row that stops the customer for good, and against
// the runs of other pools that no longer count after it.
TEST_F(LimitLedgerTest, ReplacesAnUnreadableRow) {
  play(milliseconds(1000), [this] {
    Nodes_[0]->startUpTo(20 - std::min<std::size_t>(20, running(0)), "p0",
                         "acme", Task);
  });
  ASSERT_EQ(running(0), 20U);
  StoreRow &Row = Store_.Rows_.at(grantrows::key("acme"));
  Row.Value_ = "{";
  Row.Version_ = ++Store_.Version_;
  play(milliseconds(3000), [this] {
    backlogIn(1)();
    backlogIn(0)();
  });
  EXPECT_EQ(running(), 32);
  EXPECT_EQ(Most_, 32);
  EXPECT_NE(std::find(Logger_.Events_.begin(), Logger_.Events_.end(),
                      "limit.unreadable"),
            Logger_.Events_.end());
}

// Guards against grants of removed pools that reduce the limit for good, and
// against removing them while their runs may still exist.
TEST_F(LimitLedgerTest, TakesBackGrantsOfRemovedPools) {
  StoreRow Owner{controlrows::owner("p3"), "{}", 0, false};
  auto Renew = [&] {
    Owner.Version_ = ++Store_.Version_;
    Store_.Rows_[Owner.Name_] = Owner;
  };
  Renew();
  play(milliseconds(2000), backlogIn(3));
  ASSERT_EQ(running(3), 32U);
  Names_.pop_back();
  configure(32);
  // The pool's owner has an older configuration and is cut off from the rows.
  Nodes_[3]->IsFollowing_ = false;
  play(milliseconds(30000), [&] {
    Renew();
    backlogIn(0)();
  });
  EXPECT_EQ(running(0), 0U);
  play(milliseconds(9000), backlogIn(0));
  EXPECT_EQ(running(0), 0U);
  Nodes_[3]->lose("p3");
  play(milliseconds(9000), backlogIn(0));
  EXPECT_EQ(running(0), 32U);
}

// Guards against a view of the owners' rows that is old because the node is cut
// off: it proves nothing about removed pools.
TEST_F(LimitLedgerTest, TakesNothingBackWithoutACurrentView) {
  play(milliseconds(2000), backlogIn(3));
  Names_.pop_back();
  configure(32);
  for (auto &Node : Nodes_)
    Node->IsFollowing_ = false;
  play(milliseconds(60000), backlogIn(0));
  EXPECT_EQ(running(0), 0U);
}

// Guards against an owner that writes with a task that it does not know to be
// running: all tasks that previous owners may have started count at first.
TEST_F(LimitLedgerTest, DoesNotRecordWhatMayNotRun) {
  play(milliseconds(1000), [this] {
    Nodes_[0]->startUpTo(4 - std::min<std::size_t>(4, running(0)), "p0", "acme",
                         Task);
  });
  Nodes_[0]->lose("p0");
  LimitNode Next(Store_, Clock_, Logger_);
  Next.Ledger_->onConfiguration(
      limitsOf(Version_, {{"acme", {32, 0, 0}}}, Names_));
  Next.acquire("p0", 50, {{"acme", std::vector<Resources>(500, Task)}});
  const std::int64_t Held = held("p0");
  for (int Steps = 0; Steps < 50; ++Steps) {
    Clock_.advance(Step);
    deliverRows(Next, Store_.Rows_, Store_.Version_);
    Next.start("p0", "acme", Task);
    Next.Ledger_->onUsage("p0", *Next.Pools_.at("p0").Usage_,
                          /*IsExact=*/false);
    Next.Ledger_->tick(Clock_.now());
  }
  EXPECT_EQ(held("p0"), Held);
}

// Guards against log lines for each refused start.
TEST_F(LimitLedgerTest, LogsOnceASecondThatTheLimitIsReached) {
  play(milliseconds(10000), backlogIn(0));
  const auto Lines = std::count(Logger_.Events_.begin(), Logger_.Events_.end(),
                                "limit.reached");
  EXPECT_GE(Lines, 5);
  EXPECT_LE(Lines, 11);
}

// Guards against costs that grow with the number of customers: at the design
// size, customers whose demand does not change cause no store call, and a
// decision takes less than 0.1 ms.
TEST(LimitLedgerSize, QuietCustomersCostNoCalls) {
  ManualClock Clock;
  InstantStore Store;
  EventRecorder Logger;
  LimitNode Node(Store, Clock, Logger);
  std::map<std::string, Resources> Limits;
  std::vector<std::string> Pools;
  for (int Number = 0; Number < 110; ++Number)
    Limits["customer-" + std::to_string(Number)] = {100000, 0, 0};
  Pools.reserve(279);
  for (int Number = 0; Number < 279; ++Number)
    Pools.push_back("pool-" + std::to_string(Number));
  Node.Ledger_->onConfiguration(limitsOf(1, Limits, Pools));
  // The node owns seven pools; every customer holds a grant in every pool.
  for (const auto &[Customer, Limit] : Limits) {
    GrantRow Row;
    Row.ConfigurationVersion_ = 1;
    Row.Limit_ = Limit;
    for (std::size_t Number = 0; Number < Pools.size(); ++Number)
      Row.Pools_[Pools[Number]] = {Number < 7 ? 100U : 99U, {100, 0, 0}, {}, 0};
    const StoreKey Key = grantrows::key(Customer);
    Store.Rows_[Key] = {Key, grantrows::encode(Row), ++Store.Version_, false};
  }
  for (std::size_t Number = 0; Number < 7; ++Number) {
    std::map<std::string, std::vector<Resources>> Runs;
    for (const auto &[Customer, Limit] : Limits)
      Runs[Customer] = {{80, 0, 0}};
    Node.acquire(Pools[Number], 100, Runs);
  }
  deliverRows(Node, Store.Rows_, Store.Version_);
  Node.tick();
  const auto Start = std::chrono::steady_clock::now();
  std::size_t Admitted = 0;
  for (int Round = 0; Round < 250; ++Round) { // 10 s
    Clock.advance(milliseconds(40));
    Node.tick();
    for (const auto &[Customer, Limit] : Limits)
      Admitted += Node.Pools_.at(Pools[0]).Limits_->mayStart(
                      Customer, {80, 0, 0}, {10, 0, 0})
                      ? 1
                      : 0;
  }
  const auto Took = std::chrono::duration_cast<std::chrono::microseconds>(
      std::chrono::steady_clock::now() - Start);
  RecordProperty("microseconds", static_cast<int>(Took.count()));
  EXPECT_EQ(Admitted, 250U * 110U);
  EXPECT_TRUE(Store.Calls_.empty());
  // 27,500 decisions and 10 s of reviews of 770 grants.
  EXPECT_LT(Took, std::chrono::seconds(2));
}

} // namespace
} // namespace dragonflylock
