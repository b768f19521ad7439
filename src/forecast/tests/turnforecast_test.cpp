#include "forecast/turnforecast.h"

#include <gtest/gtest.h>

#include <functional>
#include <random>

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds Step{100};
constexpr milliseconds Period{16000};
constexpr milliseconds Length{4000};
constexpr double Height = 40;
constexpr double Valley = 0.5;

/// Plays a load to a forecast, in steps of 100 ms.
class TurnForecastTest : public testing::Test {
protected:
  /// \returns the load that peaks for 4 s of every 16 s, from the start of the
  ///   test on.
  double peaks(milliseconds Time) const {
    const bool IsPeak = Time >= Start_ && (Time - Start_) % Period < Length;
    return IsPeak ? Height : Valley;
  }

  /// Plays \p Rate, in machine-seconds per second, for \p Duration.
  void play(milliseconds Duration,
            const std::function<double(milliseconds)> &Rate) {
    for (milliseconds Passed{0}; Passed < Duration; Passed += Step) {
      const double Work =
          Rate(Wall_) * std::chrono::duration<double>(Step).count();
      Wall_ += Step;
      Now_ += Step;
      count(Forecast_.record(Wall_, Now_, Work));
    }
  }
  void playPeaks(milliseconds Duration) {
    play(Duration, [this](milliseconds Time) { return peaks(Time); });
  }

  void count(TurnForecast::Change Change) {
    Found_ += Change == TurnForecast::Change::Found ? 1 : 0;
    Dropped_ += Change == TurnForecast::Change::Dropped ? 1 : 0;
  }

  const milliseconds Start_{1'765'000'010'300};
  /// The first peak begins 4 s after the first record, so that its begin is
  /// observed.
  milliseconds Wall_ = Start_ - milliseconds(4000);
  TimePoint Now_ = TimePoint(std::chrono::hours(3));
  TurnForecast Forecast_;
  int Found_ = 0;
  int Dropped_ = 0;
};

// Guards against a forecast that needs more peaks than necessary, and against
// one whose prediction misses the peak.
TEST_F(TurnForecastTest, PredictsTheThirdPeakFromTwo) {
  playPeaks(milliseconds(4000) + Period);
  EXPECT_FALSE(Forecast_.isKnown());
  playPeaks(milliseconds(8000));
  ASSERT_TRUE(Forecast_.isKnown());
  EXPECT_FALSE(Forecast_.isConfirmed());
  const Turn Next = *Forecast_.turnAt(Wall_);
  EXPECT_NEAR((Next.Begin_ - Start_ - 2 * Period).count(), 0, 500);
  EXPECT_NEAR(Next.Length_.count(), Length.count(), 1000);
  EXPECT_NEAR(Next.Height_, Height, Height / 4);
  playPeaks(3 * Period);
  EXPECT_TRUE(Forecast_.isConfirmed());
  EXPECT_EQ(Found_, 1);
  EXPECT_EQ(Dropped_, 0);
}

// Guards against a phase that drifts away from the peaks over many periods.
TEST_F(TurnForecastTest, KeepsThePatternOfRandomArrivals) {
  std::mt19937 Random(7);
  play(20 * Period, [&](milliseconds Time) {
    // Jobs of two machine-seconds each.
    std::poisson_distribution<int> Jobs(peaks(Time) * 0.1 / 2);
    return Jobs(Random) * 2 / 0.1;
  });
  ASSERT_TRUE(Forecast_.isConfirmed());
  EXPECT_EQ(Dropped_, 0);
  const Turn Next = *Forecast_.turnAt(Wall_);
  EXPECT_NEAR(((Next.Begin_ - Start_) % Period).count() % Period.count(), 0,
              1000);
}

// Guards against patterns that are found in even load.
TEST_F(TurnForecastTest, FindsNoPatternInEvenLoad) {
  for (unsigned Seed = 1; Seed <= 20; ++Seed) {
    std::mt19937 Random(Seed);
    Forecast_ = TurnForecast();
    play(std::chrono::minutes(10), [&](milliseconds) {
      std::poisson_distribution<int> Jobs(1);
      return Jobs(Random) * 10.0;
    });
    EXPECT_EQ(Found_, 0) << Seed;
  }
}

// Guards against machines that are requested for one burst that does not
// repeat.
TEST_F(TurnForecastTest, FindsNoPatternInOneBurst) {
  play(milliseconds(4000), [](milliseconds) { return Valley; });
  play(Length, [](milliseconds) { return Height; });
  play(std::chrono::minutes(5), [](milliseconds) { return Valley; });
  EXPECT_EQ(Found_, 0);
}

// Guards against a pattern made of peaks that have nothing in common.
TEST_F(TurnForecastTest, FindsNoPatternInPeaksOfDifferentHeight) {
  play(milliseconds(4000), [](milliseconds) { return Valley; });
  play(Length, [](milliseconds) { return 10; });
  play(Period - Length, [](milliseconds) { return Valley; });
  play(Length, [](milliseconds) { return 60; });
  play(Period - Length, [](milliseconds) { return Valley; });
  EXPECT_EQ(Found_, 0);
}

// Guards against requests for peaks that no longer come.
TEST_F(TurnForecastTest, DropsAPatternWithinOnePeriodAfterItsLastPeak) {
  playPeaks(milliseconds(4000) + 3 * Period + Length);
  ASSERT_TRUE(Forecast_.isKnown());
  play(Period, [](milliseconds) { return Valley; });
  EXPECT_FALSE(Forecast_.isKnown());
  EXPECT_EQ(Dropped_, 1);
}

