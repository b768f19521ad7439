#include "entry/entry.h"
#include "claims/internal/tableclaimservice.h"
#include "configuration/internal/yamlconfigurationparser.h"
#include "entry/entryerrors.h"
#include "entry/internal/callerport.h"
#include "entry/internal/claimworker.h"
#include "entry/internal/decisionloop.h"
#include "entry/internal/failureanswer.h"
#include "entry/internal/fleetworker.h"
#include "entry/internal/jobworker.h"
#include "entry/internal/platformwatcher.h"
#include "fleet/instancerowcodec.h"
#include "forward/internal/curlendpointclient.h"
#include "global/digest.h"
#include "global/ilogger.h"
#include "global/internal/systemclock.h"
#include "global/logevent.h"
#include "http/internal/curlclient.h"
#include "http/internal/restinioserver.h"
#include "metrics/internal/prometheusmetrics.h"
#include "operators/operatorport.h"
#include "peers/internal/tcppeerlink.h"
#include "platformservices/internal/embeddedplatform.h"
#include "platformservices/internal/httpplatform.h"
#include "platformservices/tablenames.h"
#include "routing/internal/leastoutstandingselector.h"
#include "steering/configurationstore.h"
#include "trace/internal/filetracesink.h"

#include <fstream>
#include <sstream>

namespace dragonflylock {
namespace {

constexpr std::size_t ForwardRing = 4096;
constexpr std::size_t LargestCallerBody = 64U << 20U;
constexpr std::size_t LargestOperatorBody = 2U << 20U;
constexpr std::size_t ChangeIdBytes = 8;
constexpr std::size_t BootIdBytes = 6;
constexpr std::chrono::milliseconds DrainPoll{20};
/// How long a stopping process waits for callers to read their answers.
constexpr std::chrono::seconds WriteLimit{30};
/// How long a stopping process tries to write its claims' settlements.
constexpr std::chrono::milliseconds SettleLimit{5000};

std::string readFile(const std::string &Path) {
  std::ifstream File(Path);
  std::ostringstream Content;
  Content << File.rdbuf();
  return Content.str();
}

/// \returns the capacity of the callers' port. Where the memory is not known, a
/// body of the largest size is accepted in any chunks of ordinary size.
ServerCapacity callerCapacity(const DaemonSettings &Settings) {
  ServerCapacity Capacity = ServerCapacity::ofCallers(Settings.MemoryLimitMb_,
                                                      Settings.MaxDescriptors_);
  if (Settings.MemoryLimitMb_ == 0)
    Capacity.RequestBytes_ = 3 * LargestCallerBody;
  return Capacity;
}

/// \returns the capacity of the operators' port. The parser holds up to twice
/// the bytes of a body that arrives in chunks.
ServerCapacity operatorCapacity() {
  ServerCapacity Capacity = ServerCapacity::internal();
  Capacity.RequestBytes_ = 4 * LargestOperatorBody;
  return Capacity;
}

} // namespace

struct Entry::Parts {
  Parts(DaemonSettings Chosen, ILogger &Log)
      : Settings_(std::move(Chosen)), Logger_(Log),
        Metrics_(Settings_.Name_, Settings_.Zone_),
        Trace_(Settings_.Trace_, Settings_.Name_),
        Loop_({Settings_.Name_, Settings_.Zone_, Settings_.Peers_.size()},
              Parser_,
              std::make_unique<LeastOutstandingSelector>(Settings_.Zone_),
              Clock_, Logger_),
        Endpoints_(Clock_, Loop_, ForwardRing), ClaimPlatform_(makePlatform()),
        Claims_(
            std::make_unique<TableClaimService>(*ClaimPlatform_, Clock_),
            [this](ClaimResult Ended) { Loop_.onClaimEnded(std::move(Ended)); },
            Settings_.ClaimInterval_),
        Peers_({Settings_.Name_, Settings_.PeerListen_, Settings_.Peers_,
                Settings_.PeerSecret_},
               Loop_),
        Fleet_(Settings_.Name_, makePlatform(), Clock_, Loop_, Trace_, Logger_),
        Watcher_(
            {Settings_.Name_, Settings_.Zone_, randomId(BootIdBytes)},
            makePlatform(), Settings_.PollInterval_,
            [this](PlatformEvent News) {
              return Loop_.onPlatform(std::move(News));
            },
            Clock_, Metrics_, Logger_),
        Jobs_(Settings_.Name_, makePlatform(), Clock_, Loop_,
              [this](CallerEvent Event) {
                return Loop_.onCaller(std::move(Event));
              }),
        CallerPort_(Loop_, Jobs_, Clock_, Metrics_),
        OperatorPort_(makePlatform(), Parser_, Clock_, Loop_, Metrics_, Trace_,
                      Settings_.OperatorToken_),
        CallerServer_(Settings_.Callers_, CallerPort_, LargestCallerBody,
                      callerCapacity(Settings_), &Logger_),
        OperatorServer_(Settings_.Operators_, OperatorPort_,
                        LargestOperatorBody, operatorCapacity(), &Logger_) {}

  /// \returns a platform for one more thread.
  std::shared_ptr<IPlatform> makePlatform() {
    if (Settings_.PlatformUrl_.empty())
      return Embedded_;
    return std::make_shared<HttpPlatform>(Settings_.PlatformUrl_,
                                          std::make_unique<CurlClient>(),
                                          Settings_.PlatformTimeout_);
  }

