#ifndef DRAGONFLYLOCK_HTTP_INTERNAL_HEAPTRIMMER_H
#define DRAGONFLYLOCK_HTTP_INTERNAL_HEAPTRIMMER_H

#include "global/iclock.h"

#include <cstddef>

namespace dragonflylock {

/// Decides when freed memory is worth being returned to the operating system.
/// The C library keeps the memory of many small records that a crowd of callers
/// has left behind.
class HeapTrimmer {
public:
  /// Called regularly.
  /// \param HeldBytes what requests hold now.
  /// \returns whether the heap should be trimmed now.
  bool isDue(std::size_t HeldBytes, TimePoint Now);

private:
  /// Highest held bytes since the last trim.
  std::size_t PeakBytes_ = 0;
  /// Whether enough was freed when last asked. The memory itself is freed
  /// somewhat after it was given up.
  bool WasFreed_ = false;
  TimePoint LastTrim_;
};

/// Returns freed memory to the operating system where the C library can.
void trimHeap();

} // namespace dragonflylock

#endif
