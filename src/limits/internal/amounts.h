#ifndef DRAGONFLYLOCK_LIMITS_INTERNAL_AMOUNTS_H
#define DRAGONFLYLOCK_LIMITS_INTERNAL_AMOUNTS_H

#include "global/resources.h"

#include <algorithm>
#include <cstdint>

/// Arithmetic on each resource separately.
namespace dragonflylock::amounts {

template <typename Function>
Resources combine(const Resources &Left, const Resources &Right,
                  Function Each) {
  return {Each(Left.CpuMillis_, Right.CpuMillis_),
          Each(Left.MemoryMb_, Right.MemoryMb_), Each(Left.Gpus_, Right.Gpus_)};
}

inline Resources minOf(const Resources &Left, const Resources &Right) {
  return combine(Left, Right, [](std::int64_t Each, std::int64_t Other) {
    return std::min(Each, Other);
  });
}

inline Resources maxOf(const Resources &Left, const Resources &Right) {
  return combine(Left, Right, [](std::int64_t Each, std::int64_t Other) {
    return std::max(Each, Other);
  });
}

inline Resources plus(Resources Left, const Resources &Right) {
  Left += Right;
  return Left;
}

/// \returns the difference, or 0 where it is negative.
inline Resources minus(const Resources &Left, const Resources &Right) {
  return combine(Left, Right, [](std::int64_t Each, std::int64_t Other) {
    return std::max<std::int64_t>(Each - Other, 0);
  });
}

inline Resources dividedBy(const Resources &Amount, std::int64_t Divisor) {
  return {Amount.CpuMillis_ / Divisor, Amount.MemoryMb_ / Divisor,
          Amount.Gpus_ / Divisor};
}

/// \returns \p Amount, or 0 in the resources that \p Limit does not limit.
inline Resources limitedPart(const Resources &Amount, const Resources &Limit) {
  return combine(Amount, Limit, [](std::int64_t Each, std::int64_t Most) {
    return Most > 0 ? Each : 0;
  });
}

inline bool isNone(const Resources &Amount) { return Amount == Resources(); }

/// \returns whether \p Amount is below half of \p Limit in each resource that
/// is limited.
inline bool isBelowHalf(const Resources &Amount, const Resources &Limit) {
  auto IsBelow = [](std::int64_t Each, std::int64_t Most) {
    return Most <= 0 || Each < (Most + 1) / 2;
  };
  return IsBelow(Amount.CpuMillis_, Limit.CpuMillis_) &&
         IsBelow(Amount.MemoryMb_, Limit.MemoryMb_) &&
         IsBelow(Amount.Gpus_, Limit.Gpus_);
}

} // namespace dragonflylock::amounts

#endif
