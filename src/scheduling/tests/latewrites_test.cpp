#include "scheduling/controlrows.h"
#include "scheduling/tests/mocks/poolownertest.h"

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;

/// Nodes that own a pool without workers, and a store that applies some writes
/// seconds after it has given no response.
class LateWritesTest : public PoolOwnerTest {
protected:
  void submit(SchedulerNode &Node, int Count) {
    for (int Number = 0; Number < Count; ++Number)
      Node.jobRequests().submit(Queue_, std::to_string(++Submitted_), jobOf(1),
                                milliseconds(1000), [](const JobResponse &) {});
  }

  void run(SchedulerNode &Node, milliseconds Duration) {
    for (const TimePoint End = Clock_.now() + Duration; Clock_.now() < End;) {
      Clock_.advance(milliseconds(50));
      Store_.deliverChanges();
      Node.tick();
    }
  }

  PendingRow stored() {
    return controlrows::decodePending(Store_.Rows_[Row_].Value_)
        .value_or(PendingRow());
  }

  const StoreKey Row_ = controlrows::pending("pool");
  int Submitted_ = 0;
};

// Guards against a number of pending jobs that stays wrong for good, since a
// late write has replaced a newer one.
TEST_F(LateWritesTest, LateCountDoesNotReplaceANewerOne) {
  auto Node = joinNode("node-1", "process-1", {});
  run(*Node, milliseconds(5000));
  Store_.LosesNextWriteOf_ = Row_;
  submit(*Node, 2);
  run(*Node, milliseconds(2000));
  submit(*Node, 8);
  run(*Node, milliseconds(2000));
  ASSERT_EQ(stored().Pending_["queue"], 10U);
  Store_.applyLateWrites();
  EXPECT_EQ(stored().Pending_["queue"], 10U);
}

// Guards against a count that is not written again after its write has failed,
// because an earlier one was applied before it.
TEST_F(LateWritesTest, CountIsWrittenAgainAfterALateOne) {
  auto Node = joinNode("node-1", "process-1", {});
  run(*Node, milliseconds(5000));
  Store_.LosesNextWriteOf_ = Row_;
  submit(*Node, 2);
  for (int Round = 0; Round < 40 && Store_.LateWrites_.empty(); ++Round)
    run(*Node, milliseconds(50));
  Store_.applyLateWrites();
  submit(*Node, 8);
  run(*Node, milliseconds(2000));
  EXPECT_EQ(stored().Pending_["queue"], 10U);
}

// Guards against a late write of a previous owner, whose counts other nodes
// ignore, so that they would give none.
TEST_F(LateWritesTest, LateCountOfAPreviousOwnerDoesNotReplaceThatOfTheNext) {
  auto First = joinNode("node-1", "process-1", {});
  run(*First, milliseconds(5000));
  Store_.LosesNextWriteOf_ = Row_;
  submit(*First, 2);
  for (int Round = 0; Round < 40 && Store_.LateWrites_.empty(); ++Round)
    run(*First, milliseconds(50));
  First->release();
  First.reset();
  auto Second = joinNode("node-2", "process-2", {});
  run(*Second, milliseconds(8000));
  const PendingRow Before = stored();
  ASSERT_EQ(Before.Pending_.at("queue"), 2U);
  Store_.applyLateWrites();
  EXPECT_EQ(stored().Token_, Before.Token_);
}

} // namespace
} // namespace dragonflylock
