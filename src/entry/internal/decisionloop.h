#ifndef DRAGONFLYLOCK_ENTRY_INTERNAL_DECISIONLOOP_H
#define DRAGONFLYLOCK_ENTRY_INTERNAL_DECISIONLOOP_H

#include "configuration/configurationpull.h"
#include "configuration/configurationreplica.h"
#include "configuration/startupgate.h"
#include "entry/entrytypes.h"
#include "entry/internal/actionrunner.h"
#include "forward/forwardtypes.h"
#include "forward/iofferlistener.h"
#include "global/boundedring.h"
#include "global/signal.h"
#include "operators/ientryview.h"
#include "peers/ipeerlistener.h"
#include "peers/peerdirectory.h"
#include "routing/instanceregistry.h"
#include "routing/requestengine.h"
#include "trace/traceevent.h"

#include <atomic>
#include <map>
#include <memory>
#include <thread>

namespace dragonflylock {

class IFleetWorker;
class IPeerLink;

/// The deciding thread of an entry instance: takes events from the other
/// threads, lets the state machines decide, and hands the actions out.
class DecisionLoop : public IOfferListener,
                     public IPeerListener,
                     public IEntryView {
public:
  struct Identity {
    std::string Name_;
    std::string Zone_;
    /// The number of peers in the settings.
    std::size_t Peers_ = 0;
  };

  DecisionLoop(Identity Self, const IConfigurationParser &Parser,
               std::unique_ptr<IInstanceSelector> Selector, const IClock &Clock,
               ILogger &Logger);
  ~DecisionLoop() override;

  /// Starts the thread.
  /// \param Fleet receives acknowledgements; must outlive the loop.
  void start(const ActionRunner::Ports &Ports, IPeerLink &Peers,
             IFleetWorker &Fleet);
  /// Ends the thread.
  void stop();

  /// Takes in a request; the caller answers it where the ring is full.
  bool onCaller(CallerEvent Event) { return Callers_.tryPut(std::move(Event)); }
  /// Takes in news from the platform; repeated by the sender if refused.
  bool onPlatform(PlatformEvent Event) {
    return Platform_.tryPut(std::move(Event));
  }
  /// Takes in the end of a claim; waits while the ring is full.
  void onClaimEnded(ClaimResult Ended);
  /// Takes in the end of an offer; waits while the ring is full.
  void onOfferCompleted(CompletedOffer Ended) override;
  void onPeerMessage(PeerMessage Message) override;

  Result<EntrySnapshot> snapshot(std::chrono::milliseconds Longest) override;
  bool isReady() const override;

  /// States to balancer and peers that this instance is leaving, and still
  /// accepts requests.
  void beginDrain();
  /// Refuses all requests that arrive from now on.
  void refuseNewRequests() { IsRefusing_ = true; }
  /// \returns the requests that have not ended.
  std::size_t activeRequests() const { return Active_; }

private:
  void run();
  void runOnce();
  void take(CallerEvent Event);
  void take(CompletedOffer Event);
  void take(ClaimResult Event);
  void take(PlatformEvent Event);
  void take(PeerMessage Event);
  void take(const SnapshotPromise &Query);

  void takeNews(const ConfigurationEvent &News);
  void takeNews(const InstanceList &News);
  void takeNews(const InstanceRowsEvent &News);
  void takeMessage(const Heartbeat &Message);
  void takeMessage(const ConfigurationNotice &Message);
  void takeMessage(const ConfigurationRequest &Message);

  void traceMark(TraceKind Kind, const InstanceIncarnation &Mark);
  void takeConfiguration(ConfigurationVersion Version,
                         const std::string &Document, const char *Source);
  void putInForce();
  void pullConfiguration();
  void takeRow(const TableRow &Row);
  void instancesChanged();
  void acknowledgeQuietInstances();
  void beat();
  Heartbeat heartbeat() const;
  EntrySnapshot makeSnapshot() const;

  Identity Self_;
  const IClock &Clock_;
  ILogger &Logger_;
  std::string BootId_;

  Signal Signal_;
  BoundedRing<CallerEvent> Callers_;
  BoundedRing<CompletedOffer> Offers_;
  BoundedRing<ClaimResult> Claims_;
  BoundedRing<PlatformEvent> Platform_;
  BoundedRing<PeerMessage> PeerMessages_;
  BoundedRing<SnapshotPromise> Queries_;

  ConfigurationReplica Replica_;
  StartupGate Gate_;
  ConfigurationPull Pull_;
  ConfigurationVersion InForce_ = 0;
  std::int64_t VersionSinceMs_ = 0;
  InstanceRegistry Registry_;
  std::uint64_t SeenRevision_ = 0;
  PeerDirectory Directory_;
  RequestEngine Engine_;
  std::unique_ptr<ActionRunner> Runner_;
  IPeerLink *Peers_ = nullptr;
  IFleetWorker *Fleet_ = nullptr;
  /// The highest epoch acknowledged, by instance.
  std::map<std::string, std::uint64_t> Acknowledged_;
  IEntryMetrics *Metrics_ = nullptr;
  ITraceSink *Trace_ = nullptr;
  RequestId NextRequest_ = 1;
  TimePoint NextBeat_;
  TimePoint NextTick_;

  std::atomic<bool> IsConfigured_ = false;
  std::atomic<bool> IsDraining_ = false;
  std::atomic<bool> IsRefusing_ = false;
  std::atomic<bool> IsStopping_ = false;
  std::atomic<std::size_t> Active_ = 0;
  std::thread Thread_;
};

} // namespace dragonflylock

#endif
