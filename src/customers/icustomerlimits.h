#ifndef DRAGONFLYLOCK_CUSTOMERS_ICUSTOMERLIMITS_H
#define DRAGONFLYLOCK_CUSTOMERS_ICUSTOMERLIMITS_H

#include "global/resources.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace dragonflylock {

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
  /// Called before each start of a gang, whose tasks start together or not at
  /// all.
  /// \param Running as in mayStart().
  /// \param PerTask what the start of one task adds.
  /// \param Tasks number of tasks to start.
  /// \returns whether the start stays within the customer's limit.
  virtual bool mayStartGang(const std::string &Customer,
                            const Resources &Running, const Resources &PerTask,
                            std::size_t Tasks) {
    return mayStart(Customer, Running, times(PerTask, Tasks));
  }
  /// Tells for planning whether work could start, without asking for it: a
  /// call has no effect on later decisions.
  /// \param Running what the customer would run in the pool before.
  /// \param Needed what would start in addition.
  virtual bool hasRoom(const std::string &Customer, const Resources &Running,
                       const Resources &Needed) {
    return mayStart(Customer, Running, Needed);
  }

protected:
  /// \returns what \p Tasks tasks need together.
  static Resources times(const Resources &PerTask, std::size_t Tasks) {
    const auto Count = static_cast<std::int64_t>(Tasks);
    return {PerTask.CpuMillis_ * Count, PerTask.MemoryMb_ * Count,
            PerTask.Gpus_ * Count};
  }
};

} // namespace dragonflylock

#endif
