#ifndef DRAGONFLYLOCK_LIMITS_LIMITLEDGER_H
#define DRAGONFLYLOCK_LIMITS_LIMITLEDGER_H

#include "global/iclock.h"
#include "scheduling/icustomerlimitsregistry.h"
#include "scheduling/schedulingtypes.h"
#include "scheduling/storetypes.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace dragonflylock {

class CustomerGrants;
class ILogger;
class IStore;
class PoolGrants;
struct GrantRow;
struct PoolCustomer;
struct SchedulingSettings;

/// Keeps what customers run over all pools within their limits. Each pool holds
/// a grant, a part of the customer's limit, and its owner starts work only
/// within the grant. All grants of a customer are in one row, which is written
/// on condition of its version. So no message passes when a task starts, and an
/// owner that is cut off from the store goes on within its grants.
///
/// A pool writes at most one row of a customer in MinWriteInterval, and repeats
/// a write at once only if another owner's came first. A customer whose demand
/// does not shift causes no write.
class LimitLedger : public ICustomerLimitsRegistry,
                    public std::enable_shared_from_this<LimitLedger> {
public:
  static constexpr std::chrono::milliseconds MinWriteInterval{100};

  /// \param Settings leases that bound how long a run can outlive its owner.
  /// \param Store must outlive the ledger, like the other references.
  static std::shared_ptr<LimitLedger> create(const SchedulingSettings &Settings,
                                             IStore &Store, const IClock &Clock,
                                             ILogger &Logger);
  ~LimitLedger() override;

  void onControlRow(const StoreRow &Row) override;
  void onConfiguration(const SchedulingConfiguration &Applied) override;
  ICustomerLimits *onPoolAcquired(const std::string &Pool,
                                  FencingToken Token) override;
  void onUsage(const std::string &Pool, const CustomerUsage &Usage,
               bool IsExact) override;
  void onPoolLost(const std::string &Pool) override;
  void tick(TimePoint ProvenAsOf) override;
  std::set<std::string> takeRaisedPools() override;

private:
  /// Last change of the row of a pool's owner.
  struct OwnerChange {
    StoreVersion Version_ = 0;
    TimePoint SeenAt_;
  };

  LimitLedger(const SchedulingSettings &Settings, IStore &Store,
              const IClock &Clock, ILogger &Logger);

  CustomerGrants &grantsOf(const std::string &Customer);
  CustomerGrants *find(const std::string &Customer);
  /// Creates the state of customers whose row has changed and holds something
  /// for a pool of this node.
  void adoptGrants();
  /// Looks at all customers that run, hold or want something in the pool.
  void reviewAll(PoolGrants &Pool);
  void review(PoolGrants &Pool, PoolCustomer &State);
  /// Decides about the pool's grant and writes it if it has to change.
  void decide(PoolGrants &Pool, PoolCustomer &State, const Resources &Limit);
  bool mayWrite(const PoolCustomer &State, const CustomerGrants &Grants) const;
  void write(PoolGrants &Pool, PoolCustomer &State, const GrantRow &Next);
  void onWritten(const std::string &Pool, FencingToken Token,
                 const std::string &Customer, const GrantRow &Next,
                 StoreVersion Expected, const StoreTransactionResult &Result);
  /// Sets when the pool may write again.
  void scheduleRetry(const std::string &Pool, PoolCustomer &State,
                     StoreOutcome Outcome);
  void logReached(const PoolGrants &Pool, PoolCustomer &State);
  void logGranted(const PoolGrants &Pool, const CustomerGrants &Grants,
                  const Resources &Before, const Resources &Now);
  /// \returns whether no run of the pool can exist any more: the pool is not
  /// configured, and its owner's row has not changed for so long that the
  /// owner's lease and the leases of its runs have expired. An owner that
  /// acquires the pool later has to ask for a new grant.
  bool isGone(const std::string &Pool) const;
  /// Removes the grants of pools that are gone.
  void removeGonePools(const std::string &Customer, GrantRow &Row);

  IStore &Store_;
  const IClock &Clock_;
  ILogger &Logger_;
  /// Time without a change of the owner's row after which no run of a pool
  /// exists.
  std::chrono::milliseconds GoneDelay_;
  std::map<std::string, std::unique_ptr<CustomerGrants>> Customers_;
  std::map<std::string, std::unique_ptr<PoolGrants>> Pools_;
  /// Customers whose row or limit has changed.
  std::set<std::string> Changed_;
  std::set<std::string> ConfiguredPools_;
  bool IsConfigured_ = false;
  std::uint64_t ConfigurationVersion_ = 0;
  std::map<std::string, OwnerChange> Owners_;
  /// Earliest time of which this node knows the owners' rows.
  std::optional<TimePoint> KnownSince_;
  TimePoint ProvenAsOf_;
  TimePoint NextReview_;
  std::set<std::string> RaisedPools_;
};

} // namespace dragonflylock

#endif
