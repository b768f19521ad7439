#ifndef DRAGONFLYLOCK_HTTP_INTERNAL_SHEDCAUSE_H
#define DRAGONFLYLOCK_HTTP_INTERNAL_SHEDCAUSE_H

#include <cstddef>

namespace dragonflylock {

/// Why a server closed a connection of its own accord.
enum class ShedCause {
  /// The unfinished requests hold too much memory.
  Memory,
  /// Too many connections are open.
  Connections,
  HeadTooLarge,
  BodyTooLarge,
  /// A head took too long.
  HeadTime,
  /// No byte of a body arrived for too long, or the request took too long.
  BodyTime,
};

inline constexpr std::size_t ShedCauses = 6;

/// \returns the name in the log.
constexpr const char *nameOf(ShedCause Cause) {
  switch (Cause) {
  case ShedCause::Memory:
    return "memory";
  case ShedCause::Connections:
    return "connections";
  case ShedCause::HeadTooLarge:
    return "head-too-large";
  case ShedCause::BodyTooLarge:
    return "body-too-large";
  case ShedCause::HeadTime:
    return "head-time";
  case ShedCause::BodyTime:
    return "body-time";
  }
  return "";
}

} // namespace dragonflylock

#endif
