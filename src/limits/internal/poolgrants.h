#ifndef DRAGONFLYLOCK_LIMITS_INTERNAL_POOLGRANTS_H
#define DRAGONFLYLOCK_LIMITS_INTERNAL_POOLGRANTS_H

#include "customers/icustomerlimits.h"
#include "global/iclock.h"
#include "global/resources.h"
#include "limits/grantpolicy.h"
#include "limits/internal/usepeak.h"
#include "scheduling/schedulingtypes.h"
#include "scheduling/storetypes.h"

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace dragonflylock {

class CustomerGrants;
class CustomerUsage;

/// What the owner of a pool knows of one customer.
struct PoolCustomer {
  PoolCustomer(CustomerGrants &Grants, TimePoint Now);

  /// A write whose response has not arrived or was lost.
  struct PendingWrite {
    /// Version that the row must have for the write to take effect.
    StoreVersion Expected_ = 0;
    /// Grant of the pool in the written row.
    Resources Held_;
  };

  /// Records what the pool runs.
  void setRunning(TimePoint Now, const Resources &Running);
  /// Counts a new grant as used, so that it is not given back at once.
  void keepUnused(TimePoint Now, const Resources &Held);

  /// \returns the pool's entry in the known row, or null. The entry is looked
  /// up once for each version of the row.
  const PoolGrant *ownGrant(const std::string &Pool);
  /// Forgets the writes that expect another version than the known one.
  void dropSettledWrites();

  CustomerGrants &Grants_;
  Resources Running_;
  UsePeak RecentPeak_;
  UsePeak SteadyPeak_;
  UsePeak LongPeak_;
  std::optional<Resources> Refused_;
  /// Whether a start was refused that can never be within the limit. It asks
  /// for no grant, since that would keep grants from others for good.
  bool WasImpossible_ = false;
  /// The largest task of Refused_.
  Resources RefusedTask_;
  TimePoint RefusedAt_;
  /// Amount beyond the use to ask for next; none before the first request.
  Resources Step_;
  TimePoint StepUntil_;
  std::optional<Resources> Ceiling_;
  bool MustFollowUse_ = false;
  /// Writes that may take effect or may have taken effect. Those that expect
  /// another version than the known one are settled.
  std::vector<PendingWrite> Pending_;
  /// Version of the row for which the last decision was made.
  std::optional<StoreVersion> DecidedAt_;
  /// Earliest time of the next write.
  TimePoint NextWrite_;
  /// Whether a write that found a newer row may be repeated at once.
  bool MayRetry_ = false;
  std::chrono::milliseconds RetryDelay_{0};
  /// Time until which the pool leaves what is unallocated to pools that asked
  /// before it; unset if it does not.
  std::optional<TimePoint> DeferredUntil_;
  /// Time until which the pool need not yield a new grant.
  TimePoint TurnUntil_;
  TimePoint NextReachedLine_;

private:
  std::optional<PoolGrant> Own_;
  /// Version of the row that holds Own_.
  std::optional<StoreVersion> OwnVersion_;
};

/// The limits of customers for one owned pool. The cost of a decision grows
/// with the logarithm of the numbers of customers and pools.
class PoolGrants : public ICustomerLimits {
public:
  /// \returns the grants of the customer, or null if it is not limited.
  using FindCustomer = std::function<CustomerGrants *(const std::string &)>;

  PoolGrants(std::string Pool, FencingToken Token, const IClock &Clock,
             FindCustomer Find)
      : Pool_(std::move(Pool)), Token_(Token), Clock_(Clock),
        Find_(std::move(Find)) {}

  bool mayStart(const std::string &Customer, const Resources &Running,
                const Resources &Needed) override;
  bool mayStartGang(const std::string &Customer, const Resources &Running,
                    const Resources &PerTask, std::size_t Tasks) override;
  bool hasRoom(const std::string &Customer, const Resources &Running,
               const Resources &Needed) override;

  const std::string &pool() const { return Pool_; }
  FencingToken token() const { return Token_; }
  /// \returns the state of a customer, which is created if needed.
  PoolCustomer &stateOf(CustomerGrants &Grants);
  std::map<std::string, PoolCustomer> &customers() { return Customers_; }
  /// Makes takeForReview() return the customer.
  void reviewSoon(const std::string &Customer) { ToReview_.insert(Customer); }
  /// \returns the customers that were refused a start since the last call, or
  /// passed to reviewSoon().
  std::set<std::string> takeForReview();
  /// \returns what the pool's policy needs to know of a customer.
  PoolDemand demandOf(const Resources &Limit, PoolCustomer &State) const;

  /// Usage of the pool's customers; null until its jobs have been loaded.
  const CustomerUsage *Usage_ = nullptr;
  /// Whether Usage_ counts no task of which it is not known whether a previous
  /// owner started it.
  bool IsUsageExact_ = false;

private:
  bool decide(const std::string &Customer, const Resources &Running,
              const Resources &Needed, const Resources &Largest);
  /// \returns the amount that the customer may use in this pool for certain:
  /// the grant that was confirmed under this owner's token, less what a write
  /// without a response may have given back.
  std::optional<Resources> confirmedGrant(PoolCustomer &State) const;

  std::string Pool_;
  FencingToken Token_;
  const IClock &Clock_;
  FindCustomer Find_;
  std::map<std::string, PoolCustomer> Customers_;
  std::set<std::string> ToReview_;
};

} // namespace dragonflylock

#endif
