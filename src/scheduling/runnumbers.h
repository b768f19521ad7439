#ifndef DRAGONFLYLOCK_SCHEDULING_RUNNUMBERS_H
#define DRAGONFLYLOCK_SCHEDULING_RUNNUMBERS_H

#include "scheduling/schedulingtypes.h"

#include <cstdint>

/// Ranges of run numbers. The owners of a pool reserve them one after the other
/// in the row of the pool's lease, so that a later owner uses higher run
/// numbers without a stored record of every start.
namespace dragonflylock::runnumbers {

/// Numbers in a range. Owners of earlier versions reserve one range of this
/// size each.
inline constexpr RunNumber RangeSize = 10000;

/// \returns the highest number below the range.
constexpr RunNumber baseOf(std::uint64_t Range) { return Range * RangeSize; }
/// \returns the highest number of the range.
constexpr RunNumber lastOf(std::uint64_t Range) { return baseOf(Range + 1); }
/// \returns the range of a number, which is at least 1.
constexpr std::uint64_t rangeOf(RunNumber Number) {
  return (Number - 1) / RangeSize;
}

} // namespace dragonflylock::runnumbers

#endif
