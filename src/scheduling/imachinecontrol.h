#ifndef DRAGONFLYLOCK_SCHEDULING_IMACHINECONTROL_H
#define DRAGONFLYLOCK_SCHEDULING_IMACHINECONTROL_H

#include "scheduling/machinetypes.h"

#include <functional>
#include <string>

namespace dragonflylock {

/// Access to the platform's machines. Every callback runs on the decision
/// thread.
class IMachineControl {
public:
  using ListDone = std::function<void(const MachineList &)>;
  using OrderDone = std::function<void(MachineOutcome)>;
  using ReportDone = std::function<void(bool IsStored)>;

  virtual ~IMachineControl() = default;
  virtual void list(ListDone Done) = 0;
  /// Takes a machine down for its maintenance in a wave.
  virtual void maintain(const MachineOrder &Order, std::uint64_t Wave,
                        OrderDone Done) = 0;
  /// Moves a machine to another pool.
  virtual void move(const MachineOrder &Order, const std::string &Pool,
                    OrderDone Done) = 0;
  /// Reports a wave's progress to the operators.
  virtual void reportWave(std::uint64_t Wave, bool IsCompleted,
                          ReportDone Done) = 0;
};

} // namespace dragonflylock

#endif
