#ifndef DRAGONFLYLOCK_CLAIMS_CLAIMSTATEMACHINE_H
#define DRAGONFLYLOCK_CLAIMS_CLAIMSTATEMACHINE_H

#include "claims/claimtypes.h"
#include "global/iclock.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace dragonflylock {

/// Obtains one claim: a state machine without I/O.
///
/// It inserts a row under the condition that there is none. Where the insert
/// fails or its answer is lost, it reads the row and compares the attempt's
/// id. A claim is never taken over from another attempt, since a paused
/// holder may still offer the request.
class ClaimStateMachine {
public:
  /// What the caller has to do next.
  enum class Step { Insert, Read, Wait, Done };
  /// What came of an insert.
  enum class InsertResult { Written, ConditionFailed, NotWritten, AnswerLost };

  /// \param Claim the claim.
  /// \param Deadline when the attempt is given up.
  /// \param UnavailableTimeout how long an unavailable table is tried.
  ClaimStateMachine(ClaimRequest Claim, TimePoint Deadline,
                    std::chrono::milliseconds UnavailableTimeout);

  /// \returns the next step at \p Now.
  Step next(TimePoint Now);
  /// Reports the result of Step::Insert; \p Version is that of the row where
  /// it was written.
  void onInsert(TimePoint Now, InsertResult Result, std::uint64_t Version);
  /// Reports a row that was read, nothing where it is absent.
  void onRead(TimePoint Now, const std::optional<ClaimRecord> &Row,
              std::uint64_t Version);
  /// Reports that the row could not be read.
  void onReadFailed(TimePoint Now);

  const ClaimRequest &claim() const { return Claim_; }
  /// \returns the outcome; valid after Step::Done.
  ClaimOutcome outcome() const { return Outcome_; }
  /// \returns the row's version, where the claim was granted.
  std::uint64_t version() const { return Version_; }
  /// \returns the kept answer, where the outcome is ResponseStored.
  const HttpAnswer &answer() const { return Answer_; }
  /// \returns whether a row of this attempt may exist though its claim was
  /// not granted.
  bool mayHaveUnconfirmedRow() const {
    return IsInsertUncertain_ && Outcome_ == ClaimOutcome::Unavailable;
  }

private:
  enum class State { Inserting, Reading, Done };

  void finish(ClaimOutcome Outcome);
  void handleForeignRow(TimePoint Now, const ClaimRecord &Row);
  void retryLater(TimePoint Now);

  ClaimRequest Claim_;
  TimePoint Deadline_;
  std::chrono::milliseconds UnavailableTimeout_;
  State State_ = State::Inserting;
  std::optional<TimePoint> UnavailableSince_;
  TimePoint NotBefore_;
  bool IsInsertUncertain_ = false;
  bool HasSeenForeignClaim_ = false;
  ClaimOutcome Outcome_ = ClaimOutcome::Unavailable;
  std::uint64_t Version_ = 0;
  HttpAnswer Answer_;
};

} // namespace dragonflylock

#endif
