#include "scheduling/internal/crashblame.h"

#include <gtest/gtest.h>

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;

/// Fixture with a task whose trial ends with the crash of the worker "w0".
class CrashBlameTest : public testing::Test {
protected:
  static WorkerEntry worker(const std::string &Id,
                            const std::string &Zone = "z1",
                            const std::string &Rack = "") {
    WorkerEntry Entry;
    Entry.Id_ = Id;
    Entry.Machine_ = "machine-of-" + Id;
    Entry.Zone_ = Zone;
    Entry.Rack_ = Rack;
    return Entry;
  }

  void crashDuringTrial(const WorkerEntry &Worker) {
    Blame_.addCrash({Worker, Crashed_, true});
    Blame_.addTrial({{"job", 0, 0, 0}, 3, Worker.lifetime()});
  }

  /// \returns whether the task is blamed once the verdict is due.
  bool isBlamed(const std::vector<WorkerEntry> &Present) {
    auto Verdicts = Blame_.takeDue(Crashed_ + CrashBlame::Window, Present);
    return Verdicts.size() == 1 && Verdicts.front().IsBlamed_;
  }

  CrashBlame Blame_;
  TimePoint Crashed_{std::chrono::hours(1)};
};

TEST_F(CrashBlameTest, CrashOfOneWorkerIsBlamed) {
  crashDuringTrial(worker("w0"));
  EXPECT_TRUE(isBlamed({worker("w1")}));
}

TEST_F(CrashBlameTest, CrashOfTheOnlyWorkerIsBlamed) {
  crashDuringTrial(worker("w0"));
  EXPECT_TRUE(isBlamed({}));
}

// Guards against deadly tasks that are excused by each other's crashes.
TEST_F(CrashBlameTest, CrashIsBlamedIfAnotherWorkerOfTheZoneDidNotCrash) {
  crashDuringTrial(worker("w0"));
  Blame_.addCrash({worker("w1"), Crashed_ + milliseconds(900), false});
  EXPECT_TRUE(isBlamed({worker("w2")}));
}

TEST_F(CrashBlameTest, CrashOfTheWholeZoneIsNotBlamed) {
  crashDuringTrial(worker("w0"));
  Blame_.addCrash({worker("w1"), Crashed_, false});
  EXPECT_FALSE(isBlamed({worker("w2", "z2")}));
}

TEST_F(CrashBlameTest, CrashOfTheWholeRackIsNotBlamed) {
  crashDuringTrial(worker("w0", "z1", "r1"));
  Blame_.addCrash({worker("w1", "z1", "r1"), Crashed_, false});
  EXPECT_FALSE(isBlamed({worker("w2", "z1", "r2")}));
}

TEST_F(CrashBlameTest, DownWorkersDoNotMakeItACrashOfTheWholeZone) {
  Blame_.addCrash({worker("w2"), Crashed_ - milliseconds(2000), false});
  crashDuringTrial(worker("w0"));
  Blame_.addCrash({worker("w1"), Crashed_, false});
  EXPECT_TRUE(isBlamed({worker("w0"), worker("w1"), worker("w2")}));
}

TEST_F(CrashBlameTest, LaterLifetimesOfCrashedWorkersAreNotSurvivors) {
  crashDuringTrial(worker("w0"));
  Blame_.addCrash({worker("w1"), Crashed_, false});
  WorkerEntry Later = worker("w1");
  Later.Id_ = "later-w1";
  EXPECT_FALSE(isBlamed({Later}));
}

TEST_F(CrashBlameTest, DeadlyTasksOnTrialOnAllWorkersAreBlamed) {
  crashDuringTrial(worker("w0"));
  Blame_.addCrash({worker("w1"), Crashed_, true});
  EXPECT_TRUE(isBlamed({}));
}

TEST_F(CrashBlameTest, CrashesOfSomeWorkersThatHadStartedTasksAreBlamed) {
  crashDuringTrial(worker("w0"));
  Blame_.addCrash({worker("w1"), Crashed_, false});
  Blame_.addCrash({worker("w2"), Crashed_, false});
  EXPECT_TRUE(isBlamed({worker("w3")}));
}

TEST_F(CrashBlameTest, CrashesElsewhereOrAtAnotherTimeExplainNothing) {
  crashDuringTrial(worker("w0"));
  Blame_.addCrash({worker("w1", "z2"), Crashed_, false});
  Blame_.addCrash({worker("w2"), Crashed_ - milliseconds(1001), false});
  EXPECT_TRUE(isBlamed({worker("w3")}));
}

TEST_F(CrashBlameTest, CrashOfTheSameMachineIsNotAnotherCrash) {
  crashDuringTrial(worker("w0"));
  WorkerEntry Later = worker("w0");
  Later.Born_ += milliseconds(600);
  Blame_.addCrash({Later, Crashed_ + milliseconds(600), false});
  EXPECT_TRUE(isBlamed({}));
}

TEST_F(CrashBlameTest, WorkersWithoutAPlaceShareNoCause) {
  crashDuringTrial(worker("w0", ""));
  Blame_.addCrash({worker("w1", ""), Crashed_, false});
  EXPECT_TRUE(isBlamed({}));
}

TEST_F(CrashBlameTest, VerdictWaitsForCrashesThatAreNoticedLater) {
  crashDuringTrial(worker("w0"));
  EXPECT_TRUE(
      Blame_.takeDue(Crashed_ + CrashBlame::Window - milliseconds(1), {})
          .empty());
  EXPECT_TRUE(Blame_.hasTrials());
  EXPECT_TRUE(isBlamed({}));
  EXPECT_FALSE(Blame_.hasTrials());
}

} // namespace
} // namespace dragonflylock
