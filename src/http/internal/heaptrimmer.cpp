#include "http/internal/heaptrimmer.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include <malloc.h>

namespace dragonflylock {
namespace {

/// Less than this is not worth the search of the heap.
constexpr std::size_t MinFreedBytes = 4U << 20U;
/// A trim takes milliseconds, during which no thread can allocate.
constexpr std::chrono::seconds TrimInterval{2};

} // namespace

bool HeapTrimmer::isDue(std::size_t HeldBytes, TimePoint Now) {
  PeakBytes_ = std::max(PeakBytes_, HeldBytes);
  const bool WasFreed =
      std::exchange(WasFreed_, PeakBytes_ - HeldBytes >= MinFreedBytes);
  if (!WasFreed || !WasFreed_ || Now - LastTrim_ < TrimInterval)
    return false;
  LastTrim_ = Now;
  PeakBytes_ = HeldBytes;
  WasFreed_ = false;
  return true;
}

void trimHeap() {
#ifdef __GLIBC__
  malloc_trim(0);
#endif
}

} // namespace dragonflylock
