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

/// An entry instance that runs jobs over a faulty table.
struct Holder {
  Holder(const std::string &Name, EmbeddedPlatform &Platform,
         const IClock &Clock)
      : Name_(Name), Table_(Platform), Service_(Table_, Clock),
        Runner_(Name, Service_, Clock,
                [this](const std::string &Id, std::uint64_t Epoch,
                       const HttpRequest &) {
                  Started_.push_back({Id, Epoch});
                  return true;
                }) {}

  void endRun(const JobRunEnd &End) {
    auto [Id, Epoch] = Started_.front();
    Started_.pop_front();
    Runner_.onRunEnd(Id, Epoch, End);
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
  /// Lets \p Each run rounds for \p Time.
  void run(const std::vector<Holder *> &Each, milliseconds Time) {
    std::vector<std::string> Members;
    Members.reserve(Each.size());
    for (Holder *Entry : Each)
      Members.push_back(Entry->Name_);
    for (auto Left = Time; Left.count() > 0; Left -= milliseconds(500)) {
      for (Holder *Entry : Each)
        Entry->Runner_.runRound(Members, true);
      Clock_.advance(milliseconds(500));
    }
  }
  static JobRunEnd answered() { return {true, {200, {}, "done"}, {}, {}}; }

  EmbeddedPlatform Platform_;
  ManualClock Clock_;
  Holder A_{"a", Platform_, Clock_};
  Holder B_{"b", Platform_, Clock_};
};

TEST_F(JobRunnerTest, RunsAJobToItsAnswer) {
  create("j", false);
  run({&A_}, seconds(1));
  ASSERT_EQ(A_.Started_.size(), 1U);
  EXPECT_EQ(row("j").State_, JobState::Running);
  A_.endRun(answered());
  run({&A_}, seconds(1));
  EXPECT_EQ(row("j").State_, JobState::Answered);
  EXPECT_EQ(row("j").Answer_.Body_, "done");
  EXPECT_EQ(A_.Runner_.ownRuns(), 0U);
}

TEST_F(JobRunnerTest, OneHolderAtATimeWhileItRenews) {
  create("j", true);
  run({&A_, &B_}, seconds(60));
  EXPECT_EQ(A_.Started_.size() + B_.Started_.size(), 1U);
}

TEST_F(JobRunnerTest, AnotherTakesUpWhatALostHolderLeft) {
  create("j", true);
  run({&A_}, seconds(1));
  run({&B_}, seconds(10));
  ASSERT_EQ(B_.Started_.size(), 1U);
  // The first holder wakes and reports; its result comes too late.
  A_.endRun({true, {200, {}, "late"}, {}, {}});
  run({&A_}, seconds(1));
  B_.endRun(answered());
  run({&B_}, seconds(1));
  EXPECT_EQ(row("j").Answer_.Body_, "done");
}

TEST_F(JobRunnerTest, WhatIsNotIdempotentNeverRunsTwice) {
  create("j", false);
  run({&A_}, seconds(1));
  run({&B_}, seconds(60));
  EXPECT_TRUE(B_.Started_.empty());
  EXPECT_EQ(row("j").State_, JobState::Failed);
  EXPECT_EQ(row("j").Outcome_, "unknown");
}

TEST_F(JobRunnerTest, WhatWasNotRunIsTriedAgainAndEndsAtLast) {
  create("j", false);
  int Runs = 0;
  for (int Round = 0; Round < 40; ++Round) {
    run({&A_}, seconds(1));
    if (A_.Started_.empty())
      continue;
    ++Runs;
    A_.endRun({false, {}, "connect-failed", "not-run"});
  }
  EXPECT_EQ(Runs, static_cast<int>(MostJobAttempts));
  EXPECT_EQ(row("j").State_, JobState::Failed);
  EXPECT_EQ(row("j").Outcome_, "not-run");
}

TEST_F(JobRunnerTest, ALostAnswerOfANonIdempotentRunEndsAsUnknown) {
  create("j", false);
  run({&A_}, seconds(1));
  A_.endRun({false, {}, "answer-lost", "unknown"});
  run({&A_}, seconds(5));
  EXPECT_EQ(row("j").State_, JobState::Failed);
  EXPECT_TRUE(A_.Started_.empty());
}

TEST_F(JobRunnerTest, CancelledJobsEndAtOnceAndFreeTheirRuns) {
  constexpr int Jobs = 300;
  for (int Number = 0; Number < Jobs; ++Number)
    create("j" + std::to_string(Number), true);
  run({&A_}, seconds(1));
  TableJobService Service(Platform_, Clock_);
  JobMachine Machine("canceller");
  for (int Number = 0; Number < Jobs; ++Number) {
    std::string Id = "j" + std::to_string(Number);
    auto Job = Service.read(Id).value();
    auto Cancelled = Machine.cancel(Job->Record_);
    ASSERT_TRUE(Cancelled);
    EXPECT_TRUE(Service.write(Id, Job->Version_, *Cancelled));
  }
  std::size_t Before = A_.Started_.size();
  run({&A_}, seconds(5));
  EXPECT_EQ(A_.Started_.size(), Before);
  EXPECT_EQ(A_.Runner_.ownRuns(), 0U);
  EXPECT_FALSE(Machine.cancel(row("j0")));
}

/// Puts each fault at each call of both holders; every job ends, and one that
/// is not idempotent is started at most once.
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
        for (int Round = 0; Round < 60 && !JobMachine::hasEnded(row(Id));
             ++Round) {
          run({&A_, &B_}, milliseconds(500));
          for (Holder *Each : {&A_, &B_}) {
            if (Each->Started_.empty())
              continue;
            ++Starts;
            Each->endRun(answered());
          }
        }
        EXPECT_TRUE(JobMachine::hasEnded(row(Id))) << Id;
        if (!IsIdempotent)
          EXPECT_LE(Starts, 1) << Id;
      }
}

TEST(JobCodec, KeepsRecordsWhole) {
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
