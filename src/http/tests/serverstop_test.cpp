#include "http/internal/restinioserver.h"
#include "http/tests/mocks/holdinghandler.h"
#include "http/tests/mocks/rawconnection.h"

#include <gtest/gtest.h>

#include <thread>

namespace dragonflylock {
namespace {

constexpr std::size_t LargestBody = 1000;

class ServerStopTest : public testing::Test {
protected:
  ServerStopTest() : Server_({"127.0.0.1", 0}, Handler_, LargestBody) {
    EXPECT_TRUE(Server_.start());
  }

  void awaitPending(std::size_t Count) const {
    while (Server_.pendingAnswers() != Count)
      std::this_thread::yield();
  }

  HoldingHandler Handler_;
  RestinioServer Server_;
};

TEST_F(ServerStopTest, LeavesNoIdleConnectionOpenForARequestAtTheEnd) {
  RawConnection Caller(Server_.port());
  Caller.get("/");
  EXPECT_TRUE(Caller.readUntil("at once").starts_with("HTTP/1.1 200"));
  Server_.closeConnectionsAfterAnswers();
  EXPECT_EQ(Caller.readToEnd(), "");
  EXPECT_TRUE(Caller.isClosed());
}

TEST_F(ServerStopTest, AnswersARequestThatIsPendingAtTheEnd) {
  RawConnection Caller(Server_.port());
  Caller.get("/held");
  awaitPending(1);
  Server_.stop();
  EXPECT_TRUE(Caller.readToEnd().starts_with("HTTP/1.1 504"));
}

} // namespace
} // namespace dragonflylock
