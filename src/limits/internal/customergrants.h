#ifndef DRAGONFLYLOCK_LIMITS_INTERNAL_CUSTOMERGRANTS_H
#define DRAGONFLYLOCK_LIMITS_INTERNAL_CUSTOMERGRANTS_H

#include "global/iclock.h"
#include "global/resources.h"
#include "limits/grantrow.h"
#include "scheduling/storetypes.h"

#include <optional>
#include <string>

namespace dragonflylock {

class ILogger;

/// The newest row of grants of a customer that this node knows, and the limit
/// that applies. The row is decoded when it is first needed, since most nodes
/// need few of the rows that they receive.
class CustomerGrants {
public:
  CustomerGrants(std::string Customer, const IClock &Clock, ILogger &Logger)
      : Customer_(std::move(Customer)), Clock_(Clock), Logger_(Logger) {}

  const std::string &customer() const { return Customer_; }
  /// Applies a row that was read, unless a newer one is known.
  void onRow(const StoreRow &Row);
  /// Called when the store has shown that there is no row.
  /// \param Expected the version that a write expected when that was found.
  void onAbsent(StoreVersion Expected);
  /// Called when this node has written the row.
  void onWritten(const GrantRow &Row, StoreVersion Version);

  /// Sets the limit of the configuration in force.
  /// \param Limit std::nullopt if the configuration does not hold the customer.
  void setConfigured(const std::optional<Resources> &Limit,
                     std::uint64_t ConfigurationVersion);
  /// \returns the limit in force, or null if there is none. A row that was
  /// written under a newer configuration takes precedence.
  const Resources *limit();

  const GrantRow &row();
  /// \returns the sum of all grants.
  const Resources &sum();
  /// \returns the grant of the pool, or null.
  const PoolGrant *grantOf(const std::string &Pool);
  /// \returns the row to change: with the limit and the configuration in force.
  GrantRow rowToChange();
  /// \returns the version to expect in a conditional write. It differs after
  /// each change of the row.
  StoreVersion version() const { return Version_; }
  /// \returns whether the row was replaced by something unreadable so recently
  /// that owners may not have recorded yet what they run.
  bool isRecovering() const { return Clock_.now() < RecoveredAt_; }

  /// Whether a write of this node has not been answered.
  bool IsWriting_ = false;

private:
  void decode();
  void setRow(GrantRow Row);

  std::string Customer_;
  const IClock &Clock_;
  ILogger &Logger_;
  std::optional<Resources> Configured_;
  std::uint64_t ConfigurationVersion_ = 0;
  /// Raw bytes that have not been decoded.
  std::optional<std::string> Raw_;
  GrantRow Row_;
  Resources Sum_;
  /// Version of the row; 0 if there is none.
  StoreVersion Version_ = 0;
  /// Newest version that was read, including that of a removal.
  StoreVersion ReadVersion_ = 0;
  TimePoint RecoveredAt_;
};

} // namespace dragonflylock

#endif
