#include "scheduling/poolview.h"
#include "scheduling/tests/mocks/returnedworkerstest.h"

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;

/// A start that the former lifetime of w1 has not answered is still under way.
/// Meanwhile w2 is free.
class LateStartsTest : public ReturnedWorkersTest {
protected:
  /// Sends the start to w1, which does not carry it out for now.
  void loseStart() {
    startOnFormerLifetime();
    Late_ = Workers_.takeStart();
    SentAt_ = Clock_.now();
    Clock_.advance(milliseconds(800));
    Late_.Done_({OrderOutcome::Unknown, WorkerClock(0)});
    Owner_->onWorkers({worker("w1"), worker("w2")});
  }

  milliseconds sinceSent() const {
    return std::chrono::duration_cast<milliseconds>(Clock_.now() - SentAt_);
  }

  /// Answers the holds for \p Lifetime of w1; null if it does not respond.
  void serveFor(milliseconds Duration, LeasedWorker *Lifetime) {
    for (const TimePoint End = Clock_.now() + Duration;
         Clock_.now() < End && Workers_.Starts_.empty();) {
      Clock_.advance(Step);
      // As each renewal of the lease.
      if (sinceSent() % milliseconds(500) < Step)
        renewLease();
      Owner_->tick();
      answerHolds([&](const RecordingWorkers::Hold &Each) {
        if (Each.Target_.Id_ == "w2")
          return acceptedAnswer({});
        return Lifetime == nullptr ? HoldAnswer()
                                   : Lifetime->carryOut(Each.Order_);
      });
      for (; !Workers_.Stops_.empty(); Workers_.Stops_.pop_front())
        Workers_.Stops_.front().Done_({OrderOutcome::Accepted, WorkerClock(0)});
    }
  }

  /// The crash of w1 and its return, which the registry shows.
  void returnAs(milliseconds Born) {
    Later_.emplace(Clock_, Born, LaterClock);
    WorkerEntry Entry = worker("w1");
    Entry.Born_ = Born;
    Owner_->onWorkers({Entry, worker("w2")});
  }

  /// Sets the list of the machines: that of w1 has \p Worker in \p Pool.
  void listMachine(const std::string &Worker, const std::string &Pool) {
    Machine Entry;
    Entry.Name_ = worker("w1").Machine_;
    Entry.Pool_ = Pool;
    Entry.State_ = Worker.empty() ? MachineState::Down : MachineState::Up;
    Entry.Worker_ = Worker;
    Machines_.List_.IsValid_ = true;
    Machines_.List_.Machines_ = {Entry};
  }

  RecordingWorkers::Start Late_;
  TimePoint SentAt_;
};

// Guards against two runs of a task when its start is carried out late by a
// lifetime that began after the former one had shown not to have the run.
TEST_F(LateStartsTest, TaskStartsNowhereElseWhileItsStartMayArrive) {
  loseStart();
  serveFor(milliseconds(6100), &*Former_);
  Former_.reset();
  // The return is not known yet.
  Later_.emplace(Clock_, LaterBorn, LaterClock);
  serveFor(milliseconds(600), nullptr);
  EXPECT_TRUE(Workers_.Starts_.empty());
  Late_.Done_(Later_->carryOut(Late_.Order_));
  ASSERT_TRUE(Later_->isRunning(task()));
  Owner_->onWorkers({returnedWorker(), worker("w2")});
  serveFor(milliseconds(20000), &*Later_);
  EXPECT_TRUE(Workers_.Starts_.empty());
  EXPECT_TRUE(Later_->isRunning(task()));
}

// Guards against the same by a worker that returns twice, so that its second
// lifetime's higher token is lost as well.
TEST_F(LateStartsTest, TokenOfOneLifetimeDoesNotKeepAStartFromTheNextOne) {
  loseStart();
  serveFor(milliseconds(2000), &*Former_);
  returnAs(LaterBorn);
  serveFor(milliseconds(5000), &*Later_);
  returnAs(LaterBorn * 2);
  EXPECT_TRUE(Workers_.Starts_.empty());
  Later_->carryOut(Late_.Order_);
  ASSERT_TRUE(Later_->isRunning(task()));
  serveFor(milliseconds(20000), &*Later_);
  EXPECT_TRUE(Workers_.Starts_.empty());
  EXPECT_TRUE(Later_->isRunning(task()));
}

// Guards against a task that waits for good for a start that was lost.
TEST_F(LateStartsTest, TaskStartsOnceItsStartCanNoLongerArrive) {
  constexpr milliseconds Bound{14000};
  loseStart();
  serveFor(milliseconds(30000), &*Former_);
  ASSERT_EQ(Workers_.Starts_.size(), 1U);
  EXPECT_GE(sinceSent(), Settings_.MaxOrderDelay_);
  EXPECT_LE(sinceSent(), Bound);
}

// Guards against two runs of a task if the worker that carries out its start
// late does not respond then.
TEST_F(LateStartsTest, TaskOnASilentWorkerWaitsForTheLeaseAsWell) {
  loseStart();
  Later_.emplace(Clock_, LaterBorn, LaterClock);
  serveFor(milliseconds(11000), nullptr);
  EXPECT_TRUE(Workers_.Starts_.empty());
  Later_->carryOut(Late_.Order_);
  ASSERT_TRUE(Later_->isRunning(task()));
  serveFor(milliseconds(20000), nullptr);
  ASSERT_EQ(Workers_.Starts_.size(), 1U);
  EXPECT_FALSE(Later_->isRunning(task()));
}

