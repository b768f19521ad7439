#ifndef DRAGONFLYLOCK_GLOBAL_REQUESTLIMITS_H
#define DRAGONFLYLOCK_GLOBAL_REQUESTLIMITS_H

#include <chrono>
#include <cstddef>

namespace dragonflylock {

/// What a server accepts of one request. The defaults are above those that
/// deployments document for their callers.
struct RequestLimits {
  /// Bytes of the head, with empty lines before it and trailing fields after
  /// the body. The parser accepts no more than the default.
  std::size_t MaxHeadBytes_ = 80U << 10U;
  /// Bytes of the body without its encoding.
  std::size_t MaxBodyBytes_ = 1U << 20U;
  /// Time from the first byte of a head to its end.
  std::chrono::milliseconds HeadTimeout_{10'000};
  /// Time without a byte, between requests or within a body.
  std::chrono::milliseconds IdleTimeout_{60'000};
};

} // namespace dragonflylock

#endif
