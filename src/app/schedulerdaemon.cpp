#include "app/schedulerdaemon.h"
#include "global/digest.h"
#include "global/ilogger.h"
#include "global/internal/bootclock.h"
#include "global/logevent.h"
#include "http/internal/curlasyncclient.h"
#include "http/internal/restinioserver.h"
#include "http/plannedstop.h"
#include "limits/limitledger.h"
#include "metrics/internal/prometheusnodemetrics.h"
#include "node/eventloop.h"
#include "platform/adviceclient.h"
#include "platform/fleettablefollower.h"
#include "platform/jobhttphandler.h"
#include "platform/machineclient.h"
#include "platform/tablestore.h"
#include "platform/workerclient.h"
#include "scheduling/jobrequesthandler.h"
#include "scheduling/poolview.h"
#include "scheduling/schedulernode.h"
#include "telemetry/countinglogger.h"
#include "telemetry/meteredhandler.h"
#include "telemetry/meteredstore.h"
#include "telemetry/meteredworkercontrol.h"
#include "telemetry/metricshttphandler.h"
#include "telemetry/ratelimitedlogger.h"
#include "telemetry/waitmeter.h"

#include <atomic>
#include <optional>
#include <set>
#include <thread>

namespace dragonflylock {
namespace {

constexpr std::size_t DecisionRing = 16384;
constexpr std::size_t ExchangeRing = 8192;
constexpr std::size_t WorkerRing = 4096;
constexpr std::size_t LeaseRing = 64;
/// A worker accepts a limited number of connections, 64 on the smallest, and
/// former owners of its pool, some of which have lost power, may hold some too.
constexpr ConnectionLimits WorkerConnections{
    .PerServer_ = 5, .IdleTimeout_ = std::chrono::milliseconds(5000)};
constexpr std::chrono::milliseconds TickInterval{40};
/// Bytes of a caller's request body.
constexpr std::size_t LargestBody = 1U << 20U;
constexpr std::size_t ProcessIdBytes = 6;
/// Lines of one event in the log within a second: enough for every decision
/// of an ordinary minute, little beside a burst of callers.
constexpr std::uint64_t LinesPerSecond = 100;
constexpr std::chrono::milliseconds FigureInterval{1000};
constexpr std::chrono::milliseconds DrainPoll{20};

} // namespace

struct SchedulerDaemon::Parts {
  Parts(PlatformSettings Chosen, ILogger &Log)
      : Settings_(std::move(Chosen)),
        Metrics_(Settings_.Scheduling_.Node_, Settings_.Scheduling_.Zone_),
        Bounded_(Log, Clock_, LinesPerSecond), Logger_(Bounded_, Metrics_),
        Waits_(Metrics_, Logger_, Clock_),
        Loop_(DecisionRing, TickInterval, &Waits_),
        Client_(
            [this](EventLoop::Work Next) {
              return Loop_.post(std::move(Next));
            },
            ExchangeRing, &Waits_, &Logger_),
        WorkerHttp_(
            [this](EventLoop::Work Next) {
              return Loop_.post(std::move(Next));
            },
            WorkerRing, &Waits_, &Logger_, WorkerConnections),
        LeaseClient_(
            [this](EventLoop::Work Next) {
              return Loop_.postUrgent(std::move(Next));
            },
            LeaseRing, &Waits_, &Logger_),
        Table_(Client_, Settings_.Store_), Store_(Table_, Metrics_),
        LeaseTable_(LeaseClient_, Settings_.Store_),
        Leases_(LeaseTable_, Metrics_), WorkerCalls_(WorkerHttp_),
        Workers_(WorkerCalls_, Metrics_),
        Machines_(Client_, Settings_.Machines_, Store_),
        Advisor_(Client_, Settings_.Advice_), Node_(buildNode()),
        Feeds_(Store_, Clock_, Logger_, *Node_, Settings_.Scheduling_),
        Callers_(
            *Node_,
            [this](EventLoop::Work Next) {
              return Loop_.post(std::move(Next));
            },
            Logger_),
        MeteredCallers_(Callers_, Metrics_),
        Readiness_([this] { return IsReady_.load(); }), MetricsPort_(Metrics_),
        CallerServer_(
            Settings_.Callers_, MeteredCallers_, LargestBody,
            ServerCapacity::ofCallers(Settings_.Scheduling_.MemoryLimitMb_,
                                      Settings_.Scheduling_.MaxDescriptors_),
            &Logger_),
        ReadinessServer_(Settings_.Readiness_, Readiness_, LargestBody,
                         ServerCapacity::internal(), &Logger_) {
    if (Settings_.Metrics_)
      MetricsServer_.emplace(*Settings_.Metrics_, MetricsPort_, LargestBody,
                             ServerCapacity::internal(), &Logger_);
  }