// Guards against a pattern that is kept although peaks come at other times.
TEST_F(TurnForecastTest, DropsAPatternWhenAPeakComesInBetween) {
  playPeaks(milliseconds(4000) + 3 * Period + milliseconds(9000));
  ASSERT_TRUE(Forecast_.isKnown());
  play(milliseconds(1500), [](milliseconds) { return Height; });
  EXPECT_FALSE(Forecast_.isKnown());
}

// Guards against a load that has become even and is taken for a peak.
TEST_F(TurnForecastTest, DropsAPatternWhenAPeakDoesNotEnd) {
  playPeaks(milliseconds(4000) + 3 * Period);
  ASSERT_TRUE(Forecast_.isKnown());
  play(2 * Period, [](milliseconds) { return Height; });
  EXPECT_FALSE(Forecast_.isKnown());
}

// Guards against a broken pattern that returns by chance: after a break, two
// peaks do not suffice.
TEST_F(TurnForecastTest, NeedsThreePeaksAfterABreak) {
  playPeaks(milliseconds(4000) + 3 * Period + Length);
  play(2 * Period, [](milliseconds) { return Valley; });
  ASSERT_EQ(Dropped_, 1);
  const milliseconds Rest = Period - (Wall_ - Start_) % Period;
  play(Rest, [](milliseconds) { return Valley; });
  playPeaks(Period + Length + milliseconds(2000));
  EXPECT_FALSE(Forecast_.isKnown());
  playPeaks(Period);
  EXPECT_TRUE(Forecast_.isKnown());
}

// Guards against a prediction that is off by the jump of the wall clock.
TEST_F(TurnForecastTest, DropsThePatternWhenTheWallClockJumps) {
  for (milliseconds Jump : {milliseconds(3000), milliseconds(-3000)}) {
    Forecast_ = TurnForecast();
    playPeaks(milliseconds(4000) + 4 * Period);
    ASSERT_TRUE(Forecast_.isKnown());
    Wall_ += Jump;
    count(Forecast_.record(Wall_, Now_, 0));
    EXPECT_FALSE(Forecast_.isKnown());
    EXPECT_FALSE(Forecast_.turnAt(Wall_));
  }
}

// Guards against a new owner that meets the next peak as if it were the first.
TEST_F(TurnForecastTest, SurvivesAChangeOfOwner) {
  playPeaks(milliseconds(4000) + 3 * Period + milliseconds(6000));
  const std::string Text = Forecast_.encode();
  EXPECT_LE(Text.size(), 90U);
  // Nobody observes the load for 3 s, and the next owner's steady clock
  // differs.
  Wall_ += milliseconds(3000);
  Now_ = TimePoint(std::chrono::hours(200));
  auto Decoded = TurnForecast::decode(Text, Wall_);
  ASSERT_TRUE(Decoded);
  Forecast_ = *Decoded;
  ASSERT_TRUE(Forecast_.turnAt(Wall_));
  EXPECT_NEAR((Forecast_.turnAt(Wall_)->Begin_ - Start_ - 4 * Period).count(),
              0, 500);
  EXPECT_FALSE(Forecast_.isConfirmed());
  playPeaks(2 * Period);
  EXPECT_TRUE(Forecast_.isConfirmed());
  EXPECT_EQ(Dropped_, 0);
}

// Guards against a pattern that is lost because its owner changed in a peak,
// whose begin nobody observed.
TEST_F(TurnForecastTest, SurvivesAChangeOfOwnerDuringAPeak) {
  playPeaks(milliseconds(4000) + 3 * Period - milliseconds(1000));
  const std::string Text = Forecast_.encode();
  Wall_ += milliseconds(2500);
  Now_ = TimePoint(std::chrono::hours(200));
  Forecast_ = *TurnForecast::decode(Text, Wall_);
  playPeaks(3 * Period);
  EXPECT_TRUE(Forecast_.isConfirmed());
  EXPECT_EQ(Dropped_, 0);
}

// Guards against a wrong phase from an owner whose clock differs by seconds. A
// clock that is behind contradicts the state at once; one that is ahead is
// noticed at the next peak.
TEST_F(TurnForecastTest, DropsThePatternOfAnOwnerWithAnotherClock) {
  playPeaks(milliseconds(4000) + 3 * Period + milliseconds(6000));
  const std::string Text = Forecast_.encode();
  EXPECT_FALSE(TurnForecast::decode(Text, Wall_ - milliseconds(5000)));
  const milliseconds Ahead(5000);
  Forecast_ = *TurnForecast::decode(Text, Wall_ + Ahead);
  Now_ = TimePoint(std::chrono::hours(200));
  Wall_ += Ahead;
  play(Period - milliseconds(3000),
       [&](milliseconds Time) { return peaks(Time - Ahead); });
  EXPECT_FALSE(Forecast_.isKnown());
}

// Guards against a damaged row that leads to a prediction or a crash.
TEST_F(TurnForecastTest, DecodesNoInvalidText) {
  playPeaks(milliseconds(4000) + 3 * Period);
  const std::string Text = Forecast_.encode();
  ASSERT_TRUE(TurnForecast::decode(Text, Wall_));
  for (const char *Damaged : {"", "x", "1 2 3", "5 4 1000 16000 40 3 0",
                              "99999999999999999999 1 1000 16000 40 3 0"})
    EXPECT_FALSE(TurnForecast::decode(Damaged, Wall_)) << Damaged;
  EXPECT_FALSE(TurnForecast::decode(Text, Wall_ + std::chrono::hours(1)));
}

} // namespace
} // namespace dragonflylock
