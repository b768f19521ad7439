#include "global/logevent.h"
#include "global/tests/mocks/manualclock.h"
#include "http/httptypes.h"
#include "http/ihttpresponder.h"
#include "metrics/internal/prometheusnodemetrics.h"
#include "scheduling/poolview.h"
#include "scheduling/tests/mocks/fakefleet.h"
#include "telemetry/countinglogger.h"
#include "telemetry/meteredhandler.h"
#include "telemetry/meteredstore.h"
#include "telemetry/meteredworkercontrol.h"
#include "telemetry/metricshttphandler.h"
#include "telemetry/ratelimitedlogger.h"
#include "telemetry/waitmeter.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace dragonflylock {
namespace {

using testing::HasSubstr;
using testing::Not;

class RecordingLogger : public ILogger {
public:
  void write(LogLevel, const LogEvent &Event) override {
    Lines_.push_back(Event.line());
  }
  std::vector<std::string> Lines_;
};

class RecordingResponder : public IHttpResponder {
public:
  void answer(HttpAnswer Answer) override { Answer_ = std::move(Answer); }
  void answerShort(HttpAnswer) override {}
  void abort() override {}
  HttpAnswer Answer_;
};

class TelemetryTest : public testing::Test {
protected:
  std::string get(const std::string &Path) {
    MetricsHttpHandler Port(Metrics_);
    auto Responder = std::make_shared<RecordingResponder>();
    Port.handle({"GET", Path, {}, ""}, Responder);
    return Responder->Answer_.Status_ == httpstatus::Ok
               ? Responder->Answer_.Body_
               : std::to_string(Responder->Answer_.Status_);
  }

  PrometheusNodeMetrics Metrics_{"node-1", "zone-a"};
};

TEST_F(TelemetryTest, StatesVersionAndAgeOfTheConfiguration) {
  Metrics_.configurationSeen(17, std::chrono::milliseconds(1500));
  std::string Text = get("/metrics");
  EXPECT_THAT(Text, HasSubstr("dragonflylock_configuration_version{"));
  EXPECT_THAT(Text, HasSubstr("} 17\n"));
  EXPECT_THAT(Text, HasSubstr("dragonflylock_configuration_age_seconds{"));
  EXPECT_THAT(Text, HasSubstr("} 1.5\n"));
}

TEST_F(TelemetryTest, CountsCallsToTheStoreByOutcome) {
  InstantStore Inner;
  MeteredStore Store(Inner, Metrics_);
  bool IsCompleted = false;
  Store.transact({},
                 [&](const StoreTransactionResult &) { IsCompleted = true; });
  Inner.Outcome_ = StoreOutcome::Unknown;
  Store.transact({}, [](const StoreTransactionResult &) {});
  EXPECT_TRUE(IsCompleted);
  std::string Text = get("/metrics");
  EXPECT_THAT(Text, HasSubstr("outcome=\"unknown\""));
  EXPECT_THAT(Text, HasSubstr("outcome=\"done\""));
  EXPECT_THAT(Text, HasSubstr("node=\"node-1\",zone=\"zone-a\""));
  EXPECT_THAT(Text, HasSubstr("dragonflylock_call_seconds_bucket"));
}

TEST_F(TelemetryTest, CountsOrdersToWorkersByOutcome) {
  RecordingWorkers Inner;
  MeteredWorkerControl Workers(Inner, Metrics_);
  Workers.start({}, {}, [](const OrderAnswer &) {});
  Inner.takeStart().Done_({OrderOutcome::NoRoom, WorkerClock(1)});
  EXPECT_THAT(get("/metrics"), HasSubstr("outcome=\"no-room\""));
}

TEST_F(TelemetryTest, CountsAnswersToCallers) {
  class UnavailableHandler : public IHttpHandler {
  public:
    void handle(HttpRequest, std::shared_ptr<IHttpResponder> Answer) override {
      Answer->answer({httpstatus::Unavailable, {}, ""});
    }
  } Inner;
  MeteredHandler Handler(Inner, Metrics_);
  Handler.handle({"POST", "/q/1", {}, ""},
                 std::make_shared<RecordingResponder>());
  EXPECT_THAT(get("/metrics"), HasSubstr("method=\"POST\",status=\"503\""));
}

TEST_F(TelemetryTest, RemovesMetricsOfALostPool) {
  PoolView View;
  View.Pool_ = "pool";
  View.WaitingTasks_ = 7;
  Metrics_.poolSeen(View);
  EXPECT_THAT(get("/metrics"), HasSubstr("figure=\"waiting_tasks\""));
  Metrics_.poolLost("pool");
  EXPECT_THAT(get("/metrics"), Not(HasSubstr("figure=\"waiting_tasks\"")));
}

TEST_F(TelemetryTest, CountsEventsOfEveryLevel) {
  RecordingLogger Inner;
  CountingLogger Logger(Inner, Metrics_);
  Logger.write(LogLevel::Debug, LogEvent("run.ordered").with("run", 1));
  EXPECT_THAT(get("/metrics"), HasSubstr("event=\"run.ordered\""));
}

TEST_F(TelemetryTest, LogsLongestWaitOfEachPlace) {
  RecordingLogger Inner;
  ManualClock Clock;
  WaitMeter Waits(Metrics_, Inner, Clock);
  Waits.waited(WaitPlace::BeforeSending, std::chrono::milliseconds(900));
  Waits.waited(WaitPlace::BeforeSending, std::chrono::milliseconds(20));
  Waits.waited(WaitPlace::BeforeDeciding, std::chrono::milliseconds(3));
  Waits.tick();
  ASSERT_EQ(Inner.Lines_.size(), 1U);
  EXPECT_EQ(Inner.Lines_[0],
            "event=node.late before-sending=900.000ms before-sending-count=2 "
            "before-deciding=3.000ms before-deciding-count=1 "
            "deciding=0.000ms deciding-count=0");
  EXPECT_THAT(get("/metrics"), HasSubstr("place=\"before-sending\""));
}

TEST_F(TelemetryTest, WaitsBelowThresholdAreNotLogged) {
  RecordingLogger Inner;
  ManualClock Clock;
  WaitMeter Waits(Metrics_, Inner, Clock);
  Waits.waited(WaitPlace::Deciding, std::chrono::milliseconds(20));
  Waits.tick();
  EXPECT_TRUE(Inner.Lines_.empty());
}

TEST_F(TelemetryTest, ReturnsNotFoundForOtherPaths) {
  EXPECT_EQ(get("/"), "404");
}

TEST(RateLimitedLoggerTest, LogsNumberOfSuppressedLines) {
  RecordingLogger Inner;
  ManualClock Clock;
  RateLimitedLogger Logger(Inner, Clock, 2);
  for (int Line = 0; Line < 5; ++Line)
    Logger.write(LogLevel::Info, LogEvent("job.ended"));
  Logger.write(LogLevel::Info, LogEvent("pool.won"));
  EXPECT_EQ(Inner.Lines_.size(), 3U);
  Clock.advance(std::chrono::seconds(1));
  Logger.write(LogLevel::Info, LogEvent("job.ended"));
  ASSERT_EQ(Inner.Lines_.size(), 5U);
  EXPECT_EQ(Inner.Lines_[3], "event=log.folded folded=job.ended lines=3");
}

} // namespace
} // namespace dragonflylock
