#ifndef DRAGONFLYLOCK_ROUTING_ROUTINGERRORS_H
#define DRAGONFLYLOCK_ROUTING_ROUTINGERRORS_H

#include <system_error>

namespace dragonflylock {

/// Why a request got no answer from an endpoint.
enum class RoutingErrc {
  NoConfiguration = 1,
  NoRoute,
  HeadTooLarge,
  BodyTooLarge,
  QueueFull,
  RingFull,
  ShuttingDown,
  /// The deadline passed before the request was offered to an endpoint.
  DeadlineBeforeOffer,
  /// The deadline passed after the request was offered to an endpoint.
  DeadlineAfterOffer,
  /// No endpoint accepted a connection.
  ConnectFailed,
  AnswerLost,
  AnswerTruncated,
  AnswerUnframed,
  AnswerTooLarge,
  /// The table service could not record the idempotency key.
  ClaimUnavailable,
  /// The idempotency key was used before with another request.
  KeyReused,
  /// An earlier request with the same key has no recorded answer.
  EarlierAttemptUnknown,
};

/// \returns the error code of \p Kind.
std::error_code make_error_code(RoutingErrc Kind);

/// \returns what the caller can do about \p Kind.
const char *remedyFor(RoutingErrc Kind);

} // namespace dragonflylock

template <>
struct std::is_error_code_enum<dragonflylock::RoutingErrc> : std::true_type {};

#endif
