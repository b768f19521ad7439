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

/// Wins, renews and gives up the leases on pools. Any node may own any pool;
/// the store's conditions decide between those that try.
class PoolLeaseManager : public std::enable_shared_from_this<PoolLeaseManager> {
public:
  using AcquiredCallback = std::function<void(const PoolTenure &)>;
  using RenewedCallback =
      std::function<void(const std::string &Pool, TimePoint End)>;
  using LostCallback = std::function<void(const std::string &Pool)>;

  /// \param Process tells this process from earlier ones of the node.
  PoolLeaseManager(const SchedulingSettings &Settings, std::string Process,
                   IStore &Store, const IClock &Clock, ILogger &Logger,
                   AcquiredCallback OnAcquired, RenewedCallback OnRenewed,
                   LostCallback OnLost);

  /// Sets the pools that need an owner.
  void setPools(const std::vector<std::string> &Pools);
  /// Takes in the row of a pool's owner.
  void onOwnerRow(const std::string &Pool, const StoreRow &Row);
  /// Takes in what a node tells of itself.
  void onNodeRow(const std::string &Node, const NodeRow &Row) {
    Nodes_[Node] = Row;
  }
  /// Tells that the control table has been read, so that a pool without a row
  /// has no owner.
  void setLoaded() { IsLoaded_ = true; }
  /// Tells whether the rows are read as they are now. While they are not, this
  /// node does not try for pools, and the time for which others go first does
  /// not pass.
  void setViewCurrent(bool IsViewCurrent) { IsViewCurrent_ = IsViewCurrent; }
  /// Wins and renews what is due, and drops leases that have ended.
  void tick();
  /// Gives all pools up, so that others can take them at once.
  void releaseAll();
  /// \returns the token of the pool's owner, or nothing where the pool is not
  /// known to have one now.
  std::optional<FencingToken> currentToken(const std::string &Pool) const;
  /// \returns the number of pools that this node owns or tries for.
  std::size_t ownedOrPendingCount() const;

private:
  struct PoolLease {
    OwnerRow Row_;
    StoreVersion Version_ = 0;
    /// When the row's present version was first seen.
    TimePoint VersionSeenAt_;
    bool IsOwned_ = false;
    bool HasWriteInFlight_ = false;
    FencingToken Token_ = 0;
    TimePoint LeaseEnd_;
    TimePoint NextRenewal_;
    /// When the renewal was sent that is under way or has ended last.
    TimePoint RenewalSent_;
    /// How the last renewal of this tenure that has ended did.
    std::optional<StoreOutcome> RenewalOutcome_;
    /// Since when the pool is known to be free; the clock's start otherwise.
    TimePoint FreeSince_;
    TimePoint NextAttempt_;
    /// Leases that have ended since this node held the pool for long.
    std::uint32_t ExpiredLeases_ = 0;
    /// Renewals of the present tenure.
    std::uint32_t TenureRenewals_ = 0;
    /// When the first attempt was sent that may have won the pool although
    /// its answer is lost.
    std::optional<TimePoint> UnansweredSince_;
    /// End of the previous owner's acts, as of the last attempt to win.
    std::optional<TimePoint> PredecessorEnd_;
  };

  /// \returns whether the store refused the last renewal.
  static bool wasRenewalRefused(const PoolLease &Lease);
  bool isFree(const PoolLease &Lease) const;
  /// \returns when the present owner has stopped acting, if that is earlier
  /// than now for certain.
  std::optional<TimePoint> previousOwnerEnd(const PoolLease &Lease) const;
  std::chrono::milliseconds attemptDelay(const std::string &Pool,
                                         const PoolLease &Lease) const;
  /// \returns whether an attempt to win a pool is under way.
  bool hasAttemptInFlight() const;
  /// \returns by how much this node lets larger ones go first.
  std::chrono::milliseconds sizeDelay() const;
  /// Tells other nodes of this one's size.
  /// \returns whether they know it.
  bool publishNodeSize();
  void tryAcquire(const std::string &Pool, PoolLease &Lease);
  void onAcquireResult(const std::string &Pool, TimePoint Sent,
                       const OwnerRow &NewRow,
                       const StoreTransactionResult &End);
  void beginTenure(const std::string &Pool, PoolLease &Lease, TimePoint Sent,
                   StoreVersion Token);
  void renew(const std::string &Pool, PoolLease &Lease);
  void onRenewal(const std::string &Pool, TimePoint Sent, const OwnerRow &Next,
                 const StoreTransactionResult &End);
  void logRenewal(const std::string &Pool, const PoolLease &Lease,
                  StoreOutcome Outcome);
  /// Tells others that the pool is free.
  void release(const std::string &Pool, const PoolLease &Lease);
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
  bool IsLoaded_ = false;
  bool IsViewCurrent_ = true;
  bool IsReleasing_ = false;
  std::map<std::string, PoolLease> Leases_;
  std::map<std::string, NodeRow> Nodes_;
  bool IsPublishingSize_ = false;
  TimePoint NextSizePublication_;
  std::vector<std::string> Pools_;
};

} // namespace dragonflylock

#endif
