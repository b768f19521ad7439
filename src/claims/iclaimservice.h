#ifndef DRAGONFLYLOCK_CLAIMS_ICLAIMSERVICE_H
#define DRAGONFLYLOCK_CLAIMS_ICLAIMSERVICE_H

#include "claims/claimtypes.h"
#include "global/iclock.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace dragonflylock {

/// How the claim of one request ended.
struct ClaimResult {
  std::uint64_t Request_ = 0;
  ClaimOutcome Outcome_ = ClaimOutcome::Unavailable;
  /// The kept answer, where the outcome is ResponseStored.
  HttpAnswer Answer_;
};

/// How the request of a granted claim ended.
struct ClaimSettlement {
  std::uint64_t Request_ = 0;
  /// Absent where the claim is released because nothing was offered.
  std::optional<ClaimPhase> Phase_;
  HttpAnswer Answer_;
};

/// Obtains and settles claims in the table service; for use by one thread.
class IClaimService {
public:
  virtual ~IClaimService() = default;
  /// Starts to obtain a claim for request \p Request.
  virtual void obtain(std::uint64_t Request, ClaimRequest Claim,
                      TimePoint Deadline) = 0;
  /// Records how the request of a granted claim ended.
  virtual void settle(ClaimSettlement Settlement) = 0;
  /// Performs one round of reads and writes; blocks for their time.
  /// \returns the claims that ended.
  virtual std::vector<ClaimResult> runRound() = 0;
  /// \returns whether nothing is left to do.
  virtual bool isIdle() const = 0;
};

} // namespace dragonflylock

#endif
