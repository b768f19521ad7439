#include "claims/claimmachine.h"

namespace dragonflylock {
namespace {

constexpr std::chrono::milliseconds RetryInterval{50};

} // namespace

ClaimMachine::ClaimMachine(ClaimRequest Wanted, TimePoint Deadline,
                           std::chrono::milliseconds UnavailableLimit)
    : Wanted_(std::move(Wanted)), Deadline_(Deadline),
      UnavailableLimit_(UnavailableLimit) {}

ClaimMachine::Step ClaimMachine::next(TimePoint Now) {
  if (State_ == State::Done)
    return Step::Done;
  bool IsTooLong =
      UnavailableSince_ && Now - *UnavailableSince_ >= UnavailableLimit_;
  if (Now >= Deadline_ || IsTooLong) {
    finish(SeesForeignClaim_ ? ClaimVerdict::Unknown
                             : ClaimVerdict::Unavailable);
    return Step::Done;
  }
  if (Now < NotBefore_)
    return Step::Wait;
  return State_ == State::Inserting ? Step::Insert : Step::Read;
}

void ClaimMachine::onInsert(TimePoint Now, InsertResult Result,
                            std::uint64_t Version) {
  switch (Result) {
  case InsertResult::Written:
    Version_ = Version;
    finish(ClaimVerdict::Granted);
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

void ClaimMachine::onRead(TimePoint Now, const std::optional<ClaimRecord> &Row,
                          std::uint64_t Version) {
  UnavailableSince_.reset();
  if (!Row) {
    State_ = State::Inserting;
    return;
  }
  if (Row->AttemptId_ != Wanted_.AttemptId_) {
    judgeForeignRow(Now, *Row);
    return;
  }
  Version_ = Version;
  finish(ClaimVerdict::Granted);
}

void ClaimMachine::onReadFailed(TimePoint Now) { retryLater(Now); }

void ClaimMachine::judgeForeignRow(TimePoint Now, const ClaimRecord &Row) {
  if (Row.Fingerprint_ != Wanted_.Fingerprint_) {
    finish(ClaimVerdict::KeyReused);
    return;
  }
  switch (Row.Phase_) {
  case ClaimPhase::Claimed:
    SeesForeignClaim_ = true;
    NotBefore_ = Now + RetryInterval;
    return;
  case ClaimPhase::Answered:
    Answer_ = Row.Answer_;
    finish(ClaimVerdict::Kept);
    return;
  case ClaimPhase::Unknown:
    finish(ClaimVerdict::Unknown);
    return;
  }
}

void ClaimMachine::retryLater(TimePoint Now) {
  if (!UnavailableSince_)
    UnavailableSince_ = Now;
  NotBefore_ = Now + RetryInterval;
}

void ClaimMachine::finish(ClaimVerdict Verdict) {
  State_ = State::Done;
  Verdict_ = Verdict;
}

} // namespace dragonflylock
