#ifndef DRAGONFLYLOCK_GLOBAL_RESOURCES_H
#define DRAGONFLYLOCK_GLOBAL_RESOURCES_H

#include <cstdint>

namespace dragonflylock {

/// Resources that a task requires or that a worker has.
struct Resources {
  /// Thousandths of a core.
  std::int64_t CpuMillis_ = 0;
  std::int64_t MemoryMb_ = 0;
  std::int64_t Gpus_ = 0;

  bool operator==(const Resources &) const = default;
  /// \returns whether \p Wanted fits into these resources.
  bool canFit(const Resources &Wanted) const;
  Resources &operator+=(const Resources &Other);
  Resources &operator-=(const Resources &Other);
};

} // namespace dragonflylock

#endif
