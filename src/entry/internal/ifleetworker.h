#ifndef DRAGONFLYLOCK_ENTRY_INTERNAL_IFLEETWORKER_H
#define DRAGONFLYLOCK_ENTRY_INTERNAL_IFLEETWORKER_H

#include "entry/entrytypes.h"

namespace dragonflylock {

/// Takes in work for the thread that steers the fleet.
class IFleetWorker {
public:
  virtual ~IFleetWorker() = default;
  /// \returns whether the acknowledgement was taken in.
  virtual bool acknowledge(Acknowledgement Quiet) = 0;
};

} // namespace dragonflylock

#endif
