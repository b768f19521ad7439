#ifndef DRAGONFLYLOCK_ENTRY_INTERNAL_ICLAIMWORKER_H
#define DRAGONFLYLOCK_ENTRY_INTERNAL_ICLAIMWORKER_H

#include "entry/entrytypes.h"

namespace dragonflylock {

/// Takes in work for the thread that keeps claims.
class IClaimWorker {
public:
  virtual ~IClaimWorker() = default;
  /// \returns whether the work was taken in.
  virtual bool submit(ClaimWork Work) = 0;
};

} // namespace dragonflylock

#endif
