#ifndef DRAGONFLYLOCK_SCHEDULING_MACHINETYPES_H
#define DRAGONFLYLOCK_SCHEDULING_MACHINETYPES_H

#include "scheduling/schedulingtypes.h"

#include <string>
#include <vector>

namespace dragonflylock {

/// State of a machine as the platform reports it.
enum class MachineState { Up, Moving, Maintained, Down };

/// A machine as the platform lists it.
struct Machine {
  std::string Name_;
  std::string Pool_;
  MachineState State_ = MachineState::Down;
  std::string Zone_;
  Resources Capacity_;
  /// Id of the worker that runs on the machine; empty for none.
  std::string Worker_;
};

/// All machines, or an invalid list if it could not be read.
struct MachineList {
  bool IsValid_ = false;
  std::vector<Machine> Machines_;
};

/// The target, the ordering node and the fencing token of an order.
struct MachineOrder {
  std::string Machine_;
  std::string Holder_;
  FencingToken Token_ = 0;
};

/// The platform's response to an order.
enum class MachineOutcome {
  Accepted,
  /// Nothing was done.
  NotDone,
  /// The machine is not up or is leaving.
  Busy,
  /// The machine is not part of the wave, or the order is outdated.
  Refused,
  /// No response; the order may have been executed.
  Unknown,
};

} // namespace dragonflylock

#endif