  std::unique_ptr<SchedulerNode> buildNode() {
    SchedulerNode::Builder Builder;
    Builder.settings(Settings_.Scheduling_)
        .process(randomId(ProcessIdBytes))
        .clock(Clock_)
        .store(Store_)
        .leaseStore(Leases_)
        .workers(Workers_)
        .machines(Machines_)
        .advisor(Advisor_)
        .logger(Logger_);
    if (Settings_.Scheduling_.HasCustomerLimits_) {
      Limits_ =
          LimitLedger::create(Settings_.Scheduling_, Store_, Clock_, Logger_);
      Builder.limits(*Limits_);
    }
    return Builder.build();
  }

  void tick() {
    Feeds_.tick();
    Node_->tick();
    Waits_.tick();
    applyRequestLimits();
    tellFigures();
    bool IsReady = Node_->isReady();
    if (IsReady_.exchange(IsReady) != IsReady)
      Logger_.write(LogLevel::Info,
                    LogEvent(IsReady ? "node.ready" : "node.unready"));
  }

  /// Passes the request limits of a configuration that has come into force to
  /// the callers' port.
  void applyRequestLimits() {
    const auto *Configuration = Node_->configuration();
    if (Configuration == nullptr || Configuration->Version_ == LimitsVersion_)
      return;
    LimitsVersion_ = Configuration->Version_;
    CallerServer_.setLimits(Configuration->RequestLimits_);
  }

  /// Puts the figures of the configuration and the owned pools into the
  /// metrics.
  void tellFigures() {
    const TimePoint Now = Clock_.now();
    if (Now < NextFigures_)
      return;
    NextFigures_ = Now + FigureInterval;
    if (const auto *Configuration = Node_->configuration())
      Metrics_.configurationSeen(Configuration->Version_,
                                 Node_->configurationAge());
    std::set<std::string> Owned;
    for (const PoolView &View : Node_->pools()) {
      Metrics_.poolSeen(View);
      Owned.insert(View.Pool_);
    }
    for (const std::string &Pool : OwnedPools_)
      if (!Owned.contains(Pool))
        Metrics_.poolLost(Pool);
    OwnedPools_ = std::move(Owned);
  }

