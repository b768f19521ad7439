#ifndef DRAGONFLYLOCK_LIMITS_GRANTPOLICY_H
#define DRAGONFLYLOCK_LIMITS_GRANTPOLICY_H

#include "global/resources.h"
#include "limits/grantrow.h"

#include <optional>
#include <string>

namespace dragonflylock {

/// What one pool uses and needs for a customer.
struct PoolDemand {
  /// What the pool runs for the customer, including runs that may be left over
  /// from previous owners.
  Resources Running_;
  /// Highest use of about the last 0.1 s, 1 s and 10 s.
  Resources RecentPeak_;
  Resources SteadyPeak_;
  Resources LongPeak_;
  /// The start that was refused last and is still wanted.
  std::optional<Resources> Refused_;
  /// The largest task of Refused_; differs from it for a gang.
  Resources RefusedTask_;
  /// Amount beyond Running_ to ask for; at least what was refused.
  Resources Step_;
  /// Whether the pool has left enough time for pools that asked before it.
  bool HasDeferred_ = false;
  /// Whether the grant was raised so recently that the pool may not have used
  /// it yet.
  bool HasTurn_ = false;
};

/// What a pool does about its grant.
struct GrantDecision {
  /// The row to write, if it has to change.
  std::optional<GrantRow> Next_;
  /// Up to which amount the pool may use its grant, where other pools have less
  /// than their share and wait.
  std::optional<Resources> Ceiling_;
  /// Whether another pool asks for more than is unallocated, or the grants sum
  /// to more than the limit. What the pool stops using is then given back.
  bool MustFollowUse_ = false;
  /// Whether the pool leaves what is unallocated to pools that asked before it.
  bool IsDeferred_ = false;
  /// Whether a start waits for the limit: no grant for it is possible now.
  bool IsAtLimit_ = false;
};

/// Decides how a customer's limit is divided among the pools. Each pool holds a
/// grant for what it uses and a little more; most of the limit stays
/// unallocated, since the demand of pools peaks in turn.
///
/// The sum of the grants exceeds the limit in two cases only:
/// - A pool records what it runs already. That happens when the limit was
///   lowered or introduced, or when the row was lost.
/// - This pool runs, and the others hold, less than half of the limit together,
///   and the next task does not fit into the rest. It gets a grant, so that
///   every task can start at some time; the excess is less than this task. A
///   gang may exceed the limit by one of its tasks.
class GrantPolicy {
public:
  /// \param Pool the pool that decides.
  /// \param Token the token of its owner.
  /// \param Row the grants; Limit_ is the limit in force.
  static GrantDecision decide(const std::string &Pool, FencingToken Token,
                              const GrantRow &Row, const PoolDemand &Demand);
  /// \returns whether decide() would change nothing, provided that it did not
  /// when the row was last changed and that no other pool waits. Unlike
  /// decide(), it does not look at the other pools.
  static bool isSettled(const Resources &Limit, const PoolGrant &Own,
                        const PoolDemand &Demand);
  /// \param Held the confirmed grant of the pool.
  /// \param Sum sum of the grants of all pools.
  /// \param Largest the largest task of what would start.
  /// \returns whether a start keeps the customer within its limit.
  static bool mayStart(const Resources &Limit, const Resources &Held,
                       const Resources &Sum, const Resources &Running,
                       const Resources &Needed, const Resources &Largest);
  /// \returns whether a start could stay within the limit if nothing else ran.
  static bool isPossible(const Resources &Limit, const Resources &Needed,
                         const Resources &Largest);
  /// \returns the amount beyond its use that a pool asks for at first.
  static Resources firstStep(const Resources &Limit, const Resources &Refused);
};

} // namespace dragonflylock

#endif
