#ifndef DRAGONFLYLOCK_CLAIMS_CLAIMTYPES_H
#define DRAGONFLYLOCK_CLAIMS_CLAIMTYPES_H

#include "http/httptypes.h"

#include <cstdint>
#include <string>

namespace dragonflylock {

/// How far the request of a claim has come.
enum class ClaimPhase {
  /// Its holder may still offer the request, or has offered it.
  Claimed,
  /// Its answer is kept.
  Answered,
  /// It was offered and its answer was lost for good.
  Unknown,
};

/// The row that lets a keyed request run at most once.
struct ClaimRecord {
  ClaimPhase Phase_ = ClaimPhase::Claimed;
  /// Identifies the one attempt that may offer the request.
  std::string AttemptId_;
  /// Digest of method, target and body.
  std::string Fingerprint_;
  /// Calendar time in milliseconds since 1970, for the removal of old rows.
  std::int64_t CreatedMs_ = 0;
  /// The kept answer, where the phase is Answered.
  HttpAnswer Answer_;
};

/// Asks for the right to offer a keyed request.
struct ClaimRequest {
  /// Row key: scope and idempotency key.
  std::string Key_;
  std::string AttemptId_;
  std::string Fingerprint_;
};

/// How an attempt to claim ended.
enum class ClaimOutcome {
  /// This attempt alone may offer the request.
  Granted,
  /// The request has run; its answer is kept.
  ResponseStored,
  /// The key belongs to another request.
  KeyReused,
  /// Another attempt holds the claim, or its answer was lost.
  Unknown,
  /// The table service did not record the claim in time; this attempt will
  /// not offer the request.
  Unavailable,
};

} // namespace dragonflylock

#endif