  PlatformSettings Settings_;
  BootClock Clock_;
  PrometheusNodeMetrics Metrics_;
  RateLimitedLogger Bounded_;
  CountingLogger Logger_;
  WaitMeter Waits_;
  EventLoop Loop_;
  CurlAsyncClient Client_;
  CurlAsyncClient WorkerHttp_;
  /// A client of its own, so that no lease is lost behind other calls.
  CurlAsyncClient LeaseClient_;
  TableStore Table_;
  MeteredStore Store_;
  TableStore LeaseTable_;
  MeteredStore Leases_;
  WorkerClient WorkerCalls_;
  MeteredWorkerControl Workers_;
  MachineClient Machines_;
  AdviceClient Advisor_;
  /// Null if customers have no limits.
  std::shared_ptr<LimitLedger> Limits_;
  std::unique_ptr<SchedulerNode> Node_;
  FleetTableFollower Feeds_;
  JobHttpHandler Callers_;
  MeteredHandler MeteredCallers_;
  std::atomic<bool> IsReady_ = false;
  ReadinessHttpHandler Readiness_;
  MetricsHttpHandler MetricsPort_;
  RestinioServer CallerServer_;
  RestinioServer ReadinessServer_;
  std::optional<RestinioServer> MetricsServer_;
  std::set<std::string> OwnedPools_;
  /// Version of the configuration whose request limits are in force.
  std::optional<std::uint64_t> LimitsVersion_;
  TimePoint NextFigures_;
};

SchedulerDaemon::Builder &
SchedulerDaemon::Builder::settings(PlatformSettings Value) {
  Settings_ = std::move(Value);
  return *this;
}

SchedulerDaemon::Builder &SchedulerDaemon::Builder::logger(ILogger &Value) {
  Logger_ = &Value;
  return *this;
}

std::unique_ptr<SchedulerDaemon> SchedulerDaemon::Builder::build() {
  return std::unique_ptr<SchedulerDaemon>(new SchedulerDaemon(
      std::make_unique<Parts>(std::move(Settings_), *Logger_)));
}

SchedulerDaemon::SchedulerDaemon(std::unique_ptr<Parts> Built)
    : Parts_(std::move(Built)) {}

SchedulerDaemon::~SchedulerDaemon() {
  Parts_->CallerServer_.stop();
  Parts_->ReadinessServer_.stop();
  if (Parts_->MetricsServer_)
    Parts_->MetricsServer_->stop();
  Parts_->Client_.stop();
  Parts_->WorkerHttp_.stop();
  Parts_->LeaseClient_.stop();
  Parts_->Loop_.stop();
}

Result<void> SchedulerDaemon::start() {
  Parts_->Loop_.start([this] { Parts_->tick(); });
  Parts_->Client_.start();
  Parts_->WorkerHttp_.start();
  Parts_->LeaseClient_.start();
  if (auto Started = Parts_->ReadinessServer_.start(); !Started)
    return Started;
  if (auto Started = Parts_->CallerServer_.start(); !Started)
    return Started;
  startMetrics();
  Parts_->Logger_.write(
      LogLevel::Info, LogEvent("node.started")
                          .with("zone", Parts_->Settings_.Scheduling_.Zone_)
                          .with("callers", Parts_->Settings_.Callers_.text()));
  return {};
}

void SchedulerDaemon::startMetrics() {
  if (!Parts_->MetricsServer_)
    return;
  // Callers are served without metrics too.
  if (auto Started = Parts_->MetricsServer_->start(); !Started)
    Parts_->Logger_.write(
        LogLevel::Error,
        LogEvent("metrics.failed").with("error", Started.error().message()));
}

void SchedulerDaemon::applySettings(const PlatformSettings &Settings) {
  Parts_->Settings_.Scheduling_.StopGrace_ = Settings.Scheduling_.StopGrace_;
  Parts_->Loop_.post([this, Limits = Settings.Scheduling_] {
    Parts_->Node_->onSettings(Limits);
  });
  Parts_->Logger_.write(LogLevel::Info, LogEvent("settings.reloaded"));
}

void SchedulerDaemon::drain(TimePoint SignalledAt) {
  Parts &P = *Parts_;
  P.Logger_.write(LogLevel::Info, LogEvent("node.draining"));
  // Work of callers that fills the queue must not keep the pools from others.
  P.Loop_.postUrgent([&P] { P.Node_->release(); });
  std::size_t EndedRequests = 0;
  PlannedStop Stop(
      P.CallerServer_,
      StopSchedule::within(SignalledAt, P.Settings_.Scheduling_.StopGrace_),
      [&P, &EndedRequests] {
        EndedRequests = P.CallerServer_.pendingAnswers();
        P.Loop_.postUrgent([&P] { P.Node_->jobRequests().finishAll(); });
      });
  while (!Stop.step(std::chrono::steady_clock::now()))
    std::this_thread::sleep_for(DrainPoll);
  const std::size_t OpenConnections = P.CallerServer_.openConnections();
  const std::size_t PendingAnswers = P.CallerServer_.pendingAnswers();
  P.CallerServer_.stop();
  auto Took = std::chrono::duration_cast<std::chrono::microseconds>(
      std::chrono::steady_clock::now() - SignalledAt);
  P.Logger_.write(
      LogLevel::Info,
      LogEvent("node.stopped")
          .with("took", Took)
          .with("refused", P.CallerServer_.refusedRequests())
          .with("ended", std::uint64_t{EndedRequests})
          .with("pending-answers", std::uint64_t{PendingAnswers})
          .with("cut", std::uint64_t{P.CallerServer_.pendingAnswers()})
          .with("open-connections", std::uint64_t{OpenConnections}));
}

} // namespace dragonflylock
