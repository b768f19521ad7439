#include "http/httperrors.h"
#include "http/ihttphandler.h"
#include "http/ihttpresponder.h"
#include "http/internal/curlasyncclient.h"
#include "http/internal/curlclient.h"
#include "http/internal/restinioserver.h"
#include "http/tests/mocks/countingserver.h"

#include <gtest/gtest.h>

#include <atomic>
#include <future>

namespace dragonflylock {
namespace {

/// Answers with the request's body, or not at all on the path "/abort". On the
/// path "/lost", the first request gets no answer and later ones are refused.
class EchoHandler : public IHttpHandler {
public:
  void handle(HttpRequest Request,
              std::shared_ptr<IHttpResponder> Responder) override {
    if (Request.path() == "/abort") {
      Responder->abort();
      return;
    }
    if (Request.path() == "/lost") {
      if (++RequestsToLost_ == 1)
        Responder->abort();
      else
        Responder->answer({httpstatus::Unavailable, {}, ""});
      return;
    }
    Responder->answer({httpstatus::Ok, {}, Request.Body_});
  }

  std::atomic<int> RequestsToLost_ = 0;
};

class CurlAsyncClientTest : public testing::Test {
protected:
  CurlAsyncClientTest()
      : Server_({"127.0.0.1", 0}, Handler_, 1U << 20U),
        Client_(
            [](const std::function<void()> &Next) {
              Next();
              return true;
            },
            64) {}

  void SetUp() override {
    ASSERT_TRUE(Server_.start());
    Client_.start();
  }
  void TearDown() override {
    Client_.stop();
    Server_.stop();
  }

  ExchangeEnd exchange(std::uint16_t Port, const std::string &Path) {
    std::promise<ExchangeEnd> Ended;
    HttpRequest Request;
    Request.Method_ = "POST";
    Request.Target_ = Path;
    Request.Body_ = "body";
    Client_.send({"127.0.0.1", Port}, Request, std::chrono::seconds(20),
                 [&](ExchangeEnd End) { Ended.set_value(std::move(End)); });
    return Ended.get_future().get();
  }

  EchoHandler Handler_;
  RestinioServer Server_;
  CurlAsyncClient Client_;
};

TEST_F(CurlAsyncClientTest, ReportsAWholeAnswer) {
  ExchangeEnd End = exchange(Server_.port(), "/echo");
  EXPECT_EQ(End.Outcome_, ExchangeOutcome::Answered);
  EXPECT_EQ(End.Answer_.Status_, httpstatus::Ok);
  EXPECT_EQ(End.Answer_.Body_, "body");
}

TEST_F(CurlAsyncClientTest, ReportsALostAnswer) {
  EXPECT_EQ(exchange(Server_.port(), "/abort").Outcome_,
            ExchangeOutcome::AnswerLost);
}

TEST_F(CurlAsyncClientTest, ReportsARequestThatWasNotSent) {
  std::uint16_t Port = Server_.port();
  Server_.stop();
  EXPECT_EQ(exchange(Port, "/echo").Outcome_, ExchangeOutcome::NotSent);
}

TEST_F(CurlAsyncClientTest, RefusedRepeatDoesNotHideThatTheRequestMayHaveRun) {
  exchange(Server_.port(), "/echo");
  ExchangeEnd End = exchange(Server_.port(), "/lost");
  EXPECT_EQ(Handler_.RequestsToLost_, 1);
  EXPECT_EQ(End.Outcome_, ExchangeOutcome::AnswerLost);
}

TEST_F(CurlAsyncClientTest, BlockingClientDoesNotReportARefusedRepeatEither) {
  const std::string Url = "http://127.0.0.1:" + std::to_string(Server_.port());
  constexpr std::chrono::seconds Timeout(20);
  CurlClient Blocking;
  ASSERT_TRUE(Blocking.exchange(Url, {"POST", "/echo", {}, "body"}, Timeout));
  auto Answer = Blocking.exchange(Url, {"POST", "/lost", {}, "body"}, Timeout);
  EXPECT_EQ(Handler_.RequestsToLost_, 1);
  ASSERT_FALSE(Answer);
  EXPECT_EQ(Answer.error().kind(), HttpErrc::AnswerLost);
}

/// A client that calls many workers, each on an address of its own.
class CallsToManyWorkersTest : public testing::Test {
protected:
  /// The workers of a large pool.
  static constexpr std::size_t Workers = 160;

  CallsToManyWorkersTest()
      : Client_(
            [](const std::function<void()> &Next) {
              Next();
              return true;
            },
            2 * Workers) {
    Client_.start();
  }
  ~CallsToManyWorkersTest() override { Client_.stop(); }

  void send(std::size_t Worker, const std::string &Path,
            IAsyncHttpClient::Done Ended) {
    HttpRequest Request;
    Request.Method_ = "GET";
    Request.Target_ = Path;
    Client_.send({"127.0.1." + std::to_string(1 + Worker), Server_.port()},
                 Request, std::chrono::seconds(30), std::move(Ended));
  }

  /// Calls every worker once, one after the other.
  void callEach() {
    for (std::size_t Worker = 0; Worker < Workers; ++Worker) {
      std::promise<ExchangeOutcome> Ended;
      send(Worker, "/order",
           [&](const ExchangeEnd &End) { Ended.set_value(End.Outcome_); });
      ASSERT_EQ(Ended.get_future().get(), ExchangeOutcome::Answered);
    }
  }

  CountingServer Server_;
  CurlAsyncClient Client_;
};

TEST_F(CallsToManyWorkersTest, OrdersReuseConnectionsBesideLongCalls) {
  for (std::size_t Worker = 0; Worker < Workers; ++Worker)
    send(Worker, "/held", [](const ExchangeEnd &) {});
  while (Server_.held() < Workers)
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  callEach();
  std::uint64_t Before = Server_.connections();
  callEach();
  EXPECT_EQ(Server_.connections(), Before);
}

} // namespace
} // namespace dragonflylock
