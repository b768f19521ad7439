#include "scheduling/poolleasemanager.h"
#include "scheduling/tests/mocks/fakefleet.h"

#include <gtest/gtest.h>

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds TickInterval{40};

/// A node's connection to the store, which delays calls.
class DelayedStore : public IStore {
public:
  DelayedStore(InstantStore &Inner, const IClock &Clock)
      : Inner_(Inner), Clock_(Clock) {}

  void transact(StoreTransaction Wanted, TransactionCallback Done) override {
    ++Calls_;
    PendingCalls_.emplace_back(
        Clock_.now() + Delay_,
        [this, Wanted = std::move(Wanted), Done] { execute(Wanted, Done); });
  }
  void readRange(const std::string &, const std::string &, const std::string &,
                 const std::string &, std::size_t, RangeCallback) override {}
  void awaitChanges(const std::string &, StoreVersion, milliseconds,
                    ChangesCallback) override {}

  /// Executes the calls whose delay has elapsed.
  void tick() {
    while (!PendingCalls_.empty() &&
           PendingCalls_.front().first <= Clock_.now()) {
      auto Call = std::move(PendingCalls_.front().second);
      PendingCalls_.pop_front();
      Call();
    }
  }

  bool hasPendingCalls() const { return !PendingCalls_.empty(); }

  /// \returns the number of calls so far.
  std::size_t calls() const { return Calls_; }
  std::size_t pendingCalls() const { return PendingCalls_.size(); }

  milliseconds Delay_{0};
  /// Whether calls are executed but their responses are lost.
  bool DropsResponses_ = false;

private:
  void execute(const StoreTransaction &Wanted,
               const TransactionCallback &Done) {
    Inner_.transact(Wanted, [this, Done](const StoreTransactionResult &End) {
      Done(DropsResponses_
               ? StoreTransactionResult{StoreOutcome::Unknown, 0, {}}
               : End);
    });
  }

  InstantStore &Inner_;
  const IClock &Clock_;
  std::size_t Calls_ = 0;
  std::deque<std::pair<TimePoint, std::function<void()>>> PendingCalls_;
};

/// A node with its lease manager and the pools that it owns.
struct TestNode {
  TestNode(const std::string &Name, const std::string &Process, double Cores,
           InstantStore &Shared, const IClock &Clock, ILogger &Logger)
      : Store_(Shared, Clock) {
    Settings_.Node_ = Name;
    Settings_.Cores_ = Cores;
    Manager_ = std::make_shared<PoolLeaseManager>(
        Settings_, Process, Store_, Clock, Logger,
        [this](const PoolOwnership &Ownership) {
          Owned_.insert(Ownership.Pool_);
          LeaseEnd_ = Ownership.LeaseEnd_;
          RunNumberRange_ = Ownership.RunNumberRange_;
          ++Acquisitions_;
        },
        [this](const std::string &, TimePoint, FencingToken,
               std::uint64_t RunNumberRange) {
          RunNumberRange_ = RunNumberRange;
        },
        [this](const std::string &Pool) { Owned_.erase(Pool); });
  }

  SchedulingSettings Settings_;
  DelayedStore Store_;
  std::shared_ptr<PoolLeaseManager> Manager_;
  std::set<std::string> Owned_;
  int Acquisitions_ = 0;
  /// Last range of run numbers that is reserved for the node.
  std::uint64_t RunNumberRange_ = 0;
  /// End of the lease that was acquired last.
  TimePoint LeaseEnd_;
};

class PoolLeaseManagerTest : public testing::Test {
protected:
  TestNode &addNode(const std::string &Name, double Cores = 1) {
    std::string Process = Name + "/" + std::to_string(++Processes_);
    Nodes_.push_back(std::make_unique<TestNode>(Name, Process, Cores, Shared_,
                                                Clock_, Logger_));
    return *Nodes_.back();
  }

  void startManagers(const std::vector<std::string> &Pools) {
    for (auto &Node : Nodes_) {
      Node->Manager_->setPools(Pools);
      Node->Manager_->setLoaded();
    }
  }

