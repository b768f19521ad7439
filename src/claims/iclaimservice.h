#ifndef DRAGONFLYLOCK_CLAIMS_ICLAIMSERVICE_H
#define DRAGONFLYLOCK_CLAIMS_ICLAIMSERVICE_H

#include "claims/claimtypes.h"
#include "global/iclock.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace dragonflylock {

/// Result of the attempt to obtain the claim of a request.
struct ClaimResult {
  std::uint64_t Request_ = 0;
  ClaimOutcome Outcome_ = ClaimOutcome::Unavailable;
  /// The stored response if the outcome is ResponseStored.
  HttpAnswer Answer_;
};

/// The end of the request of a granted claim, to be recorded in the claim's
/// row.
struct ClaimSettlement {
  std::uint64_t Request_ = 0;
  /// Absent if the request was never offered; the claim is then released.
  std::optional<ClaimPhase> Phase_;
  HttpAnswer Answer_;
};

/// Obtains and settles claims in the table service. Not thread-safe.
class IClaimService {
public:
  virtual ~IClaimService() = default;
  /// Starts obtaining a claim for \p Request; runRound() returns its result.
  virtual void obtain(std::uint64_t Request, ClaimRequest Claim,
                      TimePoint Deadline) = 0;
  /// Queues the end of the request of a granted claim for writing.
  virtual void settle(ClaimSettlement Settlement) = 0;
  /// Performs one round of reads and writes; blocks until they complete.
  /// \returns the results of the attempts that ended.
  virtual std::vector<ClaimResult> runRound() = 0;
  /// \returns whether no attempt, settlement or row removal is pending.
  virtual bool isIdle() const = 0;
};

} // namespace dragonflylock

#endif
