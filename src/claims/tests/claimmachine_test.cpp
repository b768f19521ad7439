#include "claims/claimmachine.h"

#include <gtest/gtest.h>

#include <iostream>
#include <vector>

namespace dragonflylock {
namespace {

using Step = ClaimMachine::Step;
using Insert = ClaimMachine::InsertResult;
using std::chrono::milliseconds;

constexpr milliseconds UnavailableLimit{1000};
constexpr milliseconds Longest{10'000};

ClaimMachine machine(const std::string &Attempt,
                     const std::string &Fingerprint = "f") {
  return {
      {"key", Attempt, Fingerprint}, TimePoint() + Longest, UnavailableLimit};
}

ClaimRecord recordOf(const std::string &Attempt, ClaimPhase Phase) {
  ClaimRecord Record;
  Record.AttemptId_ = Attempt;
  Record.Fingerprint_ = "f";
  Record.Phase_ = Phase;
  return Record;
}

TEST(ClaimMachine, IsGrantedByItsInsert) {
  ClaimMachine Machine = machine("a");
  EXPECT_EQ(Machine.next(TimePoint()), Step::Insert);
  Machine.onInsert(TimePoint(), Insert::Written, 7);
  EXPECT_EQ(Machine.next(TimePoint()), Step::Done);
  EXPECT_EQ(Machine.verdict(), ClaimVerdict::Granted);
  EXPECT_EQ(Machine.version(), 7U);
}

TEST(ClaimMachine, SettlesALostAnswerByReadingBack) {
  ClaimMachine Machine = machine("a");
  Machine.onInsert(TimePoint(), Insert::AnswerLost, 0);
  TimePoint Later = TimePoint() + milliseconds(60);
  EXPECT_EQ(Machine.next(Later), Step::Read);
  Machine.onRead(Later, recordOf("a", ClaimPhase::Claimed), 9);
  EXPECT_EQ(Machine.verdict(), ClaimVerdict::Granted);
  EXPECT_EQ(Machine.version(), 9U);
}

TEST(ClaimMachine, WaitsForTheAnswerOfAnEarlierAttempt) {
  ClaimMachine Machine = machine("b");
  Machine.onInsert(TimePoint(), Insert::ConditionFailed, 0);
  Machine.onRead(TimePoint(), recordOf("a", ClaimPhase::Claimed), 1);
  EXPECT_EQ(Machine.next(TimePoint()), Step::Wait);
  TimePoint Later = TimePoint() + milliseconds(60);
  EXPECT_EQ(Machine.next(Later), Step::Read);
  ClaimRecord Answered = recordOf("a", ClaimPhase::Answered);
  Answered.Answer_.Status_ = httpstatus::Created;
  Machine.onRead(Later, Answered, 2);
  EXPECT_EQ(Machine.verdict(), ClaimVerdict::Kept);
  EXPECT_EQ(Machine.answer().Status_, httpstatus::Created);
}

TEST(ClaimMachine, NeverTakesOverAClaimedRow) {
  ClaimMachine Machine = machine("b");
  Machine.onInsert(TimePoint(), Insert::ConditionFailed, 0);
  for (TimePoint Now = TimePoint(); Now < TimePoint() + Longest;
       Now += milliseconds(50)) {
    if (Machine.next(Now) == Step::Read)
      Machine.onRead(Now, recordOf("a", ClaimPhase::Claimed), 1);
  }
  EXPECT_EQ(Machine.next(TimePoint() + Longest), Step::Done);
  EXPECT_EQ(Machine.verdict(), ClaimVerdict::Unknown);
}

TEST(ClaimMachine, RefusesAKeyOfAnotherRequest) {
  ClaimMachine Machine = machine("b", "other");
  Machine.onInsert(TimePoint(), Insert::ConditionFailed, 0);
  Machine.onRead(TimePoint(), recordOf("a", ClaimPhase::Claimed), 1);
  EXPECT_EQ(Machine.verdict(), ClaimVerdict::KeyReused);
}

TEST(ClaimMachine, GivesUpWhileTheTableIsDown) {
  ClaimMachine Machine = machine("a");
  TimePoint Now = TimePoint();
  while (Machine.next(Now) != Step::Done) {
    if (Machine.next(Now) == Step::Insert)
      Machine.onInsert(Now, Insert::NotWritten, 0);
    Now += milliseconds(50);
  }
  EXPECT_EQ(Machine.verdict(), ClaimVerdict::Unavailable);
  EXPECT_LE(Now - TimePoint(), UnavailableLimit + milliseconds(100));
}

/// Explores two attempts at one key, with every fault at every step, against
/// a model of the row.
class ClaimExploration {
public:
  explicit ClaimExploration(int Depth) : Depth_(Depth) {}

  void explore() { explore(World(), Depth_); }
  std::uint64_t states() const { return States_; }
  std::uint64_t grants() const { return Grants_; }

private:
  struct Attempt {
    explicit Attempt(const std::string &Id) : Id_(Id), Machine_(machine(Id)) {}
    std::string Id_;
    ClaimMachine Machine_;
    TimePoint Now_;
    bool IsInsertInFlight_ = false;
    bool HasOffered_ = false;
    bool IsSettled_ = false;
  };

  struct World {
    std::vector<Attempt> Attempts_{Attempt("a"), Attempt("b")};
    std::optional<ClaimRecord> Row_;
    std::uint64_t Version_ = 0;
    int Offers_ = 0;
  };

  static bool applyInsert(World &Model, const std::string &Id) {
    if (Model.Row_)
      return false;
    Model.Row_ = recordOf(Id, ClaimPhase::Claimed);
    ++Model.Version_;
    return true;
  }

  void explore(const World &Model, int Left) {
    ++States_;
    ASSERT_LE(Model.Offers_, 1) << "the request was offered twice";
    if (Left == 0)
      return;
    for (std::size_t Index = 0; Index < Model.Attempts_.size(); ++Index)
      stepAttempt(Model, Index, Left - 1);
  }

  void stepAttempt(const World &Model, std::size_t Index, int Left) {
    if (Model.Attempts_[Index].IsInsertInFlight_)
      arriveLate(Model, Index, Left);
    World Copy = Model;
    Attempt &Mine = Copy.Attempts_[Index];
    Step Next = Mine.Machine_.next(Mine.Now_);
    if (Next == Step::Wait) {
      Mine.Now_ += milliseconds(50);
      Next = Mine.Machine_.next(Mine.Now_);
    }
    if (Next == Step::Insert)
      insert(Copy, Index, Left);
    if (Next == Step::Read)
      read(Copy, Index, Left);
    if (Next == Step::Done)
      act(Copy, Index, Left);
    if (Next != Step::Done) {
      // The process is paused until its deadline has passed.
      Copy.Attempts_[Index].Now_ = TimePoint() + Longest;
      explore(Copy, Left);
    }
  }

  void arriveLate(const World &Model, std::size_t Index, int Left) {
    World Copy = Model;
    Copy.Attempts_[Index].IsInsertInFlight_ = false;
    applyInsert(Copy, Copy.Attempts_[Index].Id_);
    explore(Copy, Left);
  }

  void insert(const World &Model, std::size_t Index, int Left) {
    for (int Fault = 0; Fault < 4; ++Fault) {
      World Copy = Model;
      Attempt &Mine = Copy.Attempts_[Index];
      if (Fault == 0) {
        bool IsWritten = applyInsert(Copy, Mine.Id_);
        Mine.Machine_.onInsert(
            Mine.Now_, IsWritten ? Insert::Written : Insert::ConditionFailed,
            Copy.Version_);
      }
      if (Fault == 1)
        Mine.Machine_.onInsert(Mine.Now_, Insert::NotWritten, 0);
      if (Fault == 2) {
        applyInsert(Copy, Mine.Id_);
        Mine.Machine_.onInsert(Mine.Now_, Insert::AnswerLost, 0);
      }
      if (Fault == 3) {
        Mine.IsInsertInFlight_ = true;
        Mine.Machine_.onInsert(Mine.Now_, Insert::AnswerLost, 0);
      }
      explore(Copy, Left);
    }
  }

  void read(const World &Model, std::size_t Index, int Left) {
    World Failed = Model;
    Attempt &Other = Failed.Attempts_[Index];
    Other.Machine_.onReadFailed(Other.Now_);
    explore(Failed, Left);
    World Copy = Model;
    Attempt &Mine = Copy.Attempts_[Index];
    Mine.Machine_.onRead(Mine.Now_, Copy.Row_, Copy.Version_);
    explore(Copy, Left);
  }

  /// A granted attempt offers its request, or releases its claim without
  /// having offered; then it may record the answer.
  void act(const World &Model, std::size_t Index, int Left) {
    const Attempt &Seen = Model.Attempts_[Index];
    if (Seen.Machine_.mayHaveLeftRow())
      removeLeftover(Model, Index, Left);
    if (Seen.Machine_.verdict() != ClaimVerdict::Granted || Seen.IsSettled_)
      return;
    ++Grants_;
    World Copy = Model;
    Attempt &Mine = Copy.Attempts_[Index];
    if (Mine.HasOffered_) {
      Mine.IsSettled_ = true;
      Copy.Row_->Phase_ = ClaimPhase::Answered;
      ++Copy.Version_;
      explore(Copy, Left);
      return;
    }
    World Released = Model;
    Released.Attempts_[Index].IsSettled_ = true;
    Released.Row_.reset();
    explore(Released, Left);
    Mine.HasOffered_ = true;
    ++Copy.Offers_;
    explore(Copy, Left);
  }

  void removeLeftover(const World &Model, std::size_t Index, int Left) {
    const std::string &Id = Model.Attempts_[Index].Id_;
    if (!Model.Row_ || Model.Row_->AttemptId_ != Id)
      return;
    World Copy = Model;
    Copy.Row_.reset();
    explore(Copy, Left);
  }

  int Depth_;
  std::uint64_t States_ = 0;
  std::uint64_t Grants_ = 0;
};

TEST(ClaimMachine, OffersAtMostOnceUnderEveryFaultAtEveryStep) {
  constexpr int Depth = 9;
  ClaimExploration Exploration(Depth);
  Exploration.explore();
  std::cout << "states seen: " << Exploration.states()
            << ", grants: " << Exploration.grants() << "\n";
  EXPECT_GT(Exploration.grants(), 1000U);
}

} // namespace
} // namespace dragonflylock
