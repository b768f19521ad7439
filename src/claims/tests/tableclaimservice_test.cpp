#include "claims/claimcodec.h"
#include "claims/internal/tableclaimservice.h"
#include "global/tests/mocks/manualclock.h"
#include "platformservices/internal/embeddedplatform.h"
#include "platformservices/platformerrors.h"
#include "platformservices/tablenames.h"
#include "platformservices/tests/mocks/faultinjectingtable.h"

#include <gtest/gtest.h>

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;

class TableClaimServiceTest : public ::testing::Test {
protected:
  ClaimRequest claim(const std::string &Attempt, const std::string &Key = "k") {
    return {Key, Attempt, "f"};
  }
  TimePoint deadline() { return Clock_.now() + milliseconds(10'000); }

  /// Runs rounds until a claim ends.
  ClaimEnd nextEnd(TableClaimService &Service) {
    constexpr int MaxRounds = 1000;
    for (int Round = 0; Round < MaxRounds; ++Round) {
      auto Ended = Service.runRound();
      if (!Ended.empty())
        return Ended.front();
      Clock_.advance(milliseconds(20));
    }
    ADD_FAILURE() << "no claim ended";
    return {};
  }
  void runUntilIdle(TableClaimService &Service) {
    constexpr int MaxRounds = 1000;
    for (int Round = 0; Round < MaxRounds && !Service.isIdle(); ++Round) {
      Service.runRound();
      Clock_.advance(milliseconds(20));
    }
    EXPECT_TRUE(Service.isIdle());
  }
  std::size_t rows() {
    return Platform_.readChanges(tables::Claims, 0).value().Rows_.size();
  }

  EmbeddedPlatform Platform_;
  FaultInjectingTable Table_{Platform_};
  ManualClock Clock_;
  TableClaimService Here_{Table_, Clock_};
  TableClaimService There_{Platform_, Clock_};
};

TEST_F(TableClaimServiceTest, KeepsTheAnswerForARepeatElsewhere) {
  Here_.obtain(1, claim("a"), deadline());
  EXPECT_EQ(nextEnd(Here_).Verdict_, ClaimVerdict::Granted);
  There_.obtain(1, claim("b"), deadline());
  EXPECT_TRUE(There_.runRound().empty());
  HttpAnswer Answer{
      httpstatus::Created, {{"X", "y"}}, std::string("\0\xff", 2)};
  Here_.settle({1, ClaimPhase::Answered, Answer});
  runUntilIdle(Here_);
  ClaimEnd Repeat = nextEnd(There_);
  EXPECT_EQ(Repeat.Verdict_, ClaimVerdict::Kept);
  EXPECT_EQ(Repeat.Answer_.Status_, httpstatus::Created);
  EXPECT_EQ(Repeat.Answer_.Body_, std::string("\0\xff", 2));
  EXPECT_EQ(*findHeader(Repeat.Answer_.Headers_, "x"), "y");
}

TEST_F(TableClaimServiceTest, WritesManyClaimsInOneTransaction) {
  constexpr int Claims = 50;
  for (int Number = 0; Number < Claims; ++Number)
    Here_.obtain(
        Number,
        claim("a" + std::to_string(Number), "k" + std::to_string(Number)),
        deadline());
  EXPECT_EQ(Here_.runRound().size(), 50U);
  EXPECT_EQ(Table_.transactionCount(), 1);
}

TEST_F(TableClaimServiceTest, GrantsTheOthersWhereOneKeyIsTaken) {
  There_.obtain(1, claim("x", "k1"), deadline());
  nextEnd(There_);
  for (int Number = 0; Number < 3; ++Number)
    Here_.obtain(
        Number,
        claim("a" + std::to_string(Number), "k" + std::to_string(Number)),
        deadline());
  EXPECT_EQ(Here_.runRound().size(), 2U);
}

TEST_F(TableClaimServiceTest, ReleasesAClaimThatWasNotUsed) {
  Here_.obtain(1, claim("a"), deadline());
  nextEnd(Here_);
  Here_.settle({1, std::nullopt, {}});
  runUntilIdle(Here_);
  EXPECT_EQ(rows(), 0U);
  There_.obtain(1, claim("b"), deadline());
  EXPECT_EQ(nextEnd(There_).Verdict_, ClaimVerdict::Granted);
}

TEST_F(TableClaimServiceTest, RemovesAClaimThatWasRefusedToTheCaller) {
  // The insert takes effect, its answer is lost and the table stays down, so
  // that the caller is told "not run". A repeat must be able to run.
  Table_.injectFault(FaultInjectingTable::Fault::LostAfterWrite, 0, 1);
  Here_.obtain(1, claim("a"), deadline());
  Here_.runRound();
  EXPECT_EQ(rows(), 1U);
  Table_.injectFault(FaultInjectingTable::Fault::Unavailable, 0, 80);
  EXPECT_EQ(nextEnd(Here_).Verdict_, ClaimVerdict::Unavailable);
  runUntilIdle(Here_);
  EXPECT_EQ(rows(), 0U);
}

TEST_F(TableClaimServiceTest, SettlesWhileClaimsKeepComing) {
  Here_.obtain(0, claim("a0", "k0"), deadline());
  nextEnd(Here_);
  Here_.settle({0, ClaimPhase::Unknown, {}});
  int Before = Table_.transactionCount();
  Here_.obtain(1, claim("a1", "k1"), deadline());
  EXPECT_EQ(Here_.runRound().size(), 1U);
  // The settlement went with the insert.
  EXPECT_EQ(Table_.transactionCount(), Before + 1);
  EXPECT_TRUE(Here_.isIdle());
}

TEST_F(TableClaimServiceTest, SettlesAndInsertsUnderEveryFault) {
  using Fault = FaultInjectingTable::Fault;
  int Cases = 0;
  for (Fault Kind :
       {Fault::Unavailable, Fault::LostBeforeWrite, Fault::LostAfterWrite})
    for (int First = 0; First < 6; ++First)
      for (int Length = 1; Length < 4; ++Length) {
        std::string Name = std::to_string(Cases++);
        std::uint64_t Id = 2 * static_cast<std::uint64_t>(Cases);
        Here_.obtain(Id, claim("s" + Name, "s" + Name), deadline());
        EXPECT_EQ(nextEnd(Here_).Verdict_, ClaimVerdict::Granted);
        Here_.settle({Id, ClaimPhase::Unknown, {}});
        Here_.obtain(Id + 1, claim("i" + Name, "i" + Name), deadline());
        Table_.injectFault(Kind, First, Length);
        EXPECT_EQ(nextEnd(Here_).Verdict_, ClaimVerdict::Granted);
        Table_.injectFault(Kind, 0, 0);
        runUntilIdle(Here_);
        There_.obtain(1, claim("r" + Name, "s" + Name), deadline());
        EXPECT_EQ(nextEnd(There_).Verdict_, ClaimVerdict::Unknown);
      }
}

TEST_F(TableClaimServiceTest, SettlesAfterAnOutage) {
  Here_.obtain(1, claim("a"), deadline());
  nextEnd(Here_);
  Table_.injectFault(FaultInjectingTable::Fault::LostAfterWrite, 0, 5);
  Here_.settle({1, ClaimPhase::Unknown, {}});
  runUntilIdle(Here_);
  There_.obtain(1, claim("b"), deadline());
  EXPECT_EQ(nextEnd(There_).Verdict_, ClaimVerdict::Unknown);
}

TEST(ClaimCodec, RefusesDamagedRows) {
  auto Decoded = claimcodec::decode("{\"phase\":1}");
  ASSERT_FALSE(Decoded);
  EXPECT_EQ(Decoded.error().kind(), PlatformErrc::BadAnswer);
}

} // namespace
} // namespace dragonflylock