  /// Runs all nodes for \p Length and delivers the stored rows to them.
  void runFor(milliseconds Length) {
    for (auto End = Clock_.now() + Length; Clock_.now() < End;) {
      Clock_.advance(TickInterval);
      for (auto &Node : Nodes_) {
        Node->Store_.tick();
        Node->Manager_->setViewCurrent(IsViewCurrent_ ||
                                       Shared_.Outcome_ == StoreOutcome::Done);
        Node->Manager_->tick();
        Node->Store_.tick();
      }
      for (auto &Node : Nodes_)
        deliverRows(*Node->Manager_);
    }
  }

  void deliverRows(PoolLeaseManager &Manager) {
    const std::string Owner = controlrows::OwnerPrefix;
    const std::string Node = controlrows::NodePrefix;
    const std::string Takeover = controlrows::TakeoverPrefix;
    for (const auto &[Name, Row] : Shared_.Rows_) {
      if (Name.Key_.starts_with(Owner))
        Manager.onOwnerRow(Name.Key_.substr(Owner.size()), Row);
      if (Name.Key_.starts_with(Takeover))
        Manager.onTakeoverRow(Name.Key_.substr(Takeover.size()), Row);
      if (Name.Key_.starts_with(Node))
        Manager.onNodeRow(Name.Key_.substr(Node.size()),
                          *controlrows::decodeNode(Row.Value_));
    }
  }

  /// Whether rows can be read although the store refuses writes.
  bool IsViewCurrent_ = false;
  /// Number of processes that were started on the nodes.
  int Processes_ = 0;
  ManualClock Clock_;
  SilentLogger Logger_;
  InstantStore Shared_;
  std::vector<std::unique_ptr<TestNode>> Nodes_;
};

TEST_F(PoolLeaseManagerTest, NodeTooSlowToRenewLosesPoolToAnotherNode) {
  TestNode &Slow = addNode("slow");
  startManagers({"pool"});
  runFor(milliseconds(2000));
  ASSERT_TRUE(Slow.Owned_.contains("pool"));
  TestNode &Other = addNode("other");
  startManagers({"pool"});
  Slow.Store_.Delay_ = milliseconds(2300);
  for (int Wait = 0; Wait < 100 && !Slow.Owned_.empty(); ++Wait)
    runFor(milliseconds(100));
  ASSERT_TRUE(Slow.Owned_.empty());
  Slow.Store_.Delay_ = milliseconds(0);
  runFor(milliseconds(6000));
  EXPECT_TRUE(Other.Owned_.contains("pool"));
  EXPECT_EQ(Slow.Acquisitions_, 1);
}

// Guards against run numbers that two owners of a pool use (LOST).
TEST_F(PoolLeaseManagerTest, NextOwnerGetsRunNumbersAboveAllReservedOnes) {
  TestNode &First = addNode("first");
  startManagers({"pool"});
  runFor(milliseconds(2000));
  ASSERT_TRUE(First.Owned_.contains("pool"));
  EXPECT_EQ(First.RunNumberRange_, 0U);
  First.Manager_->reserveRunNumbers("pool", 3);
  runFor(2 * TickInterval);
  EXPECT_EQ(First.RunNumberRange_, 3U);
  First.Manager_->releaseAll();
  TestNode &Second = addNode("second");
  startManagers({"pool"});
  runFor(milliseconds(2000));
  ASSERT_TRUE(Second.Owned_.contains("pool"));
  EXPECT_EQ(Second.RunNumberRange_, 4U);
}

// Guards against renewals that are sent in a row while the store refuses to
// reserve run numbers.
TEST_F(PoolLeaseManagerTest, RefusedReservationsAreRetriedAtTheUsualInterval) {
  TestNode &Node = addNode("node");
  startManagers({"pool"});
  runFor(milliseconds(2000));
  ASSERT_TRUE(Node.Owned_.contains("pool"));
  Shared_.Outcome_ = StoreOutcome::NotDone;
  const std::size_t Before = Node.Store_.calls();
  for (int Round = 0; Round < 25; ++Round) {
    Node.Manager_->reserveRunNumbers("pool", 1);
    runFor(TickInterval);
  }
  EXPECT_LE(Node.Store_.calls() - Before, 8U);
}

