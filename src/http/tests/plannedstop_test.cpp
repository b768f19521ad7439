#include "http/internal/restinioserver.h"
#include "http/plannedstop.h"
#include "http/tests/mocks/holdinghandler.h"
#include "http/tests/mocks/rawconnection.h"

#include <gtest/gtest.h>

#include <memory>
#include <thread>
#include <vector>

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t LargestBody = 1000;
constexpr milliseconds Grace{6000};
constexpr milliseconds Step{20};

/// A stop of a real server on a clock that only the test moves.
class PlannedStopTest : public testing::Test {
protected:
  PlannedStopTest() : Server_({"127.0.0.1", 0}, Handler_, LargestBody) {
    EXPECT_TRUE(Server_.start());
  }

  std::string exchange(const std::string &Path) const {
    RawConnection Caller(Server_.port());
    Caller.get(Path);
    return Caller.readToEnd();
  }
  void awaitPending(std::size_t Count) const {
    while (Server_.pendingAnswers() != Count)
      std::this_thread::yield();
  }
  void awaitNoConnection() const {
    while (Server_.openConnections() != 0)
      std::this_thread::yield();
  }

  HoldingHandler Handler_;
  RestinioServer Server_;
  TimePoint Begin_ = TimePoint(std::chrono::hours(1));
  StopSchedule Schedule_ = StopSchedule::within(Begin_, Grace);
  int Ends_ = 0;
  PlannedStop Stop_{Server_, Schedule_, [this] {
                      ++Ends_;
                      Handler_.answerHeld();
                    }};
};

TEST_F(PlannedStopTest, ServesCallersThatStillCome) {
  EXPECT_FALSE(Stop_.step(Begin_));
  RawConnection Early(Server_.port());
  Early.get("/");
  std::string Kept = Early.readUntil("at once");
  EXPECT_TRUE(Kept.starts_with("HTTP/1.1 200"));
  EXPECT_EQ(Kept.find("Connection: close"), std::string::npos);
  EXPECT_FALSE(Stop_.step(Schedule_.CloseAt_));
  EXPECT_EQ(Early.readToEnd(), "");
  EXPECT_TRUE(Early.isClosed());
  EXPECT_FALSE(Stop_.step(Schedule_.RefuseAt_ - Step));
  std::string Late = exchange("/");
  EXPECT_TRUE(Late.starts_with("HTTP/1.1 200"));
  EXPECT_NE(Late.find("Connection: close"), std::string::npos);
}

TEST_F(PlannedStopTest, StopsEarlyOnlyWhenNoCallerIsLeft) {
  EXPECT_FALSE(Stop_.step(Schedule_.CloseAt_ - Step));
  TimePoint Now = Schedule_.CloseAt_;
  EXPECT_FALSE(Stop_.step(Now));
  EXPECT_FALSE(Stop_.step(Now += milliseconds(200)));
  exchange("/");
  awaitNoConnection();
  EXPECT_FALSE(Stop_.step(Now += milliseconds(200)));
  EXPECT_FALSE(Stop_.step(Now += milliseconds(200)));
  EXPECT_TRUE(Stop_.step(Now += milliseconds(1000)));
  EXPECT_EQ(Ends_, 0);
}

TEST_F(PlannedStopTest, WaitsForFinalAnswersUpToTheLastMoment) {
  RawConnection Caller(Server_.port());
  Caller.get("/held");
  awaitPending(1);
  int Ends = 0;
  PlannedStop Stop(Server_, Schedule_, [&Ends] { ++Ends; });
  EXPECT_FALSE(Stop.step(Schedule_.CloseAt_));
  EXPECT_FALSE(Stop.step(Schedule_.RefuseAt_));
  EXPECT_FALSE(Stop.step(Schedule_.EndRequestsAt_ - Step));
  EXPECT_EQ(Ends, 0);
  EXPECT_FALSE(Stop.step(Schedule_.EndRequestsAt_));
  EXPECT_FALSE(Stop.step(Schedule_.StopAt_ - Step));
  EXPECT_TRUE(Stop.step(Schedule_.StopAt_));
  EXPECT_EQ(Ends, 1);
}

// Callers send on new and on open connections until the process ends.
TEST_F(PlannedStopTest, AnswersEveryRequestThatIsRead) {
  constexpr int HeldEvery = 16;
  std::vector<std::unique_ptr<RawConnection>> Held;
  RawConnection Open(Server_.port());
  int Steps = 0;
  std::size_t Refused = 0;
  for (TimePoint Now = Begin_; !Stop_.step(Now); Now += Step, ++Steps) {
    ASSERT_LE(Now, Schedule_.StopAt_);
    const bool IsServed = Now < Schedule_.RefuseAt_;
    if (Now < Schedule_.CloseAt_) {
      Open.get("/");
      EXPECT_TRUE(Open.readUntil("at once").starts_with("HTTP/1.1 200"));
    }
    RawConnection Quick(Server_.port());
    Quick.get("/");
    std::string Answer = Quick.readUntil(IsServed ? "at once" : "again\"}");
    EXPECT_TRUE(Answer.starts_with(IsServed ? "HTTP/1.1 200" : "HTTP/1.1 503"));
    Refused += IsServed ? 0 : 1;
    if (Steps % HeldEvery != 0 || !IsServed)
      continue;
    Held.push_back(std::make_unique<RawConnection>(Server_.port()));
    Held.back()->get("/held");
    while (Handler_.heldCount() != Held.size())
      std::this_thread::yield();
  }
  Server_.stop();
  EXPECT_EQ(Open.readToEnd(), "");
  EXPECT_TRUE(Open.isClosed());
  EXPECT_EQ(Ends_, 1);
  EXPECT_GT(Refused, 0U);
  EXPECT_GT(Held.size(), 1U);
  for (const auto &Each : Held)
    EXPECT_TRUE(Each->readToEnd().starts_with("HTTP/1.1 200"));
  EXPECT_FALSE(RawConnection(Server_.port()).isConnected());
}

TEST(StopSchedule, EndsBeforeTheProcessIsKilled) {
  const TimePoint Begin = TimePoint(std::chrono::hours(1));
  for (milliseconds Given{2000}; Given <= milliseconds(30000);
       Given += milliseconds(500)) {
    StopSchedule Times = StopSchedule::within(Begin, Given);
    EXPECT_LE(Times.CloseAt_, Times.RefuseAt_);
    EXPECT_LT(Times.RefuseAt_, Times.EndRequestsAt_);
    EXPECT_LT(Times.EndRequestsAt_, Times.StopAt_);
    EXPECT_LT(Times.StopAt_, Begin + Given);
  }
}

} // namespace
} // namespace dragonflylock
