#include "http/httptypes.h"
#include "http/internal/curlasyncclient.h"
#include "http/tests/mocks/countingserver.h"

#include <gtest/gtest.h>

#include <future>
#include <memory>
#include <thread>
#include <vector>

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;

/// A client that may keep few connections to a server, which serves many
/// clients.
class ConnectionLimitsTest : public testing::Test {
protected:
  static constexpr long PerServer = 3;
  static constexpr milliseconds IdleTimeout{200};
  static constexpr milliseconds Timeout{400};

  ConnectionLimitsTest()
      : Client_(
            [](const std::function<void()> &Next) {
              Next();
              return true;
            },
            256, nullptr, nullptr,
            {.PerServer_ = PerServer, .IdleTimeout_ = IdleTimeout}) {
    Client_.start();
  }
  ~ConnectionLimitsTest() override { Client_.stop(); }

  std::vector<std::future<ExchangeOutcome>> sendAtOnce(const char *Target,
                                                       int Count) {
    std::vector<std::future<ExchangeOutcome>> Calls;
    for (int Call = 0; Call < Count; ++Call) {
      auto Ended = std::make_shared<std::promise<ExchangeOutcome>>();
      Calls.push_back(Ended->get_future());
      Client_.send(
          {"127.0.0.1", Server_.port()}, {"POST", Target, {}, ""}, Timeout,
          [Ended](const ExchangeEnd &End) { Ended->set_value(End.Outcome_); });
    }
    return Calls;
  }

  static int count(std::vector<std::future<ExchangeOutcome>> &Calls,
                   ExchangeOutcome Wanted) {
    int Found = 0;
    for (auto &Call : Calls)
      Found += Call.get() == Wanted ? 1 : 0;
    return Found;
  }

  CountingServer Server_{[](std::string_view Request) {
    return Request.starts_with("POST /held") ? std::nullopt : std::optional("");
  }};
  CurlAsyncClient Client_;
};

// Guards against a server whose connections are all taken by one client's
// requests at a time.
TEST_F(ConnectionLimitsTest, ManyRequestsShareFewConnections) {
  constexpr int Requests = 100;
  auto Calls = sendAtOnce("/", Requests);
  EXPECT_EQ(count(Calls, ExchangeOutcome::Answered), Requests);
  EXPECT_LE(Server_.mostConnections(), static_cast<std::uint64_t>(PerServer));
}

// Guards against connections that a client keeps which no longer needs them.
TEST_F(ConnectionLimitsTest, IdleConnectionsAreClosed) {
  constexpr milliseconds Longest{3000};
  auto Calls = sendAtOnce("/", 20);
  EXPECT_EQ(count(Calls, ExchangeOutcome::Answered), 20);
  EXPECT_GT(Server_.mostConnections(), 0U);
  milliseconds Waited{0};
  for (; Waited < Longest && Server_.openConnections() > 0; Waited += Timeout)
    std::this_thread::sleep_for(Timeout);
  EXPECT_EQ(Server_.openConnections(), 0U);
  Calls = sendAtOnce("/", 20);
  EXPECT_EQ(count(Calls, ExchangeOutcome::Answered), 20);
}

// Guards against requests that wait for a connection beyond their time, and
// against such requests that count as sent.
TEST_F(ConnectionLimitsTest, RequestsThatGetNoConnectionAreNotSent) {
  constexpr int Requests = 9;
  const auto Start = std::chrono::steady_clock::now();
  auto Calls = sendAtOnce("/held", Requests);
  EXPECT_EQ(count(Calls, ExchangeOutcome::NotSent),
            Requests - static_cast<int>(PerServer));
  EXPECT_EQ(Server_.held(), static_cast<std::uint64_t>(PerServer));
  EXPECT_LT(std::chrono::steady_clock::now() - Start, Timeout * 3);
}

} // namespace
} // namespace dragonflylock
