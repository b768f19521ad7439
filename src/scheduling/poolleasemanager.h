#ifndef DRAGONFLYLOCK_SCHEDULING_POOLLEASEMANAGER_H
#define DRAGONFLYLOCK_SCHEDULING_POOLLEASEMANAGER_H

#include "scheduling/controlrows.h"
#include "scheduling/poolowner.h"
#include "scheduling/schedulingsettings.h"
#include "scheduling/storetypes.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace dragonflylock {

class IClock;
class ILogger;
class IStore;
class TakeoverRequests;

/// Acquires, renews and releases the leases on pools. Any node may own any
/// pool; the store's conditional writes decide between competing nodes.
class PoolLeaseManager : public std::enable_shared_from_this<PoolLeaseManager> {
public:
  using AcquiredCallback = std::function<void(const PoolOwnership &)>;
  /// Called with the end of the lease, the version of the renewal and the last
  /// range of run numbers that is reserved for the owner. The version is higher
  /// than the tokens of all owners so far and lower than those of later owners.
  using RenewedCallback =
      std::function<void(const std::string &Pool, TimePoint End,
                         FencingToken Renewal, std::uint64_t RunNumberRange)>;
  using LostCallback = std::function<void(const std::string &Pool)>;
  /// Called when the pool is about to be released.
  /// \returns rows that are stored together with the release.
  using ReleasingCallback =
      std::function<std::vector<StorePut>(const std::string &Pool)>;

  /// \param Process identifies this process among all processes of the node,
  /// including earlier ones.
  PoolLeaseManager(const SchedulingSettings &Settings, std::string Process,
                   IStore &Store, const IClock &Clock, ILogger &Logger,
                   AcquiredCallback OnAcquired, RenewedCallback OnRenewed,
                   LostCallback OnLost);

  /// Sets the callback that supplies the rows to store with a release.
  void setOnReleasing(ReleasingCallback OnReleasing) {
    OnReleasing_ = std::move(OnReleasing);
  }
  /// Sets the pools that need an owner.
  void setPools(const std::vector<std::string> &Pools);
  /// Called when the row of a pool's owner was read.
  void onOwnerRow(const std::string &Pool, const StoreRow &Row);
  /// Called when the row that a node publishes was read.
  void onNodeRow(const std::string &Node, const NodeRow &Row) {
    Nodes_[Node] = Row;
  }
  /// Called when the row with the latest request for a pool was read.
  void onTakeoverRow(const std::string &Pool, const StoreRow &Row);
  /// Called when the control table has been read, so that a pool without a row
  /// has no owner.
  void setLoaded() { IsLoaded_ = true; }
  /// Sets whether the known rows are up to date. While they are not, this node
  /// does not try to acquire pools, and the delays before its attempts do not
  /// elapse.
  void setViewCurrent(bool IsViewCurrent) { IsViewCurrent_ = IsViewCurrent; }
  /// Requests that all run numbers up to \p Range are reserved for this node's
  /// ownership of the pool. The next renewal of the lease, which is made at
  /// once, does so.
  void reserveRunNumbers(const std::string &Pool, std::uint64_t Range);
  /// Makes the attempts and renewals that are due, and drops expired leases.
  void tick();
  /// Releases all pools, so that other nodes can acquire them at once.
  void releaseAll();
  /// \returns the token of the pool's current owner, or nothing if the pool is
  /// not known to have one.
  std::optional<FencingToken> currentToken(const std::string &Pool) const;
  /// \returns the number of pools that this node owns or tries to acquire.
  std::size_t ownedOrPendingCount() const;

private:
  struct PoolLease {
    OwnerRow Row_;
    StoreVersion Version_ = 0;
    /// When the current version of the row was first seen.
    TimePoint VersionSeenAt_;
    /// When a row of the current term of ownership was first seen.
    TimePoint TermSeenAt_;
    bool IsOwned_ = false;
    bool HasWriteInFlight_ = false;
    FencingToken Token_ = 0;
    /// Last range of run numbers that the owner of this node has asked for.
    std::uint64_t RequestedRunNumberRange_ = 0;
    TimePoint LeaseEnd_;
    TimePoint NextRenewal_;
    /// When the renewal in flight, or else the last one, was sent.
    TimePoint RenewalSent_;
    /// Outcome of the last completed renewal in this term of
    /// ownership.
    std::optional<StoreOutcome> RenewalOutcome_;
    /// Since when the pool is known to be free; TimePoint() if it is not.
    TimePoint FreeSince_;
    TimePoint NextAttempt_;
    /// Leases that this node failed to renew in time since it last held the
    /// pool for StableOwnershipRenewals renewals.
    std::uint32_t ExpiredLeases_ = 0;
    /// Renewals in the current term of ownership.
    std::uint32_t OwnershipRenewals_ = 0;
    /// When the first attempt was sent that may have acquired the pool although
    /// its response was lost.
    std::optional<TimePoint> UnansweredSince_;
    /// When the previous owner had stopped acting, determined at the last
    /// attempt to acquire the pool.
    std::optional<TimePoint> PredecessorEnd_;
    /// Token of the owner that the last attempt to acquire the pool was to
    /// replace; 0 if there was none.
    FencingToken PredecessorToken_ = 0;
    /// Rows to store with the release of the pool.
    std::vector<StorePut> RowsForRelease_;
  };

