#include "claims/claimstatemachine.h"

namespace dragonflylock {
namespace {

constexpr std::chrono::milliseconds RetryDelay{50};

} // namespace

ClaimStateMachine::ClaimStateMachine(
    ClaimRequest Claim, TimePoint Deadline,
    std::chrono::milliseconds UnavailableTimeout)
    : Claim_(std::move(Claim)), Deadline_(Deadline),
      UnavailableTimeout_(UnavailableTimeout) {}

ClaimStateMachine::Step ClaimStateMachine::next(TimePoint Now) {
  if (State_ == State::Done)
    return Step::Done;
  bool HasUnavailableTimeoutPassed =
      UnavailableSince_ && Now - *UnavailableSince_ >= UnavailableTimeout_;
  if (Now >= Deadline_ || HasUnavailableTimeoutPassed) {
    finish(HasSeenForeignClaim_ ? ClaimOutcome::Unknown
                                : ClaimOutcome::Unavailable);
    return Step::Done;
  }
  if (Now < NotBefore_)
    return Step::Wait;
  return State_ == State::Inserting ? Step::Insert : Step::Read;
}

void ClaimStateMachine::onInsert(TimePoint Now, InsertResult Result,
                                 std::uint64_t Version) {
  switch (Result) {
  case InsertResult::Written:
    Version_ = Version;
    finish(ClaimOutcome::Granted);
    return;
  case InsertResult::ConditionFailed:
    UnavailableSince_.reset();
    State_ = State::Reading;
    return;
  case InsertResult::NotWritten:
    retryLater(Now);
    return;
  case InsertResult::AnswerLost:
    IsInsertUncertain_ = true;
    State_ = State::Reading;
    retryLater(Now);
    return;
  }
}

void ClaimStateMachine::onRead(TimePoint Now,
                               const std::optional<ClaimRecord> &Row,
                               std::uint64_t Version) {
  UnavailableSince_.reset();
  if (!Row) {
    State_ = State::Inserting;
    return;
  }
  if (Row->AttemptId_ != Claim_.AttemptId_) {
    handleForeignRow(Now, *Row);
    return;
  }
  Version_ = Version;
  finish(ClaimOutcome::Granted);
}

void ClaimStateMachine::onReadFailed(TimePoint Now) { retryLater(Now); }

void ClaimStateMachine::handleForeignRow(TimePoint Now,
                                         const ClaimRecord &Row) {
  if (Row.Fingerprint_ != Claim_.Fingerprint_) {
    finish(ClaimOutcome::KeyReused);
    return;
  }
  switch (Row.Phase_) {
  case ClaimPhase::Claimed:
    HasSeenForeignClaim_ = true;
    NotBefore_ = Now + RetryDelay;
    return;
  case ClaimPhase::Answered:
    Answer_ = Row.Answer_;
    finish(ClaimOutcome::ResponseStored);
    return;
  case ClaimPhase::Unknown:
    finish(ClaimOutcome::Unknown);
    return;
  }
}

void ClaimStateMachine::retryLater(TimePoint Now) {
  if (!UnavailableSince_)
    UnavailableSince_ = Now;
  NotBefore_ = Now + RetryDelay;
}

void ClaimStateMachine::finish(ClaimOutcome Outcome) {
  State_ = State::Done;
  Outcome_ = Outcome;
}

} // namespace dragonflylock
