#include "http/httperrors.h"
#include "http/httptypes.h"
#include "http/internal/curlasyncclient.h"
#include "http/internal/curlclient.h"
#include "http/tests/mocks/countingserver.h"

#include <gtest/gtest.h>

#include <future>
#include <thread>

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

/// A server that reads requests to "/held" and closes their connections without
/// an answer, and clients that keep a connection to it.
class RepeatedRequestsTest : public testing::Test {
protected:
  static constexpr milliseconds LongTimeout{20'000};
  /// Time in which a repeated request would have arrived.
  static constexpr milliseconds ArrivalTime{300};

  RepeatedRequestsTest()
      : Server_([](std::string_view Request) {
          return Request.find(" /held") != std::string_view::npos
                     ? std::nullopt
                     : std::optional("");
        }),
        Client_(
            [](const std::function<void()> &Next) {
              Next();
              return true;
            },
            64) {
    Client_.start();
  }
  ~RepeatedRequestsTest() override { Client_.stop(); }

  std::future<ExchangeOutcome> send(const HttpRequest &Request,
                                    milliseconds Longest) {
    auto Ended = std::make_shared<std::promise<ExchangeOutcome>>();
    Client_.send(
        {"127.0.0.1", Server_.port()}, Request, Longest,
        [Ended](const ExchangeEnd &End) { Ended->set_value(End.Outcome_); });
    return Ended->get_future();
  }

  /// Waits until the server has read \p Count requests that it does not answer.
  void awaitHeld(std::uint64_t Count) {
    const auto Limit = Clock::now() + std::chrono::seconds(5);
    while (Server_.held() < Count && Clock::now() < Limit)
      std::this_thread::sleep_for(milliseconds(1));
    ASSERT_EQ(Server_.held(), Count);
  }

  /// Closes the connection of the request that waits.
  /// \returns how many more requests the server reads after that.
  std::uint64_t closeAndCount() {
    const std::uint64_t Before = Server_.held();
    Server_.closeConnections();
    std::this_thread::sleep_for(ArrivalTime);
    return Server_.held() - Before;
  }

  /// Requests that are not reads.
  const std::vector<HttpRequest> Orders_ = {
      {"POST", "/held", {}, "body"}, {"POST", "/held", {}, ""},
      {"PUT", "/held", {}, "body"},  {"PATCH", "/held", {}, "body"},
      {"DELETE", "/held", {}, ""},   {"DELETE", "/held", {}, "body"}};
  CountingServer Server_;
  CurlAsyncClient Client_;
};

TEST_F(RepeatedRequestsTest, OrderReachesNoSuccessorOfTheServerThatReadIt) {
  for (const HttpRequest &Order : Orders_) {
    ASSERT_EQ(send({"GET", "/", {}, ""}, LongTimeout).get(),
              ExchangeOutcome::Answered);
    const std::uint64_t Connections = Server_.connections();
    const std::uint64_t Before = Server_.held();
    auto Outcome = send(Order, LongTimeout);
    awaitHeld(Before + 1);
    ASSERT_EQ(Server_.connections(), Connections) << "no connection was kept";
    EXPECT_EQ(closeAndCount(), 0U) << Order.Method_ << " " << Order.Body_;
    EXPECT_EQ(Server_.connections(), Connections) << "connected for nothing";
    // Ends the second copy, if there is one.
    Server_.closeConnections();
    EXPECT_EQ(Outcome.get(), ExchangeOutcome::AnswerLost) << Order.Method_;
  }
}

TEST_F(RepeatedRequestsTest, BlockingClientSendsNoOrderTwiceEither) {
  const std::string Url = "http://127.0.0.1:" + std::to_string(Server_.port());
  CurlClient Blocking;
  for (const HttpRequest &Order : Orders_) {
    ASSERT_TRUE(Blocking.exchange(Url, {"GET", "/", {}, ""}, LongTimeout));
    const std::uint64_t Before = Server_.held();
    auto Outcome = std::async(std::launch::async, [&] {
      return Blocking.exchange(Url, Order, LongTimeout);
    });
    awaitHeld(Before + 1);
    EXPECT_EQ(closeAndCount(), 0U) << Order.Method_ << " " << Order.Body_;
    Server_.closeConnections();
    auto Answer = Outcome.get();
    ASSERT_FALSE(Answer);
    EXPECT_EQ(Answer.error().kind(), HttpErrc::AnswerLost);
  }
}

TEST_F(RepeatedRequestsTest, OrderIsNotLostToAConnectionThatClosedWhileIdle) {
  const std::uint64_t Connections = Server_.connections();
  for (int Call = 0; Call < 3; ++Call) {
    EXPECT_EQ(send({"POST", "/", {}, "body"}, LongTimeout).get(),
              ExchangeOutcome::Answered);
    Server_.closeConnections();
    std::this_thread::sleep_for(milliseconds(50));
  }
  EXPECT_EQ(Server_.connections(), Connections + 3);
}

TEST_F(RepeatedRequestsTest, ReadIsRepeatedOnANewConnection) {
  ASSERT_EQ(send({"GET", "/", {}, ""}, LongTimeout).get(),
            ExchangeOutcome::Answered);
  auto Outcome = send({"GET", "/held", {}, ""}, LongTimeout);
  awaitHeld(1);
  EXPECT_EQ(closeAndCount(), 1U);
  Server_.closeConnections();
  EXPECT_EQ(Outcome.get(), ExchangeOutcome::AnswerLost);
}

TEST_F(RepeatedRequestsTest, RepeatedCallDoesNotOutlastItsTimeout) {
  constexpr milliseconds Timeout{1200};
  constexpr milliseconds CloseAfter{400};
  constexpr milliseconds Tolerance{150};
  for (const char *Method : {"GET", "HEAD", "POST"}) {
    ASSERT_EQ(send({"GET", "/", {}, ""}, LongTimeout).get(),
              ExchangeOutcome::Answered);
    const auto Start = Clock::now();
    auto Outcome = send({Method, "/held", {}, ""}, Timeout);
    std::this_thread::sleep_for(CloseAfter);
    Server_.closeConnections();
    EXPECT_EQ(Outcome.get(), ExchangeOutcome::AnswerLost);
    EXPECT_LE(Clock::now() - Start, Timeout + Tolerance) << Method;
  }
}

// Guards against an order that its sender has given up and the kernel delivers
// seconds later.
TEST_F(RepeatedRequestsTest, ConnectionOfARequestThatWasGivenUpIsReset) {
  EXPECT_EQ(send({"POST", "/held", {}, "body"}, milliseconds(200)).get(),
            ExchangeOutcome::AnswerLost);
  const auto Limit = Clock::now() + std::chrono::seconds(5);
  while (Server_.resets() == 0 && Clock::now() < Limit)
    std::this_thread::sleep_for(milliseconds(1));
  EXPECT_EQ(Server_.resets(), 1U);
}

} // namespace
} // namespace dragonflylock