  DaemonSettings Settings_;
  ILogger &Logger_;
  SystemClock Clock_;
  YamlConfigurationParser Parser_;
  PrometheusMetrics Metrics_;
  FileTraceSink Trace_;
  std::shared_ptr<EmbeddedPlatform> Embedded_ =
      std::make_shared<EmbeddedPlatform>();
  DecisionLoop Loop_;
  CurlEndpointClient Endpoints_;
  std::shared_ptr<IPlatform> ClaimPlatform_;
  ClaimWorker Claims_;
  TcpPeerLink Peers_;
  FleetWorker Fleet_;
  PlatformWatcher Watcher_;
  JobWorker Jobs_;
  CallerPort CallerPort_;
  OperatorPort OperatorPort_;
  RestinioServer CallerServer_;
  RestinioServer OperatorServer_;
};

Entry::Builder &Entry::Builder::settings(DaemonSettings Value) {
  Settings_ = std::move(Value);
  return *this;
}

Entry::Builder &Entry::Builder::logger(ILogger &Value) {
  Logger_ = &Value;
  return *this;
}

std::unique_ptr<Entry> Entry::Builder::build() {
  auto Built = std::make_unique<Parts>(std::move(Settings_), *Logger_);
  return std::unique_ptr<Entry>(new Entry(std::move(Built)));
}

Entry::Entry(std::unique_ptr<Parts> Built) : Parts_(std::move(Built)) {}

Entry::~Entry() = default;

Result<void> Entry::loadEmbedded() {
  const DaemonSettings &Settings = Parts_->Settings_;
  EmbeddedPlatform &Platform = *Parts_->Embedded_;
  for (const EmbeddedInstance &Instance : Settings.EmbeddedInstances_) {
    Platform.setInstance(Instance.Listed_);
    InstanceRow Row{Instance.Pool_, 1, InstancePhase::Serving, {}, {}, 0, 0};
    Platform.transact({{{tables::Instances, Instance.Listed_.Id_},
                        RowCondition::any(),
                        instancerowcodec::encode(Row)}});
  }
  if (Settings.EmbeddedConfiguration_.empty())
    return {};
  ConfigurationStore Store(Platform, Parts_->Parser_, Parts_->Clock_);
  ConfigurationChange Change;
  Change.Document_ = readFile(Settings.EmbeddedConfiguration_);
  Change.ChangeId_ = randomId(ChangeIdBytes);
  Change.Operator_ = "embedded";
  auto Accepted = Store.accept(Change);
  if (!Accepted)
    return Error(EntryErrc::BadEmbeddedConfiguration,
                 Settings.EmbeddedConfiguration_ + ": " +
                     Accepted.error().message(),
                 "correct the file; `dragonflylock config check` names all "
                 "faults");
  return {};
}

Result<void> Entry::start() {
  if (auto Loaded = loadEmbedded(); !Loaded)
    return Loaded;
  Parts &P = *Parts_;
  P.Loop_.start(
      {P.Endpoints_, P.Claims_, P.Clock_, P.Metrics_, P.Logger_, P.Trace_},
      P.Peers_, P.Fleet_);
  P.Endpoints_.start();
  P.Claims_.start();
  P.OperatorPort_.start();
  if (auto Listening = P.Peers_.start(); !Listening)
    return Listening;
  P.Watcher_.start();
  P.Fleet_.start();
  P.Jobs_.start();
  if (auto Listening = P.OperatorServer_.start(); !Listening)
    return Listening;
  if (auto Listening = P.CallerServer_.start(); !Listening)
    return Listening;
  P.Logger_.write(LogLevel::Info,
                  LogEvent("entry.started")
                      .with("zone", P.Settings_.Zone_)
                      .with("callers", P.Settings_.Callers_.text())
                      .with("operators", P.Settings_.Operators_.text()));
  return {};
}

void Entry::drain() {
  Parts &P = *Parts_;
  P.Logger_.write(LogLevel::Info, LogEvent("entry.draining"));
  P.Loop_.beginDrain();
  P.Jobs_.beginDrain();
  P.CallerServer_.closeConnectionsAfterAnswers();
  auto GraceEnd = P.Clock_.now() + P.Settings_.DrainGrace_;
  while (P.Clock_.now() < GraceEnd)
    std::this_thread::sleep_for(DrainPoll);
  P.Loop_.refuseNewRequests();
  std::this_thread::sleep_for(DrainPoll);
  while (P.Loop_.activeRequests() > 0)
    std::this_thread::sleep_for(DrainPoll);
  auto WriteEnd = P.Clock_.now() + WriteLimit;
  while (P.CallerServer_.pendingAnswers() > 0 && P.Clock_.now() < WriteEnd)
    std::this_thread::sleep_for(DrainPoll);
  P.CallerServer_.refuseRequests(
      failureAnswer(RoutingErrc::ShuttingDown, Outcome::NotRun, {}));
  P.CallerServer_.stop();
  P.Jobs_.stop(SettleLimit);
  P.Claims_.stop(SettleLimit);
  P.Watcher_.stop();
  P.Fleet_.stop();
  P.OperatorPort_.stop();
  P.OperatorServer_.stop();
  P.Peers_.stop();
  P.Endpoints_.stop();
  P.Loop_.stop();
  P.Logger_.write(LogLevel::Info, LogEvent("entry.stopped"));
}

std::uint16_t Entry::callerPort() const { return Parts_->CallerServer_.port(); }

std::uint16_t Entry::operatorPort() const {
  return Parts_->OperatorServer_.port();
}

} // namespace dragonflylock