  /// \returns whether the store refused the last renewal.
  static bool wasRenewalRefused(const PoolLease &Lease);
  bool isFree(const PoolLease &Lease) const;
  /// \returns when the owner in the row had certainly stopped acting, or
  /// nothing if no time before now is certain.
  std::optional<TimePoint> previousOwnerEnd(const PoolLease &Lease) const;
  std::chrono::milliseconds attemptDelay(const std::string &Pool,
                                         const PoolLease &Lease) const;
  /// \returns the token of the term of ownership that the lease's row belongs
  /// to.
  static FencingToken tokenOf(const PoolLease &Lease);
  /// \returns the number of pools that the node owns.
  std::size_t poolsOf(const std::string &Node) const;
  /// \returns whether \p Node would have much more processor time for a pool
  /// of \p Owner than the owner has for each of its pools.
  bool couldServeFaster(const std::string &Node,
                        const std::string &Owner) const;
  /// Asks the pool's owner for the pool if this node could serve it much
  /// faster.
  void requestTakeover(const std::string &Pool, const PoolLease &Lease);
  /// Releases the pool for a node that has asked for it and could serve it much
  /// faster.
  /// \returns whether the pool was released.
  bool handOverOnRequest(const std::string &Pool, PoolLease &Lease);
  /// \returns whether an attempt to acquire a pool is in flight.
  bool hasAttemptInFlight() const;
  /// \returns the processor cores of the largest node that is known.
  double largestNodeCores() const;
  /// \returns the delay that lets larger nodes make their attempts first.
  std::chrono::milliseconds sizeDelay() const;
  /// Publishes the size of this node to the other nodes if the stored
  /// size differs.
  /// \returns whether the current size is already published.
  bool publishNodeSize();
  void tryAcquire(const std::string &Pool, PoolLease &Lease);
  void onAcquireResult(const std::string &Pool, TimePoint Sent,
                       const OwnerRow &NewRow,
                       const StoreTransactionResult &Result);
  void beginOwnership(const std::string &Pool, PoolLease &Lease, TimePoint Sent,
                      StoreVersion Token);
  void renew(const std::string &Pool, PoolLease &Lease);
  void onRenewal(const std::string &Pool, TimePoint Sent, const OwnerRow &Next,
                 const StoreTransactionResult &Result);
  void logRenewal(const std::string &Pool, const PoolLease &Lease,
                  StoreOutcome Outcome);
  /// Marks the pool as free in the store, so that other nodes see it.
  /// \param Successor node that acquires the pool first; empty for any.
  void release(const std::string &Pool, PoolLease &Lease,
               const std::string &Successor = {});
  /// Ends the ownership of a pool that is about to be released, and keeps the
  /// rows to store with the release.
  void stopOwning(const std::string &Pool, PoolLease &Lease, const char *Cause);
  /// Drops a lease that was not renewed in time.
  void expireLease(const std::string &Pool, PoolLease &Lease);
  void loseLease(const std::string &Pool, PoolLease &Lease, const char *Cause);
  StoreTransaction makeOwnerUpdate(const std::string &Pool,
                                   const PoolLease &Lease,
                                   const OwnerRow &Row) const;
  void applyRow(PoolLease &Lease, const StoreRow &Row);

  const SchedulingSettings &Settings_;
  std::string Process_;
  IStore &Store_;
  const IClock &Clock_;
  ILogger &Logger_;
  AcquiredCallback OnAcquired_;
  RenewedCallback OnRenewed_;
  LostCallback OnLost_;
  ReleasingCallback OnReleasing_;
  bool IsLoaded_ = false;
  bool IsViewCurrent_ = true;
  bool IsReleasing_ = false;
  std::map<std::string, PoolLease> Leases_;
  std::map<std::string, NodeRow> Nodes_;
  std::shared_ptr<TakeoverRequests> Takeovers_;
  TimePoint NextTakeoverCheck_;
  bool IsPublishingSize_ = false;
  TimePoint NextSizePublication_;
  std::vector<std::string> Pools_;
};

} // namespace dragonflylock

#endif
