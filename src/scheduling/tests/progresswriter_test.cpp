#include "scheduling/tests/mocks/ownertest.h"

#include <map>

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;

class ProgressWriterTest : public OwnerTest {
protected:
  ProgressWriterTest() { Queue_.MaxFailedRuns_ = 3; }

  static JobSpec pairJob() {
    StepSpec Step;
    Step.TaskCount_ = 2;
    Step.PerTask_ = {1000, 1000, 0};
    Step.Estimate_ = milliseconds(500);
    JobSpec Spec;
    Spec.Steps_ = {Step};
    return Spec;
  }
};

// The store rejects a transaction that holds the rows of all jobs, so that a
// writer that does not split its batches would never store any of them.
TEST_F(ProgressWriterTest, StoresRowsThatTogetherExceedOneTransaction) {
  constexpr std::size_t Jobs = 16;
  constexpr std::size_t RowBytes = 60000;
  auto IdOf = [](std::size_t Number) {
    return "00000000000000" + std::to_string(10 + Number);
  };
  for (std::size_t Number = 0; Number < Jobs; ++Number)
    storeJob(pairJob(), IdOf(Number));
  Store_.MostBytes_ = RowBytes * Jobs / 2;
  takeOwnership(0, {workerOf("w1", {16000, 32000, 0}),
                    workerOf("w2", {16000, 32000, 0})});
  while (!Workers_.Holds_.empty())
    Workers_.takeHold().Done_(acceptedAnswer({}));
  tickTwice();
  ASSERT_EQ(Workers_.Starts_.size(), Jobs * 2);
  std::map<std::string, std::vector<ListedEnd>> Ends;
  while (!Workers_.Starts_.empty()) {
    RecordingWorkers::Start Each = Workers_.takeStart();
    Each.Done_({OrderOutcome::Accepted, WorkerClock(1000)});
    std::vector<ListedEnd> &OfWorker = Ends[Each.Target_.Id_];
    if (Each.Order_.Task_.Index_ == 0)
      OfWorker.push_back({OfWorker.size() + 1, Each.Order_.Task_,
                          Each.Order_.Run_, EndKind::Failed,
                          std::string(RowBytes, 'c')});
  }
  for (int Round = 0; Round < 40; ++Round) {
    while (!Workers_.Holds_.empty()) {
      RecordingWorkers::Hold Each = Workers_.takeHold();
      Each.Done_(acceptedAnswer({}, Ends[Each.Target_.Id_]));
    }
    Clock_.advance(milliseconds(100));
    Owner_->tick();
  }
  for (std::size_t Number = 0; Number < Jobs; ++Number)
    EXPECT_TRUE(Store_.Rows_.contains(
        jobrows::keyOf("queue", IdOf(Number), JobRowKind::Progress)))
        << Number;
}

} // namespace
} // namespace dragonflylock
