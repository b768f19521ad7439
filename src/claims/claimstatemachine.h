#ifndef DRAGONFLYLOCK_CLAIMS_CLAIMSTATEMACHINE_H
#define DRAGONFLYLOCK_CLAIMS_CLAIMSTATEMACHINE_H

#include "claims/claimtypes.h"
#include "global/iclock.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace dragonflylock {

/// State machine that obtains one claim; performs no I/O itself.
///
/// It inserts the claim's row on condition that none exists. If the condition
/// fails or the response is lost, it reads the row and compares the attempt
/// ID. A claim is never taken over from another attempt, because a holder
/// whose process is paused may still offer the request when it resumes.
class ClaimStateMachine {
public:
  /// The operation that the caller has to perform next.
  enum class Step { Insert, Read, Wait, Done };
  /// Result of Step::Insert.
  enum class InsertResult { Written, ConditionFailed, NotWritten, AnswerLost };

  /// \param Claim the claim to obtain.
  /// \param Deadline when the attempt ends without a grant.
  /// \param UnavailableTimeout how long calls are retried while the table is
  /// unavailable.
  ClaimStateMachine(ClaimRequest Claim, TimePoint Deadline,
                    std::chrono::milliseconds UnavailableTimeout);

  /// \returns the next step at \p Now.
  Step next(TimePoint Now);
  /// Handles the result of Step::Insert.
  /// \param Version the version of the new row, if it was written.
  void onInsert(TimePoint Now, InsertResult Result, std::uint64_t Version);
  /// Handles the row that Step::Read returned; std::nullopt if there is none.
  void onRead(TimePoint Now, const std::optional<ClaimRecord> &Row,
              std::uint64_t Version);
  /// Handles a failure of Step::Read.
  void onReadFailed(TimePoint Now);

  const ClaimRequest &claim() const { return Claim_; }
  /// \returns the outcome; valid once next() has returned Step::Done.
  ClaimOutcome outcome() const { return Outcome_; }
  /// \returns the row's version if the claim was granted.
  std::uint64_t version() const { return Version_; }
  /// \returns the stored response if the outcome is ResponseStored.
  const HttpAnswer &answer() const { return Answer_; }
  /// \returns whether the attempt ended as Unavailable, but an insert whose
  /// response was lost may have written its row.
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
