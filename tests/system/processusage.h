#ifndef DRAGONFLYLOCK_TESTS_SYSTEM_PROCESSUSAGE_H
#define DRAGONFLYLOCK_TESTS_SYSTEM_PROCESSUSAGE_H

#include <sys/types.h>

#include <cstddef>

namespace dragonflylock {

/// What a process uses of its machine, as the kernel reports it.
struct ProcessUsage {
  /// Resident memory in bytes; 0 if the process has ended.
  std::size_t ResidentBytes_ = 0;
  /// Highest resident memory so far, in bytes.
  std::size_t PeakResidentBytes_ = 0;
  std::size_t Descriptors_ = 0;

  static ProcessUsage of(pid_t Process);
};

} // namespace dragonflylock

#endif