TEST_F(PoolLeaseManagerTest, LargerNodeAcquiresFreePoolBeforeSmallNode) {
  TestNode &Small = addNode("small", 0.12);
  TestNode &Large = addNode("large", 0.5);
  std::vector<std::string> Pools;
  for (int Number = 0; Number < 20; ++Number) {
    Pools.push_back("pool" + std::to_string(Number));
    startManagers(Pools);
    runFor(milliseconds(3000));
    EXPECT_TRUE(Large.Owned_.contains(Pools.back()) || Number >= 2);
  }
  // Each pool that the large node already owns delays its next attempt.
  EXPECT_FALSE(Small.Owned_.empty());
  EXPECT_GT(Large.Owned_.size(), Small.Owned_.size());
}

TEST_F(PoolLeaseManagerTest, LargerNodeTakesPoolOverFromRestartedSmallOwner) {
  TestNode &Small = addNode("small", 0.12);
  startManagers({"pool"});
  runFor(milliseconds(2000));
  ASSERT_TRUE(Small.Owned_.contains("pool"));
  Nodes_.clear();
  TestNode &Restarted = addNode("small", 0.12);
  TestNode &Large = addNode("large", 0.5);
  startManagers({"pool"});
  runFor(milliseconds(6000));
  EXPECT_TRUE(Large.Owned_.contains("pool"));
  EXPECT_FALSE(Restarted.Owned_.contains("pool"));
}

TEST_F(PoolLeaseManagerTest, NodeWithThreePoolsHandsOneToAnIdleNode) {
  TestNode &First = addNode("first", 0.5);
  startManagers({"pool0", "pool1", "pool2"});
  runFor(milliseconds(3000));
  ASSERT_EQ(First.Owned_.size(), 3U);
  TestNode &Second = addNode("second", 0.5);
  startManagers({"pool0", "pool1", "pool2"});
  runFor(milliseconds(10000));
  EXPECT_EQ(First.Owned_.size(), 2U);
  EXPECT_EQ(Second.Owned_.size(), 1U);
}

TEST_F(PoolLeaseManagerTest, PoolsStayWhereOwnersHaveEnoughProcessor) {
  TestNode &First = addNode("first", 0.5);
  startManagers({"pool0", "pool1"});
  runFor(milliseconds(3000));
  TestNode &Second = addNode("second", 0.5);
  TestNode &Third = addNode("third", 0.12);
  startManagers({"pool0", "pool1"});
  runFor(milliseconds(10000));
  EXPECT_EQ(First.Acquisitions_, 2);
  EXPECT_EQ(Second.Acquisitions_ + Third.Acquisitions_, 0);
}

TEST_F(PoolLeaseManagerTest, PoolHandedToNodeThatIsGoneIsAcquiredByAnother) {
  TestNode &Small = addNode("small", 0.12);
  startManagers({"pool"});
  runFor(milliseconds(2000));
  ASSERT_TRUE(Small.Owned_.contains("pool"));
  addNode("gone", 0.5);
  startManagers({"pool"});
  for (int Wait = 0; Wait < 100 && !Small.Owned_.empty(); ++Wait)
    runFor(TickInterval);
  ASSERT_TRUE(Small.Owned_.empty());
  Nodes_.pop_back();
  TestNode &Other = addNode("other", 0.12);
  startManagers({"pool"});
  runFor(milliseconds(3500));
  EXPECT_EQ(Small.Owned_.size() + Other.Owned_.size(), 1U);
}

TEST_F(PoolLeaseManagerTest, LargerNodeAcquiresFirstWhenStoreRecovers) {
  TestNode &Owner = addNode("owner", 0.5);
  startManagers({"pool"});
  runFor(milliseconds(2000));
  ASSERT_TRUE(Owner.Owned_.contains("pool"));
  Nodes_.clear();
  TestNode &Small = addNode("small", 0.12);
  TestNode &Large = addNode("large", 0.5);
  startManagers({"pool"});
  runFor(milliseconds(1000));
  Shared_.Outcome_ = StoreOutcome::NotDone;
  runFor(milliseconds(8000));
  Shared_.Outcome_ = StoreOutcome::Done;
  runFor(milliseconds(2000));
  EXPECT_TRUE(Large.Owned_.contains("pool"));
  EXPECT_FALSE(Small.Owned_.contains("pool"));
}

