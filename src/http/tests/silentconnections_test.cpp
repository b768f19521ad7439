#include "http/httptypes.h"
#include "http/internal/curlasyncclient.h"
#include "http/tests/mocks/countingserver.h"

#include <gtest/gtest.h>

#include <future>
#include <thread>

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;

/// A client that keeps several connections to a server.
class SilentConnectionsTest : public testing::Test {
protected:
  static constexpr std::size_t KeptConnections = 6;
  /// Time after which a call of the test is given up.
  static constexpr milliseconds Timeout{300};

  SilentConnectionsTest()
      : Client_(
            [](const std::function<void()> &Next) {
              Next();
              return true;
            },
            64) {
    // Calls that are queued before the client starts run at the same time.
    auto Calls = sendAtOnce(std::chrono::seconds(20));
    Client_.start();
    EXPECT_EQ(countAnswered(Calls), KeptConnections);
    EXPECT_EQ(Server_.connections(), KeptConnections);
  }
  ~SilentConnectionsTest() override { Client_.stop(); }

  std::future<ExchangeOutcome> send(milliseconds Longest) {
    auto Ended = std::make_shared<std::promise<ExchangeOutcome>>();
    Client_.send(
        {"127.0.0.1", Server_.port()}, {"GET", "/", {}, ""}, Longest,
        [Ended](const ExchangeEnd &End) { Ended->set_value(End.Outcome_); });
    return Ended->get_future();
  }
  std::vector<std::future<ExchangeOutcome>> sendAtOnce(milliseconds Longest) {
    std::vector<std::future<ExchangeOutcome>> Calls;
    for (std::size_t Call = 0; Call < KeptConnections; ++Call)
      Calls.push_back(send(Longest));
    return Calls;
  }
  static std::size_t
  countAnswered(std::vector<std::future<ExchangeOutcome>> &Calls) {
    std::size_t Answered = 0;
    for (auto &Call : Calls)
      if (Call.get() == ExchangeOutcome::Answered)
        ++Answered;
    return Answered;
  }

  CountingServer Server_;
  CountingServer Other_;
  CurlAsyncClient Client_;
};

TEST_F(SilentConnectionsTest, OnlyOneCallIsLostToSilentConnections) {
  Server_.silenceConnections();
  std::size_t Lost = 0;
  while (Lost <= KeptConnections &&
         send(Timeout).get() != ExchangeOutcome::Answered)
    ++Lost;
  EXPECT_EQ(Lost, 1U);
}

TEST_F(SilentConnectionsTest, NoSilentConnectionIsUsedAgainLater) {
  Server_.silenceConnections();
  EXPECT_NE(send(Timeout).get(), ExchangeOutcome::Answered);
  for (milliseconds Pause : {milliseconds(0), milliseconds(900),
                             milliseconds(400), milliseconds(1500)}) {
    std::this_thread::sleep_for(Pause);
    auto Calls = sendAtOnce(Timeout);
    EXPECT_EQ(countAnswered(Calls), KeptConnections) << Pause.count();
  }
}

TEST_F(SilentConnectionsTest, ConnectionsToOtherServersAreKept) {
  auto SendToOther = [this] {
    std::promise<ExchangeOutcome> Ended;
    Client_.send(
        {"127.0.0.2", Other_.port()}, {"GET", "/", {}, ""}, Timeout,
        [&](const ExchangeEnd &End) { Ended.set_value(End.Outcome_); });
    return Ended.get_future().get();
  };
  EXPECT_EQ(SendToOther(), ExchangeOutcome::Answered);
  Server_.silenceConnections();
  EXPECT_NE(send(Timeout).get(), ExchangeOutcome::Answered);
  EXPECT_EQ(SendToOther(), ExchangeOutcome::Answered);
  EXPECT_EQ(Other_.connections(), 1U);
}

TEST_F(SilentConnectionsTest, ConnectionsAreKeptAgainAfterwards) {
  Server_.silenceConnections();
  EXPECT_NE(send(Timeout).get(), ExchangeOutcome::Answered);
  std::this_thread::sleep_for(std::chrono::seconds(3));
  send(Timeout).get();
  const std::uint64_t Connections = Server_.connections();
  for (int Call = 0; Call < 10; ++Call)
    EXPECT_EQ(send(Timeout).get(), ExchangeOutcome::Answered);
  EXPECT_EQ(Server_.connections(), Connections);
}

} // namespace
} // namespace dragonflylock
