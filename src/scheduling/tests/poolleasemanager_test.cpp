#include "scheduling/poolleasemanager.h"
#include "scheduling/tests/mocks/fakefleet.h"

#include <gtest/gtest.h>

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds TickInterval{40};

/// A node's way to the store, on which calls may take long.
class SlowStore : public IStore {
public:
  SlowStore(InstantStore &Inner, const IClock &Clock)
      : Inner_(Inner), Clock_(Clock) {}

  void transact(StoreTransaction Wanted, TransactionCallback Done) override {
    ++Calls_;
    Waiting_.emplace_back(
        Clock_.now() + Delay_,
        [this, Wanted = std::move(Wanted), Done] { carryOut(Wanted, Done); });
  }
  void readRange(const std::string &, const std::string &, const std::string &,
                 const std::string &, std::size_t, RangeCallback) override {}
  void awaitChanges(const std::string &, StoreVersion, milliseconds,
                    ChangesCallback) override {}

  /// Carries out what is due.
  void tick() {
    while (!Waiting_.empty() && Waiting_.front().first <= Clock_.now()) {
      auto Call = std::move(Waiting_.front().second);
      Waiting_.pop_front();
      Call();
    }
  }

  bool isBusy() const { return !Waiting_.empty(); }

  /// \returns the calls so far.
  std::size_t calls() const { return Calls_; }
  std::size_t waiting() const { return Waiting_.size(); }

  milliseconds Delay_{0};
  /// Whether calls are carried out but get no answer.
  bool LosesAnswers_ = false;

private:
  void carryOut(const StoreTransaction &Wanted,
                const TransactionCallback &Done) {
    Inner_.transact(Wanted, [this, Done](const StoreTransactionResult &End) {
      Done(LosesAnswers_ ? StoreTransactionResult{StoreOutcome::Unknown, 0, {}}
                         : End);
    });
  }

  InstantStore &Inner_;
  const IClock &Clock_;
  std::size_t Calls_ = 0;
  std::deque<std::pair<TimePoint, std::function<void()>>> Waiting_;
};

/// A keeper with what it has won and lost.
struct KeeperNode {
  KeeperNode(const std::string &Name, double Cores, InstantStore &Shared,
             const IClock &Clock, ILogger &Logger)
      : Store_(Shared, Clock) {
    Settings_.Node_ = Name;
    Settings_.Cores_ = Cores;
    Keeper_ = std::make_shared<PoolLeaseManager>(
        Settings_, Name + "/1", Store_, Clock, Logger,
        [this](const PoolTenure &Tenure) {
          Owned_.insert(Tenure.Pool_);
          LeaseEnd_ = Tenure.LeaseEnd_;
          ++Wins_;
        },
        [](const std::string &, TimePoint) {},
        [this](const std::string &Pool) { Owned_.erase(Pool); });
  }

  SchedulingSettings Settings_;
  SlowStore Store_;
  std::shared_ptr<PoolLeaseManager> Keeper_;
  std::set<std::string> Owned_;
  int Wins_ = 0;
  /// End of the lease that was won last.
  TimePoint LeaseEnd_;
};

class PoolLeaseManagerTest : public testing::Test {
protected:
  KeeperNode &add(const std::string &Name, double Cores = 1) {
    Nodes_.push_back(
        std::make_unique<KeeperNode>(Name, Cores, Shared_, Clock_, Logger_));
    return *Nodes_.back();
  }

  void begin(const std::vector<std::string> &Pools) {
    for (auto &Node : Nodes_) {
      Node->Keeper_->setPools(Pools);
      Node->Keeper_->setLoaded();
    }
  }

  /// Lets the nodes act and read the rows for \p Length.
  void play(milliseconds Length) {
    for (auto End = Clock_.now() + Length; Clock_.now() < End;) {
      Clock_.advance(TickInterval);
      for (auto &Node : Nodes_) {
        Node->Store_.tick();
        Node->Keeper_->setCurrent(IsViewCurrent_ ||
                                  Shared_.Outcome_ == StoreOutcome::Done);
        Node->Keeper_->tick();
        Node->Store_.tick();
      }
      for (auto &Node : Nodes_)
        tellRows(*Node->Keeper_);
    }
  }

  void tellRows(PoolLeaseManager &Keeper) {
    const std::string Owner = controlrows::OwnerPrefix;
    const std::string Node = controlrows::NodePrefix;
    for (const auto &[Name, Row] : Shared_.Rows_) {
      if (Name.Key_.starts_with(Owner))
        Keeper.onRow(Name.Key_.substr(Owner.size()), Row);
      if (Name.Key_.starts_with(Node))
        Keeper.onNodeRow(Name.Key_.substr(Node.size()),
                         *controlrows::decodeNode(Row.Value_));
    }
  }

