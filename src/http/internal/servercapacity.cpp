#include "http/servercapacity.h"

#include <sys/resource.h>

#include <algorithm>

namespace dragonflylock {
namespace {

constexpr std::uint64_t Megabyte = 1U << 20U;
/// Part of the memory of a process that requests may use. On the smallest
/// machines (160 MB) it allows 20 MB.
constexpr std::uint64_t MemoryShare = 8;
/// Leaves room for a body of the largest documented size in one-byte chunks.
constexpr std::uint64_t MinRequestBytes = 12 * Megabyte;
constexpr std::uint64_t MaxRequestBytes = 32 * Megabyte;
constexpr std::size_t InternalRequestBytes = 2 * Megabyte;
/// Ports for probes, metrics and operators; a process has at most two.
constexpr std::size_t InternalPorts = 2;
constexpr std::size_t InternalConnections = 32;
/// Descriptors of a process that are reserved for files.
constexpr std::uint64_t FileDescriptors = 200;
/// Descriptors assumed where neither the settings nor the system limit them.
constexpr std::uint64_t DefaultDescriptors = 4096;
constexpr std::size_t MinConnections = 16;

std::uint64_t systemDescriptors() {
  rlimit Limit{};
  if (getrlimit(RLIMIT_NOFILE, &Limit) != 0 || Limit.rlim_cur == RLIM_INFINITY)
    return DefaultDescriptors;
  return Limit.rlim_cur;
}

} // namespace

ServerCapacity ServerCapacity::ofCallers(std::uint64_t MemoryMb,
                                         std::uint64_t Descriptors) {
  std::uint64_t Bytes = MaxRequestBytes;
  if (MemoryMb > 0)
    Bytes =
        std::clamp(std::min(MemoryMb, MaxRequestBytes) * Megabyte / MemoryShare,
                   MinRequestBytes, MaxRequestBytes);
  const std::uint64_t Usable = std::min(
      Descriptors > 0 ? Descriptors : DefaultDescriptors, systemDescriptors());
  const std::uint64_t Reserved = std::min(FileDescriptors, Usable / 2);
  ServerCapacity Capacity;
  Capacity.RequestBytes_ = Bytes - InternalPorts * InternalRequestBytes;
  Capacity.Connections_ =
      std::max<std::uint64_t>((Usable - Reserved) / 2, MinConnections);
  return Capacity;
}

ServerCapacity ServerCapacity::internal() {
  return {InternalRequestBytes, InternalConnections};
}

} // namespace dragonflylock
