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

/// Identifies a request; unique within one entry instance.
using RequestId = std::uint64_t;

/// What a failure answer tells the caller about the request.
enum class Outcome {
  /// No byte of the request was sent to an endpoint.
  NotRun,
  /// The request may have run.
  Unknown,
};

/// \returns the value of the outcome header.
const char *nameOf(Outcome Value);

/// The properties of a request that the engine uses.
struct RequestHead {
  RequestId Id_ = 0;
  std::string Method_;
  /// Path without query.
  std::string Path_;
  /// Scope and idempotency key; empty if the caller gave no key.
  std::string ClaimKey_;
  std::string AttemptId_;
  std::string Fingerprint_;
  /// Size of all header fields in bytes.
  std::uint64_t HeadSize_ = 0;
  /// Size of the body in bytes.
  std::uint64_t BodySize_ = 0;
};

/// What was wrong with an endpoint's answer.
enum class AnswerFault { None, Lost, Truncated, Unframed, TooLarge, Timeout };

/// Result of an offer, which is one attempt to send a request to an endpoint.
struct OfferResult {
  RequestId Id_ = 0;
  std::uint32_t Attempt_ = 0;
  /// Whether any byte of the request may have left this process.
  bool MayHaveBeenSent_ = false;
  AnswerFault Fault_ = AnswerFault::Lost;
  /// HTTP status of the answer, if there is no fault.
  int Status_ = 0;
};

/// Offers a request to an endpoint.
struct OfferAction {
  RequestId Id_ = 0;
  std::uint32_t Attempt_ = 0;
  std::string Instance_;
  SocketAddress Address_;
  TimePoint Deadline_;
  /// The instance must not be used from this time on.
  TimePoint UsableUntil_ = TimePoint::max();
  bool IsIdempotent_ = false;
  /// Maximum size of the answer's body in bytes.
  std::uint64_t MaxAnswer_ = 0;
};

/// Relays the endpoint's answer to the caller.
struct RelayAction {
  RequestId Id_ = 0;
};

/// Answers the caller with a failure.
struct FailAction {
  RequestId Id_ = 0;
  RoutingErrc Kind_ = RoutingErrc::AnswerLost;
  Outcome Outcome_ = Outcome::Unknown;
};

/// Obtains the claim of a request with an idempotency key.
struct ClaimAction {
  RequestId Id_ = 0;
  ClaimRequest Claim_;
  TimePoint Deadline_;
};

/// Answers the caller with the answer that is stored with the claim.
struct ReplayAction {
  RequestId Id_ = 0;
};

/// Records how a claimed request ended, so that repeats of the request get
/// the same result.
struct SettleClaimAction {
  enum class Kind {
    /// Stores the endpoint's answer with the claim.
    KeepAnswer,
    /// Records that the answer is lost.
    RecordUnknown,
    /// Removes the claim, since no byte of the request was sent.
    Release,
  };
  RequestId Id_ = 0;
  Kind Kind_ = Kind::Release;
};

/// What the caller of RequestEngine has to do next.
using RoutingAction =
    std::variant<OfferAction, RelayAction, FailAction, ClaimAction,
                 ReplayAction, SettleClaimAction>;

} // namespace dragonflylock

#endif
