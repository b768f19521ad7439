#ifndef DRAGONFLYLOCK_CUSTOMERS_ICUSTOMERLIMITS_H
#define DRAGONFLYLOCK_CUSTOMERS_ICUSTOMERLIMITS_H

#include <string>

namespace dragonflylock {

struct Resources;

/// Limits on what customers may run, as the owner of one pool sees them.
class ICustomerLimits {
public:
  virtual ~ICustomerLimits() = default;
  /// Called before each start of a task.
  /// \param Customer its name; empty for a job of a public queue.
  /// \param Running what the customer runs in the pool, including runs that are
  ///   being started or stopped and those that may be left over from previous
  ///   owners.
  /// \param Needed what the start adds.
  /// \returns whether the start stays within the customer's limit.
  virtual bool mayStart(const std::string &Customer, const Resources &Running,
                        const Resources &Needed) = 0;
};

} // namespace dragonflylock

#endif