  /// Whether rows are read although writes are refused.
  bool IsViewCurrent_ = false;
  ManualClock Clock_;
  SilentLogger Logger_;
  InstantStore Shared_;
  std::vector<std::unique_ptr<KeeperNode>> Nodes_;
};

TEST_F(PoolLeaseManagerTest, NodeTooSlowToRenewLosesPoolToAnotherNode) {
  KeeperNode &Slow = add("slow");
  begin({"pool"});
  play(milliseconds(2000));
  ASSERT_TRUE(Slow.Owned_.contains("pool"));
  KeeperNode &Other = add("other");
  begin({"pool"});
  Slow.Store_.Delay_ = milliseconds(2300);
  for (int Wait = 0; Wait < 100 && !Slow.Owned_.empty(); ++Wait)
    play(milliseconds(100));
  ASSERT_TRUE(Slow.Owned_.empty());
  Slow.Store_.Delay_ = milliseconds(0);
  play(milliseconds(6000));
  EXPECT_TRUE(Other.Owned_.contains("pool"));
  EXPECT_EQ(Slow.Wins_, 1);
}

TEST_F(PoolLeaseManagerTest, LargerNodeAcquiresFreePoolBeforeSmallNode) {
  KeeperNode &Small = add("small", 0.12);
  KeeperNode &Large = add("large", 0.5);
  std::vector<std::string> Pools;
  for (int Number = 0; Number < 20; ++Number) {
    Pools.push_back("pool" + std::to_string(Number));
    begin(Pools);
    play(milliseconds(3000));
    EXPECT_TRUE(Large.Owned_.contains(Pools.back()) || Number >= 2);
  }
  // What the large node has already counts against it.
  EXPECT_FALSE(Small.Owned_.empty());
  EXPECT_GT(Large.Owned_.size(), Small.Owned_.size());
}

TEST_F(PoolLeaseManagerTest, LargerNodeAcquiresFirstWhenStoreRecovers) {
  KeeperNode &Owner = add("owner", 0.5);
  begin({"pool"});
  play(milliseconds(2000));
  ASSERT_TRUE(Owner.Owned_.contains("pool"));
  Nodes_.clear();
  KeeperNode &Small = add("small", 0.12);
  KeeperNode &Large = add("large", 0.5);
  begin({"pool"});
  play(milliseconds(1000));
  Shared_.Outcome_ = StoreOutcome::NotDone;
  play(milliseconds(8000));
  Shared_.Outcome_ = StoreOutcome::Done;
  play(milliseconds(2000));
  EXPECT_TRUE(Large.Owned_.contains("pool"));
  EXPECT_FALSE(Small.Owned_.contains("pool"));
}

TEST_F(PoolLeaseManagerTest, PendingAttemptCountsAsOwnedPool) {
  KeeperNode &Node = add("node");
  begin({});
  play(milliseconds(200));
  Node.Store_.Delay_ = milliseconds(900);
  begin({"pool0", "pool1"});
  play(milliseconds(400));
  EXPECT_EQ(Node.Store_.waiting(), 1U);
}

TEST_F(PoolLeaseManagerTest, SmallNodeRetriesRarelyWhileStoreRefuses) {
  KeeperNode &Small = add("small", 0.12);
  KeeperNode &Large = add("large", 0.5);
  begin({});
  play(milliseconds(200));
  Shared_.Outcome_ = StoreOutcome::NotDone;
  IsViewCurrent_ = true;
  begin({"pool"});
  play(milliseconds(8000));
  EXPECT_GE(Large.Store_.calls(), 20U);
  EXPECT_LE(Small.Store_.calls(), 4U);
}

TEST_F(PoolLeaseManagerTest, NodeAttemptsOnePoolAtATime) {
  KeeperNode &Node = add("node");
  begin({});
  play(milliseconds(200));
  Shared_.Outcome_ = StoreOutcome::NotDone;
  IsViewCurrent_ = true;
  begin({"pool0", "pool1", "pool2"});
  play(milliseconds(3000));
  Node.Store_.Delay_ = milliseconds(900);
  play(milliseconds(400));
  EXPECT_EQ(Node.Store_.waiting(), 1U);
}