TEST_F(PoolLeaseManagerTest, PendingAttemptCountsAsOwnedPool) {
  TestNode &Node = addNode("node");
  startManagers({});
  runFor(milliseconds(200));
  Node.Store_.Delay_ = milliseconds(900);
  startManagers({"pool0", "pool1"});
  runFor(milliseconds(400));
  EXPECT_EQ(Node.Store_.pendingCalls(), 1U);
}

TEST_F(PoolLeaseManagerTest, SmallNodeRetriesRarelyWhileStoreRefuses) {
  TestNode &Small = addNode("small", 0.12);
  TestNode &Large = addNode("large", 0.5);
  startManagers({});
  runFor(milliseconds(200));
  Shared_.Outcome_ = StoreOutcome::NotDone;
  IsViewCurrent_ = true;
  startManagers({"pool"});
  runFor(milliseconds(8000));
  EXPECT_GE(Large.Store_.calls(), 20U);
  EXPECT_LE(Small.Store_.calls(), 4U);
}

TEST_F(PoolLeaseManagerTest, NodeAttemptsOnePoolAtATime) {
  TestNode &Node = addNode("node");
  startManagers({});
  runFor(milliseconds(200));
  Shared_.Outcome_ = StoreOutcome::NotDone;
  IsViewCurrent_ = true;
  startManagers({"pool0", "pool1", "pool2"});
  runFor(milliseconds(3000));
  Node.Store_.Delay_ = milliseconds(900);
  runFor(milliseconds(400));
  EXPECT_EQ(Node.Store_.pendingCalls(), 1U);
}

TEST_F(PoolLeaseManagerTest, AcquisitionDelaysAttemptsOnOtherPools) {
  TestNode &First = addNode("node-1");
  TestNode &Second = addNode("node-2");
  startManagers({});
  runFor(milliseconds(200));
  Shared_.Outcome_ = StoreOutcome::NotDone;
  IsViewCurrent_ = true;
  startManagers({"pool0", "pool1", "pool2", "pool3"});
  runFor(milliseconds(5000));
  Shared_.Outcome_ = StoreOutcome::Done;
  runFor(milliseconds(3000));
  EXPECT_EQ(First.Owned_.size(), 2U);
  EXPECT_EQ(Second.Owned_.size(), 2U);
}

TEST_F(PoolLeaseManagerTest, PoolsSpreadOverNodesOfEqualSize) {
  addNode("node-1", 0.25);
  addNode("node-2", 0.25);
  startManagers({"pool0", "pool1", "pool2", "pool3"});
  runFor(milliseconds(3000));
  for (const auto &Node : Nodes_)
    EXPECT_EQ(Node->Owned_.size(), 2U);
}

TEST_F(PoolLeaseManagerTest, ReacquiresPoolAtOnceAfterRefusedRenewals) {
  TestNode &Node = addNode("node");
  startManagers({"pool"});
  runFor(milliseconds(2000));
  Shared_.Outcome_ = StoreOutcome::NotDone;
  runFor(milliseconds(3200));
  EXPECT_TRUE(Node.Owned_.empty());
  Shared_.Outcome_ = StoreOutcome::Done;
  runFor(milliseconds(600));
  EXPECT_TRUE(Node.Owned_.contains("pool"));
}

TEST_F(PoolLeaseManagerTest, RecoversPoolAcquiredByUnansweredAttempt) {
  TestNode &Node = addNode("node");
  startManagers({});
  runFor(milliseconds(400));
  Node.Store_.DropsResponses_ = true;
  startManagers({"pool"});
  StoreKey Row = controlrows::owner("pool");
  for (int Wait = 0; Wait < 50 && !Shared_.Rows_.contains(Row); ++Wait)
    runFor(TickInterval);
  ASSERT_TRUE(Shared_.Rows_.contains(Row));
  ASSERT_TRUE(Node.Owned_.empty());
  Node.Store_.DropsResponses_ = false;
  runFor(milliseconds(1000));
  EXPECT_TRUE(Node.Owned_.contains("pool"));
}

