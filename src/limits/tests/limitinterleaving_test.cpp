#include "limits/tests/mocks/faultystore.h"
#include "limits/tests/mocks/limitfleet.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds Step{20};
constexpr std::size_t PoolCount = 4;
constexpr std::int64_t HighLimit = 20;
constexpr std::int64_t LowLimit = 12;
/// Steps after which every node has read a row: 5 s.
constexpr std::size_t ApplySteps = 250;
/// Longest time for which a node reads no rows: 4 s.
constexpr std::size_t MostCutSteps = 200;

/// Plays days of four pools on four nodes: random demand, owners that are lost
/// and replaced while their writes are on their way, nodes that are cut off,
/// and limits that change.
class LimitDay {
public:
  explicit LimitDay(std::uint64_t Seed) : Store_(Seed) {
    for (std::size_t Number = 0; Number < PoolCount; ++Number) {
      Names_.push_back("p" + std::to_string(Number));
      Nodes_.push_back(std::make_unique<LimitNode>(Store_, Clock_, Logger_));
      OwnerOf_.push_back(Number);
      Demand_.push_back(0);
    }
    setLimit(HighLimit);
    for (std::size_t Pool = 0; Pool < PoolCount; ++Pool)
      Nodes_[Pool]->acquire(Names_[Pool], ++Token_);
  }

  void setLimit(std::int64_t Limit) {
    Limit_ = Limit;
    ++Configuration_;
    for (auto &Node : Nodes_)
      Node->Ledger_->onConfiguration(
          limitsOf(Configuration_, {{"acme", {Limit, 0, 0}}}, Names_));
  }

  /// \param HasFaults whether faults, losses of owners and changes of the limit
  ///   happen.
  void step(bool HasFaults) {
    Clock_.advance(Step);
    Store_.FaultPercent_ = HasFaults ? 10 : 0;
    Store_.step();
    Limits_.push_back(Limit_);
    if (Limits_.size() > ApplySteps)
      Limits_.pop_front();
    if (HasFaults)
      disturb();
    for (std::size_t Number = 0; Number < Nodes_.size(); ++Number) {
      LimitNode &Node = *Nodes_[Number];
      if (HasFaults && Store_.below(300) == 0)
        CutSteps_[Number] = Store_.below(MostCutSteps);
      Node.IsFollowing_ =
          !HasFaults || (CutSteps_[Number] == 0 && Store_.happens(20));
      if (CutSteps_[Number] > 0)
        --CutSteps_[Number];
      if (Node.IsFollowing_)
        deliverRows(Node, Store_.Rows_, Store_.Version_);
    }
    for (std::size_t Pool = 0; Pool < PoolCount; ++Pool)
      work(Pool);
    for (auto &Node : Nodes_)
      if (!HasFaults || Store_.happens(80))
        Node->tick();
  }

  std::int64_t running() const {
    std::int64_t Sum = 0;
    for (const auto &Node : Nodes_)
      Sum += Node->sum("acme").CpuMillis_;
    for (const auto &[Pool, Runs] : Orphans_)
      for (const auto &[Customer, Tasks] : Runs)
        for (const Resources &Each : Tasks)
          Sum += Each.CpuMillis_;
    return Sum;
  }

  void setDemand(std::size_t Pool, std::size_t Percent) {
    Demand_[Pool] = Percent;
  }