TEST_F(PoolLeaseManagerTest, AcquisitionDelaysAttemptsOnOtherPools) {
  KeeperNode &First = add("node-1");
  KeeperNode &Second = add("node-2");
  begin({});
  play(milliseconds(200));
  Shared_.Outcome_ = StoreOutcome::NotDone;
  IsViewCurrent_ = true;
  begin({"pool0", "pool1", "pool2", "pool3"});
  play(milliseconds(5000));
  Shared_.Outcome_ = StoreOutcome::Done;
  play(milliseconds(3000));
  EXPECT_EQ(First.Owned_.size(), 2U);
  EXPECT_EQ(Second.Owned_.size(), 2U);
}

TEST_F(PoolLeaseManagerTest, PoolsSpreadOverNodesOfEqualSize) {
  add("node-1", 0.25);
  add("node-2", 0.25);
  begin({"pool0", "pool1", "pool2", "pool3"});
  play(milliseconds(3000));
  for (const auto &Node : Nodes_)
    EXPECT_EQ(Node->Owned_.size(), 2U);
}

TEST_F(PoolLeaseManagerTest, ReacquiresPoolAtOnceAfterRefusedRenewals) {
  KeeperNode &Node = add("node");
  begin({"pool"});
  play(milliseconds(2000));
  Shared_.Outcome_ = StoreOutcome::NotDone;
  play(milliseconds(3200));
  EXPECT_TRUE(Node.Owned_.empty());
  Shared_.Outcome_ = StoreOutcome::Done;
  play(milliseconds(600));
  EXPECT_TRUE(Node.Owned_.contains("pool"));
}

TEST_F(PoolLeaseManagerTest, RecoversPoolAcquiredByUnansweredAttempt) {
  KeeperNode &Node = add("node");
  begin({});
  play(milliseconds(400));
  Node.Store_.LosesAnswers_ = true;
  begin({"pool"});
  StoreKey Row = controlrows::owner("pool");
  for (int Wait = 0; Wait < 50 && !Shared_.Rows_.contains(Row); ++Wait)
    play(TickInterval);
  ASSERT_TRUE(Shared_.Rows_.contains(Row));
  ASSERT_TRUE(Node.Owned_.empty());
  Node.Store_.LosesAnswers_ = false;
  play(milliseconds(1000));
  EXPECT_TRUE(Node.Owned_.contains("pool"));
}

TEST_F(PoolLeaseManagerTest, LeaseStartsAtUnansweredAttempt) {
  KeeperNode &Node = add("node");
  begin({});
  play(milliseconds(400));
  Node.Store_.LosesAnswers_ = true;
  begin({"pool"});
  StoreKey Row = controlrows::owner("pool");
  auto Step = [&] {
    Clock_.advance(TickInterval);
    Node.Keeper_->tick();
    Node.Store_.tick();
  };
  for (int Wait = 0; Wait < 50 && !Shared_.Rows_.contains(Row); ++Wait)
    Step();
  ASSERT_TRUE(Shared_.Rows_.contains(Row));
  const TimePoint Written = Clock_.now();
  Clock_.advance(milliseconds(1000));
  Node.Store_.LosesAnswers_ = false;
  for (int Wait = 0; Wait < 50 && Node.Owned_.empty(); ++Wait)
    Step();
  ASSERT_TRUE(Node.Owned_.contains("pool"));
  EXPECT_LE(Node.LeaseEnd_, Written + Node.Settings_.OwnerLease_);
}

TEST_F(PoolLeaseManagerTest, PoolReleasedDuringRenewalIsFreeAtOnce) {
  KeeperNode &Node = add("node");
  begin({"pool"});
  play(milliseconds(1000));
  ASSERT_TRUE(Node.Owned_.contains("pool"));
  const StoreKey Row = controlrows::owner("pool");
  auto Stored = [&] {
    return controlrows::decodeOwner(Shared_.Rows_[Row].Value_).value();
  };
  const auto Renewals = Stored().Renewals_;
  Node.Store_.Delay_ = milliseconds(200);
  // The renewal is under way, and not yet carried out, for most of a while.
  for (int Wait = 0; Wait < 50 && !Node.Store_.isBusy(); ++Wait) {
    Clock_.advance(TickInterval);
    Node.Keeper_->tick();
  }
  ASSERT_EQ(Stored().Renewals_, Renewals);
  Node.Keeper_->releaseAll();
  for (int Wait = 0; Wait < 20; ++Wait) {
    Clock_.advance(TickInterval);
    Node.Store_.tick();
  }
  EXPECT_EQ(Stored().Holder_, "");
}

} // namespace
} // namespace dragonflylock
