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

/// State machine that admits, queues, offers and retries the requests of one
/// entry instance. It has no I/O, clock or thread of its own.
///
/// Each input returns the actions that the caller has to perform. Every
/// request ends with exactly one RelayAction, ReplayAction or FailAction.
class RequestEngine {
public:
  using Actions = std::vector<RoutingAction>;

  /// \param Zone the zone of this entry instance.
  /// \param Selector selects among the usable instances of a pool.
  RequestEngine(std::string Zone, std::unique_ptr<IInstanceSelector> Selector);
  ~RequestEngine();

  /// Sets the configuration that applies to requests that arrive from now on.
  void setConfiguration(std::shared_ptr<const FleetConfiguration> Value);
  /// Updates the eligible instances from \p Registry and offers queued
  /// requests.
  Actions onInstancesChanged(TimePoint Now, const InstanceRegistry &Registry);
  /// Renews the view lease after the rows of all instances were read.
  /// \param ReadStartedAt when the read started; the instances of other zones
  /// may be used for ViewLease from this time on.
  /// \param IsRegistered whether this entry instance is registered for its
  /// zone and may therefore use the zone's instances without a lease.
  Actions onViewRefreshed(TimePoint Now, TimePoint ReadStartedAt,
                          bool IsRegistered);
  /// Admits or refuses a request that arrived.
  Actions onRequest(TimePoint Now, const RequestHead &Head);
  /// Handles the result of a request's claim.
  Actions onClaimResult(TimePoint Now, RequestId Id,
                        ClaimOutcome OutcomeOfClaim);
  /// Handles the result of an offer: relays the answer, retries or fails.
  Actions onOfferResult(TimePoint Now, const OfferResult &Result);
  /// Fails requests whose deadline has passed and offers queued ones.
  Actions onTick(TimePoint Now);
  /// Refuses requests that arrive from now on with ShuttingDown.
  void refuseNewRequests() { IsRefusing_ = true; }

  /// \returns the number of requests that have not ended.
  std::size_t activeRequests() const { return Requests_.size(); }
  /// \returns the number of queued requests, which wait for a free slot.
  std::size_t queuedRequests() const;
  /// \returns the pool of an active request, or an empty string.
  std::string poolOf(RequestId Id) const;
  /// \returns the number of offers in flight at the instance.
  std::uint64_t outstandingAt(const std::string &Instance) const;

private:
  enum class Stage { Claiming, Queued, Offered };

  struct Request {
    RequestHead Head_;
    std::string Pool_;
    PoolSettings Settings_;
    TimePoint Deadline_;
    /// Key of the request's entry in Timeouts_.
    TimePoint TimesOutAt_;
    Stage Stage_ = Stage::Queued;
    bool IsIdempotent_ = false;
    bool HasClaim_ = false;
    /// Whether an earlier attempt may have sent any byte to an endpoint.
    bool MayHaveBeenSent_ = false;
    std::uint32_t Attempts_ = 0;
    std::vector<std::string> Excluded_;
    std::string Instance_;
  };

  struct PoolState {
    std::deque<RequestId> Queue_;
    std::vector<InstanceLoad *> Eligible_;
    /// The eligible instances in the zone of this entry instance.
    std::vector<InstanceLoad *> EligibleInZone_;
    RetryBudget Retries_;
    OutlierDetector Outliers_;
  };

  static std::optional<RoutingErrc>
  checkSizeLimits(const RequestHead &Head, const PoolSettings &Settings);
  void admit(TimePoint Now, const RequestHead &Head, const Route &Found,
             const PoolSettings &Settings, Actions &Out);
  static Actions refuse(const RequestHead &Head, RoutingErrc Kind);
  void enqueue(TimePoint Now, Request &Entry, Actions &Out);
  void dispatch(TimePoint Now, const std::string &Pool, Actions &Out);
  bool offerNext(TimePoint Now, PoolState &Pool, Actions &Out);
  const std::vector<InstanceLoad *> &usableInstances(const PoolState &Pool,
                                                     TimePoint Now) const;
  TimePoint usableUntil(const InstanceLoad &Instance) const;
  void offer(Request &Entry, InstanceLoad &Instance, Actions &Out);
  void releaseSlot(const std::string &Instance);
  void updateOutlierState(TimePoint Now, const Request &Entry,
                          const OfferResult &Result);
  void handleUnsentOffer(TimePoint Now, Request &Entry, Actions &Out);
  void handleSentOffer(TimePoint Now, Request &Entry, const OfferResult &Result,
                       Actions &Out);
  bool tryRetry(TimePoint Now, Request &Entry);
  void requeueAtFront(Request &Entry);
  void scheduleTimeout(Request &Entry, TimePoint TimesOutAt);
  void cancelTimeout(const Request &Entry);
  void relay(Request &Entry, Actions &Out);
  void fail(Request &Entry, RoutingErrc Kind, Actions &Out);
  void failAfterOffer(Request &Entry, RoutingErrc Kind, Actions &Out);
  void eraseRequest(const Request &Entry);

  std::string Zone_;
  std::unique_ptr<IInstanceSelector> Selector_;
  TimePoint ViewLeaseExpiry_;
  bool IsRegistered_ = false;
  std::shared_ptr<const FleetConfiguration> Configuration_;
  std::unordered_map<RequestId, Request> Requests_;
  /// Requests that are not offered to an endpoint, ordered by the time at
  /// which they fail.
  std::set<std::pair<TimePoint, RequestId>> Timeouts_;
  std::map<std::string, PoolState> Pools_;
  std::unordered_map<std::string, InstanceLoad> Loads_;
  /// Requests that ended before the result of their claim arrived.
  std::set<RequestId> AbandonedClaims_;
  bool IsRefusing_ = false;
};

} // namespace dragonflylock

#endif
