#include "entry/internal/decisionloop.h"
#include "configuration/fleetconfiguration.h"
#include "entry/internal/failureanswer.h"
#include "entry/internal/ifleetworker.h"
#include "fleet/instancerowcodec.h"
#include "global/digest.h"
#include "global/ilogger.h"
#include "global/logevent.h"
#include "http/ihttpresponder.h"
#include "metrics/ientrymetrics.h"
#include "operators/operatorserrors.h"
#include "peers/ipeerlink.h"
#include "routing/iinstanceselector.h"
#include "trace/itracesink.h"
#include "trace/traceevent.h"

namespace dragonflylock {
namespace {

constexpr std::size_t CallerRing = 4096;
constexpr std::size_t OfferRing = 8192;
constexpr std::size_t ClaimRing = 4096;
constexpr std::size_t PlatformRing = 64;
constexpr std::size_t PeerRing = 1024;
constexpr std::size_t QueryRing = 64;
constexpr std::size_t BootIdBytes = 6;
constexpr std::chrono::milliseconds TickInterval{20};
constexpr std::chrono::milliseconds BeatInterval{500};

HttpRequest forwarded(HttpRequest Request, const std::string &RequestId) {
  Request.Headers_ = withoutHopByHop(Request.Headers_);
  Request.Headers_.push_back({headers::RequestId, RequestId});
  Request.Headers_.push_back({"Via", "1.1 dragonflylock"});
  return Request;
}

std::string valueOf(const HttpHeaders &Headers, const char *Name) {
  const std::string *Found = findHeader(Headers, Name);
  return Found == nullptr ? std::string() : *Found;
}

} // namespace

DecisionLoop::DecisionLoop(Identity Self, const IConfigurationParser &Parser,
                           std::unique_ptr<IInstanceSelector> Selector,
                           const IClock &Clock, ILogger &Logger)
    : Self_(std::move(Self)), Clock_(Clock), Logger_(Logger),
      BootId_(randomId(BootIdBytes)), Callers_(CallerRing, Signal_),
      Offers_(OfferRing, Signal_), Claims_(ClaimRing, Signal_),
      Platform_(PlatformRing, Signal_), PeerMessages_(PeerRing, Signal_),
      Queries_(QueryRing, Signal_), Replica_(Parser),
      Gate_(Self_.Peers_, Clock.now()),
      Engine_(Self_.Zone_, std::move(Selector)) {}

DecisionLoop::~DecisionLoop() { stop(); }

void DecisionLoop::start(const ActionRunner::Ports &Ports, IPeerLink &Peers,
                         IFleetWorker &Fleet) {
  Peers_ = &Peers;
  Fleet_ = &Fleet;
  Metrics_ = &Ports.Metrics_;
  Trace_ = &Ports.Trace_;
  Runner_ = std::make_unique<ActionRunner>(Engine_, Ports);
  Thread_ = std::thread([this] { run(); });
}

void DecisionLoop::stop() {
  IsStopping_ = true;
  Signal_.wake();
  if (Thread_.joinable())
    Thread_.join();
}

void DecisionLoop::onClaimEnded(ClaimResult Ended) {
  Claims_.put(std::move(Ended), IsStopping_);
}

void DecisionLoop::onOfferCompleted(CompletedOffer Ended) {
  Offers_.put(std::move(Ended), IsStopping_);
}

void DecisionLoop::onPeerMessage(PeerMessage Message) {
  if (!PeerMessages_.tryPut(std::move(Message)))
    Metrics_->ringRefused("peers");
}

Result<EntrySnapshot>
DecisionLoop::snapshot(std::chrono::milliseconds Longest) {
  auto Promise = std::make_shared<std::promise<EntrySnapshot>>();
  auto Future = Promise->get_future();
  bool IsAsked = Queries_.tryPut(std::move(Promise));
  if (!IsAsked || Future.wait_for(Longest) != std::future_status::ready)
    return Error(OperatorsErrc::Busy, "no snapshot in time", "try again");
  return Future.get();
}

bool DecisionLoop::isReady() const { return IsConfigured_ && !IsDraining_; }

void DecisionLoop::beginDrain() {
  IsDraining_ = true;
  Signal_.wake();
}

void DecisionLoop::run() {
  while (!IsStopping_) {
    runOnce();
    Signal_.waitFor(TickInterval);
  }
}

void DecisionLoop::runOnce() {
  Platform_.drain([this](PlatformEvent E) { take(std::move(E)); });
  PeerMessages_.drain([this](PeerMessage E) { take(std::move(E)); });
  Claims_.drain([this](ClaimResult E) { take(std::move(E)); });
  Offers_.drain([this](CompletedOffer E) { take(std::move(E)); });
  if (IsRefusing_)
    Engine_.refuseNewRequests();
  Callers_.drain([this](CallerEvent E) { take(std::move(E)); });
  Queries_.drain([this](const SnapshotPromise &E) { take(E); });
  TimePoint Now = Clock_.now();
  if (Now >= NextTick_) {
    NextTick_ = Now + TickInterval;
    pullConfiguration();
    putInForce();
    Runner_->run(Engine_.onTick(Now));
    acknowledgeQuietInstances();
  }
  if (Now >= NextBeat_) {
    NextBeat_ = Now + BeatInterval;
    beat();
  }
  Active_ = Engine_.activeRequests();
}

void DecisionLoop::take(CallerEvent Event) {
  RequestId Id = NextRequest_++;
  Exchange &Entry = Runner_->open(Id);
  Entry.RequestId_ = Self_.Name_ + "-" + BootId_ + "-" + std::to_string(Id);
  Entry.Responder_ = std::move(Event.Responder_);
  Entry.ArrivedAt_ = Event.ArrivedAt_;

  const HttpRequest &Request = Event.Request_;
  RequestHead Head;
  Head.Id_ = Id;
  Head.Method_ = Request.Method_;
  Head.Path_ = std::string(Request.path());
  Head.HeadSize_ = headSize(Request.Headers_);
  Head.BodySize_ = Request.Body_.size();
  std::string Key = valueOf(Request.Headers_, "Idempotency-Key");
  if (!Key.empty()) {
    // Callers with different credentials never share a key.
    Head.ClaimKey_ =
        digestOf({valueOf(Request.Headers_, "Authorization"), Key});
    Head.AttemptId_ = Entry.RequestId_;
    Head.Fingerprint_ =
        digestOf({Request.Method_, Request.Target_, Request.Body_});
  }
  Entry.Key_ = Head.ClaimKey_;
  Entry.Request_ = std::make_shared<const HttpRequest>(
      forwarded(std::move(Event.Request_), Entry.RequestId_));

  TraceEvent Record;
  Record.Kind_ = TraceKind::Received;
  Record.Request_ = Entry.RequestId_;
  Record.Key_ = Entry.Key_;
  Trace_->record(std::move(Record));

  auto Actions = Engine_.onRequest(Event.ArrivedAt_, Head);
  Entry.Pool_ = Engine_.poolOf(Id);
  Runner_->run(std::move(Actions));
}

void DecisionLoop::take(CompletedOffer Event) {
  if (Exchange *Entry = Runner_->find(Event.OfferResult_.Id_))
    Entry->Answer_ = std::move(Event.Answer_);
  Runner_->run(Engine_.onOfferResult(Clock_.now(), Event.OfferResult_));
}

void DecisionLoop::take(ClaimResult Event) {
  Exchange *Entry = Runner_->find(Event.Request_);
  if (Entry != nullptr && Event.Outcome_ == ClaimOutcome::ResponseStored)
    Entry->Answer_ = std::move(Event.Answer_);
  if (Entry != nullptr && Event.Outcome_ == ClaimOutcome::Granted) {
    TraceEvent Record;
    Record.Kind_ = TraceKind::Claimed;
    Record.Request_ = Entry->RequestId_;
    Record.Key_ = Entry->Key_;
    Trace_->record(std::move(Record));
  }
  Runner_->run(
      Engine_.onClaimResult(Clock_.now(), Event.Request_, Event.Outcome_));
}

void DecisionLoop::take(PlatformEvent Event) {
  std::visit([this](const auto &News) { takeNews(News); }, Event);
}

void DecisionLoop::take(PeerMessage Event) {
  std::visit([this](const auto &Message) { takeMessage(Message); }, Event);
}

void DecisionLoop::take(const SnapshotPromise &Query) {
  Query->set_value(makeSnapshot());
}

void DecisionLoop::takeNews(const ConfigurationEvent &News) {
  takeConfiguration(News.Version_, News.Document_, "platform");
}

void DecisionLoop::takeNews(const InstanceList &News) {
  InstanceListChanges Fresh = Registry_.onList(News);
  for (const InstanceIncarnation &Mark : Fresh.Live_)
    traceMark(TraceKind::InstanceLive, Mark);
  for (const InstanceIncarnation &Mark : Fresh.Leaving_)
    traceMark(TraceKind::InstanceLeaving, Mark);
  if (!Fresh.Leaving_.empty())
    Peers_->broadcast(heartbeat());
  instancesChanged();
}

void DecisionLoop::traceMark(TraceKind Kind, const InstanceIncarnation &Mark) {
  TraceEvent Record;
  Record.Kind_ = Kind;
  Record.Instance_ = Mark.Id_;
  Record.Number_ = Mark.Generation_;
  Trace_->record(std::move(Record));
}

void DecisionLoop::takeNews(const InstanceRowsEvent &News) {
  for (const TableRow &Row : News.Changes_.Rows_)
    takeRow(Row);
  for (const std::string &Id : News.Changes_.Deleted_)
    Registry_.onRowDeleted(Id);
  instancesChanged();
  Runner_->run(Engine_.onViewRefreshed(Clock_.now(), News.ReadStartedAt_,
                                       News.IsRegistered_));
}

void DecisionLoop::acknowledgeQuietInstances() {
  for (const auto &[Id, Known] : Registry_.instances()) {
    if (!Known.Row_ || Known.Row_->Phase_ != InstancePhase::Leaving)
      continue;
    std::uint64_t &Last = Acknowledged_[Id];
    bool IsDue = Last < Known.Row_->Epoch_ && Engine_.outstandingAt(Id) == 0;
    if (IsDue && Fleet_->acknowledge({Id, Known.Row_->Epoch_}))
      Last = Known.Row_->Epoch_;
  }
}

void DecisionLoop::takeRow(const TableRow &Row) {
  auto Decoded = instancerowcodec::decode(Row.Value_);
  if (!Decoded) {
    Logger_.write(LogLevel::Error,
                  LogEvent("instance.row.damaged")
                      .with("instance", Row.Key_)
                      .with("error", Decoded.error().message()));
    return;
  }
  TraceEvent Record;
  Record.Kind_ = TraceKind::InstanceSeen;
  Record.Instance_ = Row.Key_;
  Record.Pool_ = Decoded.value().Pool_;
  Record.Phase_ = nameOf(Decoded.value().Phase_);
  Record.Number_ = Decoded.value().Epoch_;
  Trace_->record(std::move(Record));
  Registry_.onRow(Row.Key_, Decoded.value());
}

void DecisionLoop::takeMessage(const Heartbeat &Message) {
  Directory_.onHeartbeat(Message, Clock_.now());
  Gate_.onPeer(Message.Name_, Message.Version_);
  for (const InstanceIncarnation &Mark : Message.Leaving_)
    Registry_.onLeaving(Mark);
  Pull_.onPeer(Message.Name_, Message.Version_, Clock_.now());
  instancesChanged();
}

void DecisionLoop::takeMessage(const ConfigurationNotice &Message) {
  takeConfiguration(Message.Version_, Message.Document_, "peer");
}

void DecisionLoop::takeMessage(const ConfigurationRequest &Message) {
  if (Replica_.version() > 0)
    Peers_->send(Message.Name_,
                 ConfigurationNotice{Replica_.version(), Replica_.document()});
}

void DecisionLoop::takeConfiguration(ConfigurationVersion Version,
                                     const std::string &Document,
                                     const char *Source) {
  auto Offered = Replica_.offer(Version, Document, Clock_.now());
  if (Offered == ConfigurationReplica::Offered::NotNewer)
    return;
  bool IsFaulty = Offered == ConfigurationReplica::Offered::Faulty;
  Logger_.write(
      IsFaulty ? LogLevel::Error : LogLevel::Info,
      LogEvent(IsFaulty ? "configuration.faulty" : "configuration.received")
          .with("version", Version)
          .with("source", Source));
  putInForce();
}

void DecisionLoop::pullConfiguration() {
  if (auto Peer = Pull_.due(Replica_.version(), Clock_.now()))
    Peers_->send(*Peer, ConfigurationRequest{Self_.Name_});
}

void DecisionLoop::putInForce() {
  ConfigurationVersion Version = Replica_.version();
  if (Version <= InForce_ || !Gate_.opensFor(Version, Clock_.now()))
    return;
  InForce_ = Version;
  VersionSinceMs_ = millisecondsSinceEpoch(Clock_.wallNow());
  TraceEvent Record;
  Record.Kind_ = TraceKind::ConfigurationApplied;
  Record.Number_ = Version;
  Trace_->record(std::move(Record));
  Logger_.write(LogLevel::Info,
                LogEvent("configuration.in-force").with("version", Version));
  Metrics_->configurationVersion(Version);
  Engine_.setConfiguration(Replica_.configuration());
  IsConfigured_ = true;
  Peers_->broadcast(heartbeat());
}

void DecisionLoop::instancesChanged() {
  if (SeenRevision_ == Registry_.revision())
    return;
  SeenRevision_ = Registry_.revision();
  Runner_->run(Engine_.onInstancesChanged(Clock_.now(), Registry_));
}

void DecisionLoop::beat() {
  Peers_->broadcast(heartbeat());
  Metrics_->livePeers(Directory_.live(Clock_.now()).size());
  Metrics_->activeRequests(Engine_.activeRequests(), Engine_.queuedRequests());
}

Heartbeat DecisionLoop::heartbeat() const {
  Heartbeat Message{Self_.Name_,     Self_.Zone_, InForce_,
                    VersionSinceMs_, isReady(),   {}};
  for (const auto &[Id, Known] : Registry_.instances()) {
    bool IsCurrent = Known.LeavingGeneration_ && Known.Listed_ &&
                     *Known.LeavingGeneration_ >= Known.Listed_->Generation_;
    if (IsCurrent)
      Message.Leaving_.push_back({Id, *Known.LeavingGeneration_});
  }
  return Message;
}

EntrySnapshot DecisionLoop::makeSnapshot() const {
  EntrySnapshot Snapshot;
  Snapshot.Name_ = Self_.Name_;
  Snapshot.Zone_ = Self_.Zone_;
  Snapshot.IsReady_ = isReady();
  Snapshot.Version_ = InForce_;
  Snapshot.VersionSinceMs_ = VersionSinceMs_;
  Snapshot.Document_ = Replica_.document();
  Snapshot.Configuration_ = Replica_.configuration();
  for (const auto &[Id, Known] : Registry_.instances())
    Snapshot.Instances_.push_back({Id, Known, Engine_.outstandingAt(Id),
                                   InstanceRegistry::isEligible(Known)});
  Snapshot.Peers_ = Directory_.live(Clock_.now());
  Snapshot.Active_ = Engine_.activeRequests();
  Snapshot.Queued_ = Engine_.queuedRequests();
  return Snapshot;
}

} // namespace dragonflylock