// Guards against tasks that wait for a worker that was moved or replaced, whose
// orders no other worker takes as its own.
TEST_F(LateStartsTest, TaskOfAWorkerThatHasLeftItsMachineStarts) {
  loseStart();
  listMachine("w9", "pool");
  Owner_->onWorkers({worker("w2")});
  serveFor(milliseconds(12000), nullptr);
  EXPECT_EQ(Workers_.Starts_.size(), 1U);
  EXPECT_LT(sinceSent(), Settings_.MaxOrderDelay_);
}

TEST_F(LateStartsTest, TaskOfAWorkerInAnotherPoolStarts) {
  loseStart();
  listMachine("w1", "other");
  Owner_->onWorkers({worker("w2")});
  serveFor(milliseconds(12000), nullptr);
  EXPECT_EQ(Workers_.Starts_.size(), 1U);
}

// Guards against two runs of a task whose worker is only down and comes back.
TEST_F(LateStartsTest, TaskOfAWorkerThatIsDownWaits) {
  loseStart();
  listMachine("", "pool");
  Owner_->onWorkers({worker("w2")});
  serveFor(milliseconds(12000), nullptr);
  EXPECT_TRUE(Workers_.Starts_.empty());
}

// Guards against a worker whose resources stay taken by starts that it can no
// longer carry out.
TEST_F(LateStartsTest, OtherTasksUseTheWorkerMeanwhile) {
  loseStart();
  serveFor(milliseconds(4000), &*Former_);
  EXPECT_EQ(Owner_->view().Runs_, 0U);
  EXPECT_EQ(Owner_->view().Free_.CpuMillis_,
            2 * worker("w1").Capacity_.CpuMillis_);
}

// Guards against a wait after a start that the worker has refused.
TEST_F(LateStartsTest, RefusedStartIsNotWaitedFor) {
  startOnFormerLifetime();
  Workers_.takeStart().Done_({OrderOutcome::NoRoom, WorkerClock(1000)});
  Owner_->onWorkers({worker("w1"), worker("w2")});
  SentAt_ = Clock_.now();
  serveFor(milliseconds(1000), &*Former_);
  EXPECT_EQ(Workers_.Starts_.size(), 1U);
}

// Guards against two runs of a task after a change of owner, when the worker
// has answered the next owner before it returns.
TEST_F(LateStartsTest, NextOwnerWaitsForLateStartsOfItsPredecessor) {
  loseStart();
  serveFor(milliseconds(4000), &*Former_);
  Owner_.reset();
  Workers_.Holds_.clear();
  takeOwnership(1, {worker("w1"), worker("w2")});
  serveFor(milliseconds(2000), &*Former_);
  EXPECT_TRUE(Workers_.Starts_.empty());
  serveFor(milliseconds(14000), &*Former_);
  EXPECT_EQ(Workers_.Starts_.size(), 1U);
}

// Guards against a task that waits longer with each change of owner.
TEST_F(LateStartsTest, ChangesOfOwnerDoNotProlongTheWait) {
  constexpr milliseconds Bound{15000};
  loseStart();
  for (std::uint64_t Change = 1; Change <= 5; ++Change) {
    serveFor(milliseconds(2000), &*Former_);
    Owner_.reset();
    Workers_.Holds_.clear();
    takeOwnership(Change, {worker("w1"), worker("w2")});
  }
  serveFor(milliseconds(14000), &*Former_);
  EXPECT_EQ(Workers_.Starts_.size(), 1U);
  EXPECT_GE(sinceSent(), Settings_.MaxOrderDelay_);
  EXPECT_LE(sinceSent(), Bound);
}

// Guards against a task that waits anew because the pool had no owner for some
// time.
TEST_F(LateStartsTest, TimeWithoutAnOwnerCountsAsWell) {
  Store_.Clock_ = &Clock_;
  constexpr milliseconds Bound{14000};
  loseStart();
  serveFor(milliseconds(1000), &*Former_);
  Owner_.reset();
  Workers_.Holds_.clear();
  Clock_.advance(milliseconds(7000));
  takeOwnership(1, {worker("w1"), worker("w2")});
  serveFor(milliseconds(20000), &*Former_);
  EXPECT_EQ(Workers_.Starts_.size(), 1U);
  EXPECT_GE(sinceSent(), Settings_.MaxOrderDelay_);
  EXPECT_LE(sinceSent(), Bound);
}

// Guards against the same if the previous owner stopped while the start was
// under way.
TEST_F(LateStartsTest, ReleaseNamesStartsThatAreUnderWay) {
  startOnFormerLifetime();
  bool IsNamed = false;
  for (const StorePut &Row : Owner_->rowsForRelease())
    if (Row.Name_ == controlrows::lateStarts("pool")) {
      auto Read = controlrows::decodeLateStarts(Row.Value_);
      IsNamed = Read && Read->TimeLeft_["w1"].contains(task().text());
    }
  EXPECT_TRUE(IsNamed);
}

// Guards against a wait for tasks of which several copies may run.
TEST_F(LateStartsTest, TaskThatAllowsDuplicatesIsNotWaitedFor) {
  AllowsDuplicates_ = true;
  loseStart();
  serveFor(milliseconds(4000), &*Former_);
  EXPECT_EQ(Workers_.Starts_.size(), 1U);
}

} // namespace
} // namespace dragonflylock