  std::size_t Starts_ = 0;
  std::size_t Excesses_ = 0;
  FaultyStore Store_;

private:
  void disturb() {
    if (Store_.below(50) == 0)
      setDemand(Store_.below(PoolCount), Store_.below(3) * 50);
    if (Store_.below(400) == 0)
      setLimit(Limit_ == HighLimit ? LowLimit : HighLimit);
    const std::size_t Pool = Store_.below(PoolCount);
    if (Orphans_.contains(Pool)) {
      if (Store_.below(20) == 0)
        adopt(Pool);
    } else if (Store_.below(200) == 0) {
      Orphans_[Pool] = Nodes_[OwnerOf_[Pool]]->lose(Names_[Pool]);
    }
  }
  void adopt(std::size_t Pool) {
    OwnerOf_[Pool] = Store_.below(Nodes_.size());
    Nodes_[OwnerOf_[Pool]]->acquire(Names_[Pool], ++Token_,
                                    std::move(Orphans_.at(Pool)));
    Orphans_.erase(Pool);
  }
  void work(std::size_t Pool) {
    if (Orphans_.contains(Pool))
      return;
    LimitNode &Owner = *Nodes_[OwnerOf_[Pool]];
    if (Store_.happens(20))
      Owner.end(Names_[Pool], "acme", 1 + Store_.below(3));
    while (Store_.happens(static_cast<unsigned>(Demand_[Pool]))) {
      const Resources Task{1 + static_cast<std::int64_t>(Store_.below(5)), 0,
                           0};
      if (!Owner.start(Names_[Pool], "acme", Task))
        return;
      ++Starts_;
      // Right after a change of the limit, the higher one may still be in
      // force somewhere.
      if (running() > *std::max_element(Limits_.begin(), Limits_.end()))
        ++Excesses_;
    }
  }

  ManualClock Clock_;
  SilentLogger Logger_;
  std::vector<std::string> Names_;
  std::vector<std::unique_ptr<LimitNode>> Nodes_;
  /// By pool: its owner, or its last one.
  std::vector<std::size_t> OwnerOf_;
  std::vector<std::size_t> Demand_;
  /// By node: steps for which it reads no rows.
  std::map<std::size_t, std::size_t> CutSteps_;
  /// What pools without an owner run, by pool.
  std::map<std::size_t, std::map<std::string, std::vector<Resources>>> Orphans_;
  FencingToken Token_ = 0;
  std::uint64_t Configuration_ = 0;
  std::int64_t Limit_ = HighLimit;
  /// Limits of the last steps.
  std::deque<std::int64_t> Limits_{HighLimit};

public:
  /// Ends the disturbances: each pool has an owner, and the high limit applies.
  void settle() {
    for (std::size_t Pool = 0; Pool < PoolCount; ++Pool)
      if (Orphans_.contains(Pool))
        adopt(Pool);
    setLimit(HighLimit);
  }
};

class LimitInterleaving : public testing::TestWithParam<std::uint64_t> {};

// Guards against a start beyond the limit after any interleaving of writes that
// are delayed, lost, applied late or refused, lost owners, and changed limits;
// and against a customer that can no longer use its limit afterwards.
TEST_P(LimitInterleaving, NeverExceedsTheLimit) {
  LimitDay Day(GetParam());
  for (int Steps = 0; Steps < 3000; ++Steps)
    Day.step(/*HasFaults=*/true);
  EXPECT_EQ(Day.Excesses_, 0U);
  EXPECT_GT(Day.Starts_, 300U);
  Day.settle();
  for (std::size_t Pool = 0; Pool < PoolCount; ++Pool)
    Day.setDemand(Pool, 0);
  for (int Steps = 0; Steps < 600; ++Steps) // Longer than any grant is kept.
    Day.step(/*HasFaults=*/false);
  const std::size_t Calls = Day.Store_.Calls_;
  for (int Steps = 0; Steps < 400; ++Steps)
    Day.step(/*HasFaults=*/false);
  EXPECT_EQ(Day.Store_.Calls_, Calls) << "calls without demand";
  Day.setDemand(1, 99);
  std::int64_t Most = 0;
  for (int Steps = 0; Steps < 250; ++Steps) {
    Day.step(/*HasFaults=*/false);
    Most = std::max(Most, Day.running());
  }
  EXPECT_GE(Most, HighLimit - 4);
  EXPECT_EQ(Day.Excesses_, 0U);
}

INSTANTIATE_TEST_SUITE_P(Seeds, LimitInterleaving,
                         testing::Range<std::uint64_t>(1, 41));

} // namespace
} // namespace dragonflylock
