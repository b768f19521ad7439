#ifndef DRAGONFLYLOCK_CLAIMS_CLAIMTYPES_H
#define DRAGONFLYLOCK_CLAIMS_CLAIMTYPES_H

#include "http/httptypes.h"

#include <cstdint>
#include <string>

namespace dragonflylock {

/// State of the request that a claim protects.
enum class ClaimPhase {
  /// The holder may still offer the request, or has offered it.
  Claimed,
  /// The response is stored in the claim's row.
  Answered,
  /// The request was offered, and its response is lost permanently.
  Unknown,
};

/// The table row that ensures that a request with an idempotency key runs at
/// most once.
struct ClaimRecord {
  ClaimPhase Phase_ = ClaimPhase::Claimed;
  /// ID of the only attempt that may offer the request.
  std::string AttemptId_;
  /// Digest of the request's method, target and body.
  std::string Fingerprint_;
  /// Wall-clock time at which the row was written, in milliseconds since the
  /// Unix epoch; used to remove old rows.
  std::int64_t CreatedMs_ = 0;
  /// The stored response if the phase is Answered.
  HttpAnswer Answer_;
};

/// Identifies a claim to be obtained and the attempt that wants it.
struct ClaimRequest {
  /// Row key, made of the scope and the idempotency key.
  std::string Key_;
  std::string AttemptId_;
  std::string Fingerprint_;
};

/// Outcome of an attempt to obtain a claim.
enum class ClaimOutcome {
  /// Only this attempt may offer the request.
  Granted,
  /// An earlier attempt ran the request, and its response is stored.
  ResponseStored,
  /// The key was used before for a request with another fingerprint.
  KeyReused,
  /// Another attempt still held the claim when this one ended, or the response
  /// to the other attempt was lost.
  Unknown,
  /// The table service did not confirm the claim in time; this attempt will
  /// not offer the request.
  Unavailable,
};

} // namespace dragonflylock

#endif
