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

  /// Waits until the handler has \p Count requests. The server counts a request
  /// as pending before it decides whether to refuse it.
  void awaitHeld(std::size_t Count) const {
    while (Handler_.heldCount() != Count)
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
  awaitHeld(1);
  Server_.stop();
  EXPECT_TRUE(Caller.readToEnd().starts_with("HTTP/1.1 504"));
}

TEST_F(ServerStopTest, LeavesNoCallerWaitingAfterTheEnd) {
  RawConnection Caller(Server_.port());
  Caller.get("/");
  EXPECT_TRUE(Caller.readUntil("at once").starts_with("HTTP/1.1 200"));
  Server_.stop();
  EXPECT_EQ(Caller.readToEnd(), "");
  EXPECT_TRUE(Caller.isClosed());
}

TEST_F(ServerStopTest, RefusesNewRequestsWhileItWaitsForPendingOnes) {
  RawConnection Early(Server_.port());
  Early.get("/held");
  awaitHeld(1);
  Server_.refuseRequests({httpstatus::Unavailable, {{"Retry-After", "1"}}, {}});
  RawConnection Late(Server_.port());
  Late.get("/");
  std::string Refusal = Late.readToEnd();
  EXPECT_TRUE(Late.isClosed());
  EXPECT_TRUE(Refusal.starts_with("HTTP/1.1 503"));
  EXPECT_NE(Refusal.find("Retry-After: 1\r\n"), std::string::npos);
  EXPECT_NE(Refusal.find("Connection: close\r\n"), std::string::npos);
  EXPECT_EQ(Server_.refusedRequests(), 1U);
  Handler_.answerHeld();
  EXPECT_TRUE(Early.readToEnd().starts_with("HTTP/1.1 200"));
}

TEST_F(ServerStopTest, ServesARequestThatIsHalfReadWhenConnectionsClose) {
  RawConnection Caller(Server_.port());
  Caller.send("POST / HTTP/1.1\r\nHost: host\r\nContent-Length: 4\r\n\r\nha");
  RawConnection Idle(Server_.port());
  Server_.closeConnectionsAfterAnswers();
  Idle.readToEnd();
  EXPECT_TRUE(Idle.isClosed());
  Caller.send("lf");
  EXPECT_TRUE(Caller.readToEnd().starts_with("HTTP/1.1 200"));
}

} // namespace
} // namespace dragonflylock
