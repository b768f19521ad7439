#include "scheduling/poolview.h"
#include "scheduling/tests/mocks/ownertest.h"

#include <array>
#include <cstdio>

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;

/// A pool whose only worker is full, with a long backlog of jobs.
class DispatchCostTest : public OwnerTest {
protected:
  static constexpr std::uint32_t Backlog = 1000;
  /// Maximum number of jobs that one run end may concern: the job that
  /// continues and the jobs that start.
  static constexpr std::uint64_t MaxVisitsPerRunEnd = 5;
  static constexpr std::int64_t Core = 1000;

  static JobSpec jobOf(std::uint32_t Tasks, std::int64_t CpuMillis) {
    JobSpec Spec;
    Spec.Payload_ = "payload";
    StepSpec Step;
    Step.TaskCount_ = Tasks;
    Step.PerTask_ = {CpuMillis, 1000, 0};
    Step.Estimate_ = milliseconds(500);
    Spec.Steps_ = {Step};
    return Spec;
  }

  /// \param CpuMillis CPU that each task of the backlog requires.
  void ownFullPool(std::int64_t CpuMillis) {
    storeJob(jobOf(16, Core));
    for (std::uint32_t Number = 0; Number < Backlog; ++Number) {
      std::array<char, 17> Id{};
      std::snprintf(Id.data(), Id.size(), "%016x", Number + 0x1000);
      storeJob(jobOf(13, CpuMillis), Id.data(), milliseconds(100000));
    }
    takeOwnership(0, {workerOf("w1", {16 * Core, 64000, 0})});
    Workers_.takeHold().Done_(acceptedAnswer({}));
    tickTwice();
    ASSERT_EQ(Workers_.Starts_.size(), 16U);
    while (!Workers_.Starts_.empty())
      Workers_.takeStart().Done_({OrderOutcome::Accepted, WorkerClock(1000)});
    tickTwice();
  }

  void endTask(std::uint32_t Index) {
    std::vector<ListedRun> Running;
    for (std::uint32_t Other = Index + 1; Other < 16; ++Other) {
      ListedRun Run;
      Run.Task_ = {JobId, 0, 0, Other};
      Run.Run_ = 1;
      Run.Percent_ = 100;
      Running.push_back(Run);
    }
    ListedEnd End;
    End.Sequence_ = 1;
    End.Task_ = {JobId, 0, 0, Index};
    End.Run_ = 1;
    End.Kind_ = EndKind::Done;
    Workers_.takeHold().Done_(acceptedAnswer(Running, {End}));
    Owner_->tick();
  }

  std::uint64_t visits() const { return Owner_->view().JobVisits_; }
};

TEST_F(DispatchCostTest, RunEndWithTooLittleRoomVisitsFewJobs) {
  ownFullPool(2 * Core);
  std::uint64_t Before = visits();
  endTask(0);
  EXPECT_TRUE(Workers_.Starts_.empty());
  EXPECT_LE(visits() - Before, MaxVisitsPerRunEnd);
}

TEST_F(DispatchCostTest, RunEndWithRoomForOneTaskVisitsFewJobs) {
  ownFullPool(Core);
  std::uint64_t Before = visits();
  endTask(0);
  EXPECT_EQ(Workers_.Starts_.size(), 1U);
  EXPECT_LE(visits() - Before, MaxVisitsPerRunEnd);
}

TEST_F(DispatchCostTest, TicksWithoutChangesVisitNoJob) {
  ownFullPool(2 * Core);
  std::uint64_t Before = visits();
  for (int Round = 0; Round < 10; ++Round) {
    Clock_.advance(milliseconds(100));
    Owner_->tick();
  }
  EXPECT_EQ(visits(), Before);
}

} // namespace
} // namespace dragonflylock