TEST_F(PoolLeaseManagerTest, LeaseStartsAtUnansweredAttempt) {
  TestNode &Node = addNode("node");
  startManagers({});
  runFor(milliseconds(400));
  Node.Store_.DropsResponses_ = true;
  startManagers({"pool"});
  StoreKey Row = controlrows::owner("pool");
  auto Step = [&] {
    Clock_.advance(TickInterval);
    Node.Manager_->tick();
    Node.Store_.tick();
  };
  for (int Wait = 0; Wait < 50 && !Shared_.Rows_.contains(Row); ++Wait)
    Step();
  ASSERT_TRUE(Shared_.Rows_.contains(Row));
  const TimePoint Written = Clock_.now();
  Clock_.advance(milliseconds(1000));
  Node.Store_.DropsResponses_ = false;
  for (int Wait = 0; Wait < 50 && Node.Owned_.empty(); ++Wait)
    Step();
  ASSERT_TRUE(Node.Owned_.contains("pool"));
  EXPECT_LE(Node.LeaseEnd_, Written + Node.Settings_.OwnerLease_);
}

/// A row that an owner leaves to the next one.
StorePut finalRow() { return {controlrows::roster("pool"), "final"}; }

TEST_F(PoolLeaseManagerTest, StoresFinalRowsTogetherWithTheRelease) {
  TestNode &Node = addNode("node-1");
  startManagers({"pool"});
  runFor(milliseconds(2000));
  ASSERT_TRUE(Node.Owned_.contains("pool"));
  bool WasOwned = false;
  Node.Manager_->setOnReleasing([&](const std::string &Pool) {
    WasOwned = Node.Owned_.contains(Pool);
    return std::vector<StorePut>{finalRow()};
  });
  Node.Manager_->releaseAll();
  runFor(milliseconds(200));
  EXPECT_TRUE(WasOwned);
  EXPECT_FALSE(Node.Owned_.contains("pool"));
  const StoreRow &Owner = Shared_.Rows_[controlrows::owner("pool")];
  const StoreRow &Final = Shared_.Rows_[finalRow().Name_];
  EXPECT_EQ(Final.Value_, "final");
  EXPECT_EQ(Final.Version_, Owner.Version_);
  EXPECT_TRUE(controlrows::decodeOwner(Owner.Value_)->Holder_.empty());
}

TEST_F(PoolLeaseManagerTest, ReleasesThePoolIfTheStoreRefusesTheFinalRows) {
  TestNode &Node = addNode("node-1");
  startManagers({"pool"});
  runFor(milliseconds(2000));
  ASSERT_TRUE(Node.Owned_.contains("pool"));
  constexpr std::size_t RowLimit = 1000;
  Shared_.MostBytes_ = RowLimit;
  Node.Manager_->setOnReleasing([](const std::string &) {
    StorePut TooLarge = finalRow();
    TooLarge.Value_.assign(RowLimit, 'x');
    return std::vector<StorePut>{TooLarge};
  });
  Node.Manager_->releaseAll();
  runFor(milliseconds(200));
  auto Owner = controlrows::decodeOwner(
      Shared_.Rows_[controlrows::owner("pool")].Value_);
  ASSERT_TRUE(Owner);
  EXPECT_TRUE(Owner->Holder_.empty());
}

TEST_F(PoolLeaseManagerTest, PoolReleasedDuringRenewalIsFreeAtOnce) {
  TestNode &Node = addNode("node");
  startManagers({"pool"});
  runFor(milliseconds(1000));
  ASSERT_TRUE(Node.Owned_.contains("pool"));
  const StoreKey Row = controlrows::owner("pool");
  auto Stored = [&] {
    return controlrows::decodeOwner(Shared_.Rows_[Row].Value_).value();
  };
  const auto Renewals = Stored().Renewals_;
  Node.Store_.Delay_ = milliseconds(200);
  // Waits until a renewal is in flight that the store has not executed yet.
  for (int Wait = 0; Wait < 50 && !Node.Store_.hasPendingCalls(); ++Wait) {
    Clock_.advance(TickInterval);
    Node.Manager_->tick();
  }
  ASSERT_EQ(Stored().Renewals_, Renewals);
  Node.Manager_->releaseAll();
  for (int Wait = 0; Wait < 20; ++Wait) {
    Clock_.advance(TickInterval);
    Node.Store_.tick();
  }
  EXPECT_EQ(Stored().Holder_, "");
}

} // namespace
} // namespace dragonflylock
