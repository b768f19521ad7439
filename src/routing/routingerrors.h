#ifndef DRAGONFLYLOCK_ROUTING_ROUTINGERRORS_H
#define DRAGONFLYLOCK_ROUTING_ROUTINGERRORS_H

#include <system_error>

namespace dragonflylock {

/// Why a request was not answered with an endpoint's answer.
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
  /// The idempotency key was already used for a different request.
  KeyReused,
  /// An earlier request with the same key has no recorded answer, so it is
  /// unknown whether it ran.
  EarlierAttemptUnknown,
};

std::error_code make_error_code(RoutingErrc Kind);

/// \returns advice for the caller on how to resolve \p Kind.
const char *remedyFor(RoutingErrc Kind);

} // namespace dragonflylock

template <>
struct std::is_error_code_enum<dragonflylock::RoutingErrc> : std::true_type {};

#endif
