#include "routing/routingerrors.h"
#include "global/errorcategory.h"

namespace dragonflylock {
namespace {

struct Description {
  const char *Name_;
  const char *Remedy_;
};

Description describe(RoutingErrc Kind) {
  switch (Kind) {
  case RoutingErrc::NoConfiguration:
    return {"no-configuration", "retry when /readyz answers 200"};
  case RoutingErrc::NoRoute:
    return {"no-route", "correct the path or add a route to a pool"};
  case RoutingErrc::HeadTooLarge:
    return {"head-too-large", "send fewer header fields or raise max-head"};
  case RoutingErrc::BodyTooLarge:
    return {"body-too-large", "send a smaller body or raise max-body"};
  case RoutingErrc::QueueFull:
    return {"queue-full", "retry after the time in Retry-After"};
  case RoutingErrc::RingFull:
    return {"ring-full", "retry after the time in Retry-After"};
  case RoutingErrc::ShuttingDown:
    return {"shutting-down", "retry at another entry instance"};
  case RoutingErrc::DeadlineBeforeOffer:
    return {"deadline-before-offer", "retry, or raise the pool's deadline"};
  case RoutingErrc::DeadlineAfterOffer:
    return {"deadline-after-offer",
            "repeat with the same Idempotency-Key, or ask the endpoint "
            "whether the request ran"};
  case RoutingErrc::ConnectFailed:
    return {"connect-failed", "retry; see `dragonflylock instance list`"};
  case RoutingErrc::AnswerLost:
    return {"answer-lost",
            "repeat with the same Idempotency-Key, or ask the endpoint "
            "whether the request ran"};
  case RoutingErrc::AnswerTruncated:
    return {"answer-truncated",
            "repeat with the same Idempotency-Key, or ask the endpoint "
            "whether the request ran"};
  case RoutingErrc::AnswerUnframed:
    return {"answer-unframed",
            "have the endpoint state Content-Length or use chunked encoding"};
  case RoutingErrc::AnswerTooLarge:
    return {"answer-too-large", "request a smaller answer or raise max-answer"};
  case RoutingErrc::ClaimUnavailable:
    return {"claim-unavailable", "retry with the same Idempotency-Key"};
  case RoutingErrc::KeyReused:
    return {"key-reused", "use a new Idempotency-Key for a new request"};
  case RoutingErrc::EarlierAttemptUnknown:
    return {"earlier-attempt-unknown",
            "ask the endpoint whether the earlier request ran"};
  }
  return {"unknown-routing-error",
          "report this error as a defect of dragonflylock"};
}

const char *nameOf(int Kind) {
  return describe(static_cast<RoutingErrc>(Kind)).Name_;
}

} // namespace

std::error_code make_error_code(RoutingErrc Kind) {
  static const ErrorCategory Category("routing", nameOf);
  return {static_cast<int>(Kind), Category};
}

const char *remedyFor(RoutingErrc Kind) { return describe(Kind).Remedy_; }

} // namespace dragonflylock
