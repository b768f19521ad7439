#ifndef DRAGONFLYLOCK_HTTP_SERVERCAPACITY_H
#define DRAGONFLYLOCK_HTTP_SERVERCAPACITY_H

#include <cstddef>
#include <cstdint>
#include <limits>

namespace dragonflylock {

/// What all connections of a server may use together.
struct ServerCapacity {
  /// Bytes that the parser holds for all requests without an answer.
  std::size_t RequestBytes_ = std::numeric_limits<std::size_t>::max();
  std::size_t Connections_ = std::numeric_limits<std::size_t>::max();

  /// \returns the capacity for the callers of a process, and of its other
  ///   ports with internal().
  /// \param MemoryMb memory of the process in MB; 0 if not known.
  /// \param Descriptors of the process; 0 if not known.
  static ServerCapacity ofCallers(std::uint64_t MemoryMb,
                                  std::uint64_t Descriptors);
  /// \returns the capacity of a port for operators or probes, which is taken
  ///   from the budget that ofCallers() divides.
  static ServerCapacity internal();
};

} // namespace dragonflylock

#endif
