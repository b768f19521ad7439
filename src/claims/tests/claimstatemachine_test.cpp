#include "claims/claimstatemachine.h"

#include <gtest/gtest.h>

#include <iostream>
#include <vector>

namespace dragonflylock {
namespace {

using Step = ClaimStateMachine::Step;
using Insert = ClaimStateMachine::InsertResult;
using std::chrono::milliseconds;

constexpr milliseconds UnavailableTimeout{1000};
constexpr milliseconds ClaimTimeout{10'000};

ClaimStateMachine makeStateMachine(const std::string &Attempt,
                                   const std::string &Fingerprint = "f") {
  return {{"key", Attempt, Fingerprint},
          TimePoint() + ClaimTimeout,
          UnavailableTimeout};
}

ClaimRecord recordOf(const std::string &Attempt, ClaimPhase Phase) {
  ClaimRecord Record;
  Record.AttemptId_ = Attempt;
  Record.Fingerprint_ = "f";
  Record.Phase_ = Phase;
  return Record;
}

TEST(ClaimStateMachine, GrantedWhenInsertSucceeds) {
  ClaimStateMachine Machine = makeStateMachine("a");
  EXPECT_EQ(Machine.next(TimePoint()), Step::Insert);
  Machine.onInsert(TimePoint(), Insert::Written, 7);
  EXPECT_EQ(Machine.next(TimePoint()), Step::Done);
  EXPECT_EQ(Machine.outcome(), ClaimOutcome::Granted);
  EXPECT_EQ(Machine.version(), 7U);
}

TEST(ClaimStateMachine, ReadsRowAfterLostInsertResponse) {
  ClaimStateMachine Machine = makeStateMachine("a");
  Machine.onInsert(TimePoint(), Insert::AnswerLost, 0);
  TimePoint Later = TimePoint() + milliseconds(60);
  EXPECT_EQ(Machine.next(Later), Step::Read);
  Machine.onRead(Later, recordOf("a", ClaimPhase::Claimed), 9);
  EXPECT_EQ(Machine.outcome(), ClaimOutcome::Granted);
  EXPECT_EQ(Machine.version(), 9U);
}

TEST(ClaimStateMachine, WaitsForResponseOfEarlierAttempt) {
  ClaimStateMachine Machine = makeStateMachine("b");
  Machine.onInsert(TimePoint(), Insert::ConditionFailed, 0);
  Machine.onRead(TimePoint(), recordOf("a", ClaimPhase::Claimed), 1);
  EXPECT_EQ(Machine.next(TimePoint()), Step::Wait);
  TimePoint Later = TimePoint() + milliseconds(60);
  EXPECT_EQ(Machine.next(Later), Step::Read);
  ClaimRecord Answered = recordOf("a", ClaimPhase::Answered);
  Answered.Answer_.Status_ = httpstatus::Created;
  Machine.onRead(Later, Answered, 2);
  EXPECT_EQ(Machine.outcome(), ClaimOutcome::ResponseStored);
  EXPECT_EQ(Machine.answer().Status_, httpstatus::Created);
}

TEST(ClaimStateMachine, NeverTakesOverAClaimedRow) {
  ClaimStateMachine Machine = makeStateMachine("b");
  Machine.onInsert(TimePoint(), Insert::ConditionFailed, 0);
  for (TimePoint Now = TimePoint(); Now < TimePoint() + ClaimTimeout;
       Now += milliseconds(50)) {
    if (Machine.next(Now) == Step::Read)
      Machine.onRead(Now, recordOf("a", ClaimPhase::Claimed), 1);
  }
  EXPECT_EQ(Machine.next(TimePoint() + ClaimTimeout), Step::Done);
  EXPECT_EQ(Machine.outcome(), ClaimOutcome::Unknown);
}

TEST(ClaimStateMachine, RejectsKeyReusedByOtherRequest) {
  ClaimStateMachine Machine = makeStateMachine("b", "other");
  Machine.onInsert(TimePoint(), Insert::ConditionFailed, 0);
  Machine.onRead(TimePoint(), recordOf("a", ClaimPhase::Claimed), 1);
  EXPECT_EQ(Machine.outcome(), ClaimOutcome::KeyReused);
}

TEST(ClaimStateMachine, UnavailableWhenTableOutageExceedsTimeout) {
  ClaimStateMachine Machine = makeStateMachine("a");
  TimePoint Now = TimePoint();
  while (Machine.next(Now) != Step::Done) {
    if (Machine.next(Now) == Step::Insert)
      Machine.onInsert(Now, Insert::NotWritten, 0);
    Now += milliseconds(50);
  }
  EXPECT_EQ(Machine.outcome(), ClaimOutcome::Unavailable);
  EXPECT_LE(Now - TimePoint(), UnavailableTimeout + milliseconds(100));
}

/// Explores all interleavings of two attempts for one key up to a given number
/// of steps, against a model of the claim's row. Every step is tried with each
/// fault: a write that fails, one whose response is lost, one that takes effect
/// only later, a failed read, and a process that is paused until its deadline.
/// Guards against a request that is offered twice.
class ClaimExploration {
public:
  explicit ClaimExploration(int Depth) : Depth_(Depth) {}

  void explore() { explore(ModelState(), Depth_); }
  std::uint64_t states() const { return States_; }
  std::uint64_t grants() const { return Grants_; }

private:
  struct Attempt {
    explicit Attempt(const std::string &Id)
        : Id_(Id), Machine_(makeStateMachine(Id)) {}
    std::string Id_;
    ClaimStateMachine Machine_;
    TimePoint Now_;
    bool IsInsertInFlight_ = false;
    bool HasOffered_ = false;
    bool IsSettled_ = false;
  };

  struct ModelState {
    std::vector<Attempt> Attempts_{Attempt("a"), Attempt("b")};
    std::optional<ClaimRecord> Row_;
    std::uint64_t Version_ = 0;
    int Offers_ = 0;
  };

  static bool applyInsert(ModelState &Model, const std::string &Id) {
    if (Model.Row_)
      return false;
    Model.Row_ = recordOf(Id, ClaimPhase::Claimed);
    ++Model.Version_;
    return true;
  }

  void explore(const ModelState &Model, int StepsLeft) {
    ++States_;
    ASSERT_LE(Model.Offers_, 1) << "the request was offered twice";
    if (StepsLeft == 0)
      return;
    for (std::size_t Index = 0; Index < Model.Attempts_.size(); ++Index)
      stepAttempt(Model, Index, StepsLeft - 1);
  }

  void stepAttempt(const ModelState &Model, std::size_t Index, int StepsLeft) {
    if (Model.Attempts_[Index].IsInsertInFlight_)
      deliverDelayedInsert(Model, Index, StepsLeft);
    ModelState Copy = Model;
    Attempt &Current = Copy.Attempts_[Index];
    Step Next = Current.Machine_.next(Current.Now_);
    if (Next == Step::Wait) {
      Current.Now_ += milliseconds(50);
      Next = Current.Machine_.next(Current.Now_);
    }
    if (Next == Step::Insert)
      insert(Copy, Index, StepsLeft);
    if (Next == Step::Read)
      read(Copy, Index, StepsLeft);
    if (Next == Step::Done)
      proceedAfterDone(Copy, Index, StepsLeft);
    if (Next != Step::Done) {
      // The process is paused until the deadline of its attempt.
      Copy.Attempts_[Index].Now_ = TimePoint() + ClaimTimeout;
      explore(Copy, StepsLeft);
    }
  }

  void deliverDelayedInsert(const ModelState &Model, std::size_t Index,
                            int StepsLeft) {
    ModelState Copy = Model;
    Copy.Attempts_[Index].IsInsertInFlight_ = false;
    applyInsert(Copy, Copy.Attempts_[Index].Id_);
    explore(Copy, StepsLeft);
  }

  void insert(const ModelState &Model, std::size_t Index, int StepsLeft) {
    for (int Fault = 0; Fault < 4; ++Fault) {
      ModelState Copy = Model;
      Attempt &Current = Copy.Attempts_[Index];
      if (Fault == 0) {
        bool IsWritten = applyInsert(Copy, Current.Id_);
        Current.Machine_.onInsert(
            Current.Now_, IsWritten ? Insert::Written : Insert::ConditionFailed,
            Copy.Version_);
      }
      if (Fault == 1)
        Current.Machine_.onInsert(Current.Now_, Insert::NotWritten, 0);
      if (Fault == 2) {
        applyInsert(Copy, Current.Id_);
        Current.Machine_.onInsert(Current.Now_, Insert::AnswerLost, 0);
      }
      if (Fault == 3) {
        Current.IsInsertInFlight_ = true;
        Current.Machine_.onInsert(Current.Now_, Insert::AnswerLost, 0);
      }
      explore(Copy, StepsLeft);
    }
  }

  void read(const ModelState &Model, std::size_t Index, int StepsLeft) {
    ModelState Failed = Model;
    Attempt &Unread = Failed.Attempts_[Index];
    Unread.Machine_.onReadFailed(Unread.Now_);
    explore(Failed, StepsLeft);
    ModelState Copy = Model;
    Attempt &Current = Copy.Attempts_[Index];
    Current.Machine_.onRead(Current.Now_, Copy.Row_, Copy.Version_);
    explore(Copy, StepsLeft);
  }

  /// An attempt that was granted the claim either releases it without an offer,
  /// or offers the request and later stores the response.
  void proceedAfterDone(const ModelState &Model, std::size_t Index,
                        int StepsLeft) {
    const Attempt &Seen = Model.Attempts_[Index];
    if (Seen.Machine_.mayHaveUnconfirmedRow())
      removeUnconfirmedRow(Model, Index, StepsLeft);
    if (Seen.Machine_.outcome() != ClaimOutcome::Granted || Seen.IsSettled_)
      return;
    ++Grants_;
    ModelState Copy = Model;
    Attempt &Current = Copy.Attempts_[Index];
    if (Current.HasOffered_) {
      Current.IsSettled_ = true;
      Copy.Row_->Phase_ = ClaimPhase::Answered;
      ++Copy.Version_;
      explore(Copy, StepsLeft);
      return;
    }
    ModelState Released = Model;
    Released.Attempts_[Index].IsSettled_ = true;
    Released.Row_.reset();
    explore(Released, StepsLeft);
    Current.HasOffered_ = true;
    ++Copy.Offers_;
    explore(Copy, StepsLeft);
  }

  void removeUnconfirmedRow(const ModelState &Model, std::size_t Index,
                            int StepsLeft) {
    const std::string &Id = Model.Attempts_[Index].Id_;
    if (!Model.Row_ || Model.Row_->AttemptId_ != Id)
      return;
    ModelState Copy = Model;
    Copy.Row_.reset();
    explore(Copy, StepsLeft);
  }

  int Depth_;
  std::uint64_t States_ = 0;
  std::uint64_t Grants_ = 0;
};

TEST(ClaimStateMachine, OffersAtMostOnceUnderEveryFaultAtEveryStep) {
  constexpr int Depth = 9;
  ClaimExploration Exploration(Depth);
  Exploration.explore();
  std::cout << "states seen: " << Exploration.states()
            << ", grants: " << Exploration.grants() << "\n";
  EXPECT_GT(Exploration.grants(), 1000U);
}

} // namespace
} // namespace dragonflylock
