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

  /// Runs rounds until an attempt ends.
  ClaimResult nextResult(TableClaimService &Service) {
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
  std::size_t rowCount() {
    return Platform_.readChanges(tables::Claims, 0).value().Rows_.size();
  }

  EmbeddedPlatform Platform_;
  FaultInjectingTable Table_{Platform_};
  ManualClock Clock_;
  TableClaimService FirstService_{Table_, Clock_};
  TableClaimService SecondService_{Platform_, Clock_};
};

TEST_F(TableClaimServiceTest, ReturnsStoredResponseToRepeatElsewhere) {
  FirstService_.obtain(1, claim("a"), deadline());
  EXPECT_EQ(nextResult(FirstService_).Outcome_, ClaimOutcome::Granted);
  SecondService_.obtain(1, claim("b"), deadline());
  EXPECT_TRUE(SecondService_.runRound().empty());
  HttpAnswer Answer{
      httpstatus::Created, {{"X", "y"}}, std::string("\0\xff", 2)};
  FirstService_.settle({1, ClaimPhase::Answered, Answer});
  runUntilIdle(FirstService_);
  ClaimResult Repeat = nextResult(SecondService_);
  EXPECT_EQ(Repeat.Outcome_, ClaimOutcome::ResponseStored);
  EXPECT_EQ(Repeat.Answer_.Status_, httpstatus::Created);
  EXPECT_EQ(Repeat.Answer_.Body_, std::string("\0\xff", 2));
  EXPECT_EQ(*findHeader(Repeat.Answer_.Headers_, "x"), "y");
}

TEST_F(TableClaimServiceTest, WritesManyClaimsInOneTransaction) {
  constexpr int Claims = 50;
  for (int Number = 0; Number < Claims; ++Number)
    FirstService_.obtain(
        Number,
        claim("a" + std::to_string(Number), "k" + std::to_string(Number)),
        deadline());
  EXPECT_EQ(FirstService_.runRound().size(), 50U);
  EXPECT_EQ(Table_.transactionCount(), 1);
}

TEST_F(TableClaimServiceTest, GrantsOtherClaimsWhenOneKeyIsTaken) {
  SecondService_.obtain(1, claim("x", "k1"), deadline());
  nextResult(SecondService_);
  for (int Number = 0; Number < 3; ++Number)
    FirstService_.obtain(
        Number,
        claim("a" + std::to_string(Number), "k" + std::to_string(Number)),
        deadline());
  EXPECT_EQ(FirstService_.runRound().size(), 2U);
}

TEST_F(TableClaimServiceTest, ReleasesUnusedClaim) {
  FirstService_.obtain(1, claim("a"), deadline());
  nextResult(FirstService_);
  FirstService_.settle({1, std::nullopt, {}});
  runUntilIdle(FirstService_);
  EXPECT_EQ(rowCount(), 0U);
  SecondService_.obtain(1, claim("b"), deadline());
  EXPECT_EQ(nextResult(SecondService_).Outcome_, ClaimOutcome::Granted);
}

TEST_F(TableClaimServiceTest, RemovesRowOfClaimReportedUnavailable) {
  // The insert takes effect, its response is lost and the table becomes
  // unavailable, so the caller is told that the request was not run. Its row
  // must be removed, or else a repeat could not run.
  Table_.injectFault(FaultInjectingTable::Fault::LostAfterWrite, 0, 1);
  FirstService_.obtain(1, claim("a"), deadline());
  FirstService_.runRound();
  EXPECT_EQ(rowCount(), 1U);
  Table_.injectFault(FaultInjectingTable::Fault::Unavailable, 0, 80);
  EXPECT_EQ(nextResult(FirstService_).Outcome_, ClaimOutcome::Unavailable);
  runUntilIdle(FirstService_);
  EXPECT_EQ(rowCount(), 0U);
}

TEST_F(TableClaimServiceTest, SettlesInTransactionWithNewClaims) {
  FirstService_.obtain(0, claim("a0", "k0"), deadline());
  nextResult(FirstService_);
  FirstService_.settle({0, ClaimPhase::Unknown, {}});
  int Before = Table_.transactionCount();
  FirstService_.obtain(1, claim("a1", "k1"), deadline());
  EXPECT_EQ(FirstService_.runRound().size(), 1U);
  // The settlement was written in the transaction of the insert.
  EXPECT_EQ(Table_.transactionCount(), Before + 1);
  EXPECT_TRUE(FirstService_.isIdle());
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
        FirstService_.obtain(Id, claim("s" + Name, "s" + Name), deadline());
        EXPECT_EQ(nextResult(FirstService_).Outcome_, ClaimOutcome::Granted);
        FirstService_.settle({Id, ClaimPhase::Unknown, {}});
        FirstService_.obtain(Id + 1, claim("i" + Name, "i" + Name), deadline());
        Table_.injectFault(Kind, First, Length);
        EXPECT_EQ(nextResult(FirstService_).Outcome_, ClaimOutcome::Granted);
        Table_.injectFault(Kind, 0, 0);
        runUntilIdle(FirstService_);
        SecondService_.obtain(1, claim("r" + Name, "s" + Name), deadline());
        EXPECT_EQ(nextResult(SecondService_).Outcome_, ClaimOutcome::Unknown);
      }
}

TEST_F(TableClaimServiceTest, SettlesAfterAnOutage) {
  FirstService_.obtain(1, claim("a"), deadline());
  nextResult(FirstService_);
  Table_.injectFault(FaultInjectingTable::Fault::LostAfterWrite, 0, 5);
  FirstService_.settle({1, ClaimPhase::Unknown, {}});
  runUntilIdle(FirstService_);
  SecondService_.obtain(1, claim("b"), deadline());
  EXPECT_EQ(nextResult(SecondService_).Outcome_, ClaimOutcome::Unknown);
}

TEST(ClaimCodec, RejectsMalformedRows) {
  auto Decoded = claimcodec::decode("{\"phase\":1}");
  ASSERT_FALSE(Decoded);
  EXPECT_EQ(Decoded.error().kind(), PlatformErrc::BadAnswer);
}

} // namespace
} // namespace dragonflylock
