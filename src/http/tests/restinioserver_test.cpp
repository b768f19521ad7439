#include "http/httperrors.h"
#include "http/httptypes.h"
#include "http/ihttphandler.h"
#include "http/ihttpresponder.h"
#include "http/internal/curlclient.h"
#include "http/internal/restinioserver.h"

#include <gtest/gtest.h>

namespace dragonflylock {
namespace {

constexpr std::chrono::milliseconds Longest{5'000};

/// Echoes method, target and body; some paths misbehave on purpose.
class EchoHandler : public IHttpHandler {
public:
  void handle(HttpRequest Request,
              std::shared_ptr<IHttpResponder> Responder) override {
    ++Handled_;
    if (Request.path() == "/abort") {
      Responder->abort();
      return;
    }
    if (Request.path() == "/short") {
      Responder->answerShort({200, {{"Content-Length", "100"}}, "short"});
      return;
    }
    if (Request.Method_ == "HEAD") {
      Responder->answer({200, {{"Content-Length", "42"}}, {}});
      return;
    }
    Responder->answer({200,
                       {{"X-Method", Request.Method_}},
                       Request.Target_ + "|" + Request.Body_});
    Responder->answer({500, {}, "a second answer has no effect"});
  }
  int Handled_ = 0;
};

class RestinioServerTest : public ::testing::Test {
protected:
  RestinioServerTest() : Server_({"127.0.0.1", 0}, Handler_, 1000) {
    EXPECT_TRUE(Server_.start());
  }
  Result<HttpAnswer> send(const HttpRequest &Request) {
    return Client_.exchange(
        "http://127.0.0.1:" + std::to_string(Server_.port()), Request, Longest);
  }

  EchoHandler Handler_;
  RestinioServer Server_;
  CurlClient Client_;
};

TEST_F(RestinioServerTest, ExchangesWholeMessages) {
  std::string Body("a\0b\xff", 4);
  auto Answer = send({"PATCH", "/x?y=1", {}, Body});
  ASSERT_TRUE(Answer);
  EXPECT_EQ(Answer.value().Body_, "/x?y=1|" + Body);
  EXPECT_EQ(*findHeader(Answer.value().Headers_, "x-method"), "PATCH");
}

TEST_F(RestinioServerTest, KeepsTheLengthInTheAnswerToHead) {
  auto Answer = send({"HEAD", "/", {}, {}});
  ASSERT_TRUE(Answer);
  EXPECT_EQ(*findHeader(Answer.value().Headers_, "Content-Length"), "42");
  EXPECT_TRUE(Answer.value().Body_.empty());
}

TEST_F(RestinioServerTest, TellsALostAnswerFromAnUnsentRequest) {
  auto Aborted = send({"POST", "/abort", {}, {}});
  ASSERT_FALSE(Aborted);
  EXPECT_EQ(Aborted.error().kind(), HttpErrc::AnswerLost);
  auto Short = send({"GET", "/short", {}, {}});
  ASSERT_FALSE(Short);
  EXPECT_EQ(Short.error().kind(), HttpErrc::AnswerLost);
  Server_.stop();
  auto Unsent = send({"GET", "/", {}, {}});
  ASSERT_FALSE(Unsent);
  EXPECT_EQ(Unsent.error().kind(), HttpErrc::NotSent);
}

TEST_F(RestinioServerTest, RefusesAnAddressInUse) {
  RestinioServer Second({"127.0.0.1", Server_.port()}, Handler_, 1000);
  auto Started = Second.start();
  ASSERT_FALSE(Started);
  EXPECT_EQ(Started.error().kind(), HttpErrc::CannotListen);
}

TEST_F(RestinioServerTest, HasNoPendingAnswersWhenAllAreRead) {
  for (int Number = 0; Number < 10; ++Number)
    send({"GET", "/", {}, {}});
  send({"GET", "/abort", {}, {}});
  for (int Wait = 0; Wait < 200 && Server_.pendingAnswers() > 0; ++Wait)
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  EXPECT_EQ(Server_.pendingAnswers(), 0U);
}

TEST(HttpTypes, DropsPerConnectionFields) {
  HttpHeaders Kept = withoutHopByHop({{"Connection", "close, X-Private"},
                                      {"x-private", "1"},
                                      {"Transfer-Encoding", "chunked"},
                                      {"Host", "a"},
                                      {"X-Public", "2"}});
  ASSERT_EQ(Kept.size(), 1U);
  EXPECT_EQ(Kept[0].Name_, "X-Public");
}

TEST(HttpTypes, ReadsQueryParameters) {
  HttpRequest Request{"GET", "/a?pool=rota&setting=deadline", {}, {}};
  EXPECT_EQ(Request.path(), "/a");
  EXPECT_EQ(Request.query("setting"), "deadline");
  EXPECT_EQ(Request.query("value"), "");
}

} // namespace
} // namespace dragonflylock
