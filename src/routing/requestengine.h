#ifndef DRAGONFLYLOCK_ROUTING_REQUESTENGINE_H
#define DRAGONFLYLOCK_ROUTING_REQUESTENGINE_H

#include "configuration/configurationtypes.h"
#include "routing/instanceload.h"
#include "routing/outlierdetector.h"
#include "routing/retrybudget.h"
#include "routing/routingtypes.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace dragonflylock {

class FleetConfiguration;
class IInstanceSelector;
class InstanceRegistry;

/// Decides what happens to each request of one entry instance: a state
/// machine without I/O, clock or thread of its own.
///
/// Each input returns the actions that follow from it. Every request ends
/// with exactly one RelayAction, ReplayAction or FailAction.
class RequestEngine {
public:
  using Actions = std::vector<RoutingAction>;

  /// \param Zone the zone of this entry instance.
  /// \param Selector chooses among the instances of a pool.
  RequestEngine(std::string Zone, std::unique_ptr<IInstanceSelector> Selector);
  ~RequestEngine();

  /// Puts a configuration in force for requests that arrive from now on.
  void setConfiguration(std::shared_ptr<const FleetConfiguration> Value);
  /// Takes over which instances are eligible, and offers waiting requests.
  Actions onInstances(TimePoint Now, const InstanceRegistry &Registry);
  /// Takes over that the rows of all instances were read.
  /// \param ReadStartedAt when the reading began; the instances of other
  /// zones may be used for ViewLease from then on.
  /// \param IsRegistered whether this entry instance is registered for its
  /// zone, so that it may use the zone's instances without a lease.
  Actions onView(TimePoint Now, TimePoint ReadStartedAt, bool IsRegistered);
  /// Takes in a request.
  Actions onRequest(TimePoint Now, const RequestHead &Head);
  /// Reports how the claim of a request ended.
  Actions onClaim(TimePoint Now, RequestId Id, ClaimOutcome Verdict);
  /// Reports how an offer ended.
  Actions onOfferEnd(TimePoint Now, const OfferEnd &End);
  /// Ends requests whose deadline has passed, and offers waiting ones.
  Actions onTick(TimePoint Now);
  /// Refuses all requests that arrive from now on.
  void refuseNewRequests() { IsRefusing_ = true; }

  /// \returns the number of requests that have not ended.
  std::size_t activeRequests() const { return Requests_.size(); }
  /// \returns the number of requests that wait for a slot.
  std::size_t queuedRequests() const;
  /// \returns the pool of an active request, or an empty text.
  std::string poolOf(RequestId Id) const;
  /// \returns the offers outstanding at the instance.
  std::uint64_t outstandingAt(const std::string &Instance) const;

private:
  enum class Stage { Claiming, Queued, Offered };

  struct Request {
    RequestHead Head_;
    std::string Pool_;
    PoolSettings Settings_;
    TimePoint Deadline_;
    /// Its place in Waiting_.
    TimePoint WaitingUntil_;
    Stage Stage_ = Stage::Queued;
    bool IsIdempotent_ = false;
    bool HasClaim_ = false;
    /// Whether any byte may have reached an endpoint in an earlier attempt.
    bool WasOffered_ = false;
    std::uint32_t Attempts_ = 0;
    std::vector<std::string> Excluded_;
    std::string Instance_;
  };

  struct PoolState {
    std::deque<RequestId> Queue_;
    std::vector<InstanceLoad *> Eligible_;
    /// Those of them in the own zone.
    std::vector<InstanceLoad *> EligibleInZone_;
    RetryBudget Retries_;
    OutlierDetector Outliers_;
  };

  static std::optional<RoutingErrc> refusal(const RequestHead &Head,
                                            const PoolSettings &Settings);
  void admit(TimePoint Now, const RequestHead &Head, const Route &Found,
             const PoolSettings &Settings, Actions &Out);
  static Actions refuse(const RequestHead &Head, RoutingErrc Kind);
  void enqueue(TimePoint Now, Request &Entry, Actions &Out);
  void dispatch(TimePoint Now, const std::string &Pool, Actions &Out);
  bool offerNext(TimePoint Now, PoolState &Pool, Actions &Out);
  const std::vector<InstanceLoad *> &usable(const PoolState &Pool,
                                            TimePoint Now) const;
  TimePoint usableUntil(const InstanceLoad &Instance) const;
  void offer(Request &Entry, InstanceLoad &Instance, Actions &Out);
  void releaseSlot(const std::string &Instance);
  void judgeInstance(TimePoint Now, const Request &Entry, const OfferEnd &End);
  void judgeUnoffered(TimePoint Now, Request &Entry, Actions &Out);
  void judgeOffered(TimePoint Now, Request &Entry, const OfferEnd &End,
                    Actions &Out);
  bool tryRetry(TimePoint Now, Request &Entry);
  void requeueFirst(Request &Entry);
  void waitUntil(Request &Entry, TimePoint End);
  void stopWaiting(const Request &Entry);
  void relay(Request &Entry, Actions &Out);
  void fail(Request &Entry, RoutingErrc Kind, Actions &Out);
  void failAfterOffer(Request &Entry, RoutingErrc Kind, Actions &Out);
  void forget(const Request &Entry);

  std::string Zone_;
  std::unique_ptr<IInstanceSelector> Selector_;
  TimePoint LeaseEnd_;
  bool IsRegistered_ = false;
  std::shared_ptr<const FleetConfiguration> Configuration_;
  std::unordered_map<RequestId, Request> Requests_;
  /// Requests that are not at an endpoint, by the time that they end at.
  std::set<std::pair<TimePoint, RequestId>> Waiting_;
  std::map<std::string, PoolState> Pools_;
  std::unordered_map<std::string, InstanceLoad> Loads_;
  /// Requests that ended before their claim did.
  std::set<RequestId> AbandonedClaims_;
  bool IsRefusing_ = false;
};

} // namespace dragonflylock

#endif
