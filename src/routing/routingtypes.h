#ifndef DRAGONFLYLOCK_ROUTING_ROUTINGTYPES_H
#define DRAGONFLYLOCK_ROUTING_ROUTINGTYPES_H

#include "claims/claimtypes.h"
#include "global/iclock.h"
#include "global/socketaddress.h"
#include "routing/routingerrors.h"

#include <cstdint>
#include <string>
#include <variant>

namespace dragonflylock {

/// Number of a request, unique within one entry instance.
using RequestId = std::uint64_t;

/// What a failure answer says of the request.
enum class Outcome {
  /// No byte of the request was offered to an endpoint.
  NotRun,
  /// The request may have run.
  Unknown,
};

/// \returns the value of the outcome header.
const char *nameOf(Outcome Value);

/// What the engine needs to know of a request.
struct RequestHead {
  RequestId Id_ = 0;
  std::string Method_;
  /// Path without query.
  std::string Path_;
  /// Scope and idempotency key; empty where the caller gave none.
  std::string ClaimKey_;
  std::string AttemptId_;
  std::string Fingerprint_;
  /// Bytes of all header fields.
  std::uint64_t HeadSize_ = 0;
  std::uint64_t BodySize_ = 0;
};

/// What was wrong with an endpoint's answer.
enum class AnswerFault { None, Lost, Truncated, Unframed, TooLarge, Timeout };

/// How an offer to an endpoint ended.
struct OfferResult {
  RequestId Id_ = 0;
  std::uint32_t Attempt_ = 0;
  /// Whether any byte of the request may have left this process.
  bool MayHaveBeenSent_ = false;
  AnswerFault Fault_ = AnswerFault::Lost;
  /// The answer's status, where there is no fault.
  int Status_ = 0;
};

/// Tells to send a request to an endpoint.
struct OfferAction {
  RequestId Id_ = 0;
  std::uint32_t Attempt_ = 0;
  std::string Instance_;
  SocketAddress Address_;
  TimePoint Deadline_;
  /// The instance may not be used from this time on.
  TimePoint UsableUntil_ = TimePoint::max();
  bool IsIdempotent_ = false;
  /// Bytes of the answer's body.
  std::uint64_t MaxAnswer_ = 0;
};

/// Tells to relay the endpoint's answer to the caller.
struct RelayAction {
  RequestId Id_ = 0;
};

/// Tells to answer the caller with a failure.
struct FailAction {
  RequestId Id_ = 0;
  RoutingErrc Kind_ = RoutingErrc::AnswerLost;
  Outcome Outcome_ = Outcome::Unknown;
};

/// Tells to obtain the claim of a keyed request.
struct ClaimAction {
  RequestId Id_ = 0;
  ClaimRequest Claim_;
  TimePoint Deadline_;
};

/// Tells to answer the caller with the kept answer of the claim.
struct ReplayAction {
  RequestId Id_ = 0;
};

/// Tells how the request of a claim ended, so that repeats learn it.
struct SettleClaimAction {
  enum class Kind {
    /// Keep the endpoint's answer.
    KeepAnswer,
    /// Record that the answer is lost.
    RecordUnknown,
    /// Remove the claim, since the request was not offered.
    Release,
  };
  RequestId Id_ = 0;
  Kind Kind_ = Kind::Release;
};

using RoutingAction =
    std::variant<OfferAction, RelayAction, FailAction, ClaimAction,
                 ReplayAction, SettleClaimAction>;

} // namespace dragonflylock

#endif
