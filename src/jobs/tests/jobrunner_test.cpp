#include "global/tests/mocks/manualclock.h"
#include "jobs/internal/tablejobservice.h"
#include "jobs/jobcodec.h"
#include "jobs/jobrunner.h"
#include "platformservices/internal/embeddedplatform.h"
#include "platformservices/tests/mocks/faultinjectingtable.h"

#include <gtest/gtest.h>

#include <deque>

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// An entry instance that runs jobs stored in a table with fault injection.
struct TestInstance {
  TestInstance(const std::string &Name, EmbeddedPlatform &Platform,
               const IClock &Clock)
      : Name_(Name), Table_(Platform), Service_(Table_, Clock),
        Runner_(Name, Service_, Clock,
                [this](const std::string &Id, std::uint64_t Epoch,
                       const HttpRequest &) {
                  Started_.push_back({Id, Epoch});
                  return true;
                }) {}

  void finishRun(const JobRunResult &RunResult) {
    auto [Id, Epoch] = Started_.front();
    Started_.pop_front();
    Runner_.onRunResult(Id, Epoch, RunResult);
  }

  std::string Name_;
  FaultInjectingTable Table_;
  TableJobService Service_;
  JobRunner Runner_;
  std::deque<std::pair<std::string, std::uint64_t>> Started_;
};

class JobRunnerTest : public ::testing::Test {
protected:
  void create(const std::string &Id, bool IsIdempotent) {
    JobRecord Record;
    Record.Request_ = {"POST", "/mending/x", {}, "{}"};
    Record.IsIdempotent_ = IsIdempotent;
    EXPECT_TRUE(TableJobService(Platform_, Clock_).create(Id, Record));
  }
  JobRecord row(const std::string &Id) {
    return TableJobService(Platform_, Clock_).read(Id).value()->Record_;
  }
  /// Runs rounds of all \p Instances for \p Time, one every 500 ms.
  void runRounds(const std::vector<TestInstance *> &Instances,
                 milliseconds Time) {
    std::vector<std::string> Members;
    Members.reserve(Instances.size());
    for (TestInstance *Entry : Instances)
      Members.push_back(Entry->Name_);
    for (auto Left = Time; Left.count() > 0; Left -= milliseconds(500)) {
      for (TestInstance *Entry : Instances)
        Entry->Runner_.runRound(Members, true);
      Clock_.advance(milliseconds(500));
    }
  }
  static JobRunResult answeredResult() {
    return {true, {200, {}, "done"}, {}, {}};
  }

  EmbeddedPlatform Platform_;
  ManualClock Clock_;
  TestInstance A_{"a", Platform_, Clock_};
  TestInstance B_{"b", Platform_, Clock_};
};

TEST_F(JobRunnerTest, RunsJobUntilAnswered) {
  create("j", false);
  runRounds({&A_}, seconds(1));
  ASSERT_EQ(A_.Started_.size(), 1U);
  EXPECT_EQ(row("j").State_, JobState::Running);
  A_.finishRun(answeredResult());
  runRounds({&A_}, seconds(1));
  EXPECT_EQ(row("j").State_, JobState::Answered);
  EXPECT_EQ(row("j").Answer_.Body_, "done");
  EXPECT_EQ(A_.Runner_.unfinishedRuns(), 0U);
}

TEST_F(JobRunnerTest, SingleHolderWhileLeaseIsRenewed) {
  create("j", true);
  runRounds({&A_, &B_}, seconds(60));
  EXPECT_EQ(A_.Started_.size() + B_.Started_.size(), 1U);
}

TEST_F(JobRunnerTest, AnotherInstanceAcquiresJobOfLostHolder) {
  create("j", true);
  runRounds({&A_}, seconds(1));
  runRounds({&B_}, seconds(10));
  ASSERT_EQ(B_.Started_.size(), 1U);
  // The first holder resumes after its lease has expired, and its result is
  // discarded.
  A_.finishRun({true, {200, {}, "late"}, {}, {}});
  runRounds({&A_}, seconds(1));
  B_.finishRun(answeredResult());
  runRounds({&B_}, seconds(1));
  EXPECT_EQ(row("j").Answer_.Body_, "done");
}

