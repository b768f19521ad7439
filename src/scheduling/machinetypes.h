#ifndef DRAGONFLYLOCK_SCHEDULING_MACHINETYPES_H
#define DRAGONFLYLOCK_SCHEDULING_MACHINETYPES_H

#include "scheduling/schedulingtypes.h"

#include <string>
#include <vector>

namespace dragonflylock {

/// What a machine is doing.
enum class MachineState { Up, Moving, Maintained, Down };

/// A machine as the platform lists it.
struct Machine {
  std::string Name_;
  std::string Pool_;
  MachineState State_ = MachineState::Down;
  std::string Zone_;
  Resources Capacity_;
  /// Id of the worker that runs on it; empty for none.
  std::string Worker_;
};

/// All machines, or nothing where the list could not be read.
struct MachineList {
  bool IsValid_ = false;
  std::vector<Machine> Machines_;
};

/// Who orders an act on which machine, under which fencing token.
struct MachineOrder {
  std::string Machine_;
  std::string Holder_;
  FencingToken Token_ = 0;
};

/// How the platform answered an order.
enum class MachineOutcome {
  Accepted,
  /// Nothing was done.
  NotDone,
  /// The machine is not up or is leaving.
  Busy,
  /// The machine is not of the wave, or the order is out of date.
  Refused,
  /// No answer; the order may have been carried out.
  Unknown,
};

} // namespace dragonflylock

#endif