TEST_F(JobRunnerTest, NonIdempotentJobNeverRunsTwice) {
  create("j", false);
  runRounds({&A_}, seconds(1));
  runRounds({&B_}, seconds(60));
  EXPECT_TRUE(B_.Started_.empty());
  EXPECT_EQ(row("j").State_, JobState::Failed);
  EXPECT_EQ(row("j").Outcome_, "unknown");
}

TEST_F(JobRunnerTest, JobNotRunIsRetriedUntilMaxAttempts) {
  create("j", false);
  int Runs = 0;
  for (int Round = 0; Round < 40; ++Round) {
    runRounds({&A_}, seconds(1));
    if (A_.Started_.empty())
      continue;
    ++Runs;
    A_.finishRun({false, {}, "connect-failed", "not-run"});
  }
  EXPECT_EQ(Runs, static_cast<int>(MaxJobAttempts));
  EXPECT_EQ(row("j").State_, JobState::Failed);
  EXPECT_EQ(row("j").Outcome_, "not-run");
}

TEST_F(JobRunnerTest, LostResponseFailsNonIdempotentJob) {
  create("j", false);
  runRounds({&A_}, seconds(1));
  A_.finishRun({false, {}, "answer-lost", "unknown"});
  runRounds({&A_}, seconds(5));
  EXPECT_EQ(row("j").State_, JobState::Failed);
  EXPECT_TRUE(A_.Started_.empty());
}

TEST_F(JobRunnerTest, CancelledJobsReleaseTheirRuns) {
  constexpr int Jobs = 300;
  for (int Number = 0; Number < Jobs; ++Number)
    create("j" + std::to_string(Number), true);
  runRounds({&A_}, seconds(1));
  TableJobService Service(Platform_, Clock_);
  JobStateMachine Machine("canceller");
  for (int Number = 0; Number < Jobs; ++Number) {
    std::string Id = "j" + std::to_string(Number);
    auto Job = Service.read(Id).value();
    auto Cancelled = Machine.cancel(Job->Record_);
    ASSERT_TRUE(Cancelled);
    EXPECT_TRUE(Service.write(Id, Job->Version_, *Cancelled));
  }
  std::size_t Before = A_.Started_.size();
  runRounds({&A_}, seconds(5));
  EXPECT_EQ(A_.Started_.size(), Before);
  EXPECT_EQ(A_.Runner_.unfinishedRuns(), 0U);
  EXPECT_FALSE(Machine.cancel(row("j0")));
}

/// Injects each fault at each of the first 12 table calls of instance A. Every
/// job must end, and one that is not idempotent must be started at most once.
TEST_F(JobRunnerTest, EveryJobEndsUnderEveryFaultAtEveryStep) {
  using Fault = FaultInjectingTable::Fault;
  constexpr int MaxCalls = 12;
  int Cases = 0;
  for (Fault Kind :
       {Fault::Unavailable, Fault::LostBeforeWrite, Fault::LostAfterWrite})
    for (int First = 0; First < MaxCalls; ++First)
      for (bool IsIdempotent : {true, false}) {
        std::string Id = "case" + std::to_string(Cases++);
        create(Id, IsIdempotent);
        A_.Table_.injectFault(Kind, First, 2);
        int Starts = 0;
        for (int Round = 0; Round < 60 && !JobStateMachine::hasEnded(row(Id));
             ++Round) {
          runRounds({&A_, &B_}, milliseconds(500));
          for (TestInstance *Instance : {&A_, &B_}) {
            if (Instance->Started_.empty())
              continue;
            ++Starts;
            Instance->finishRun(answeredResult());
          }
        }
        EXPECT_TRUE(JobStateMachine::hasEnded(row(Id))) << Id;
        if (!IsIdempotent)
          EXPECT_LE(Starts, 1) << Id;
      }
}

TEST(JobCodec, RoundTripsRecords) {
  JobRecord Record;
  Record.State_ = JobState::Answered;
  Record.Request_ = {"POST", "/x", {{"A", "b"}}, std::string("\0\xff", 2)};
  Record.Answer_ = {201, {{"C", "d"}}, "ok"};
  Record.Epoch_ = 3;
  auto Read = jobcodec::decode(jobcodec::encode(Record));
  ASSERT_TRUE(Read);
  EXPECT_EQ(Read.value().Request_.Body_, std::string("\0\xff", 2));
  EXPECT_EQ(Read.value().Answer_.Status_, 201);
  EXPECT_FALSE(jobcodec::decode("{}"));
}

} // namespace
} // namespace dragonflylock
