#include "routing/outlierdetector.h"
#include "routing/tests/mocks/enginedriver.h"

#include <gtest/gtest.h>

#include <iostream>

namespace dragonflylock {
namespace {

using std::chrono::seconds;

const TimePoint Start = TimePoint(seconds(100));
constexpr int Instances = 8;

std::string idOf(int Index) { return "w" + std::to_string(Index); }

/// Lets each instance report \p Count results.
/// \param Failing the first instances, which fail everything.
void report(OutlierDetector &Detector, int Count, int Failing, TimePoint Now,
            std::size_t MostSetAside) {
  for (int Round = 0; Round < Count; ++Round)
    for (int Index = 0; Index < Instances; ++Index)
      Detector.onResult(idOf(Index), Index < Failing, Now, MostSetAside);
}

TEST(OutlierDetector, SetsAsideWhatFailsEverything) {
  OutlierDetector Detector;
  report(Detector, 20, 1, Start, 2);
  EXPECT_EQ(Detector.setAside(Start), 1U);
  EXPECT_GT(Detector.onResult(idOf(0), true, Start, 2), Start);
  EXPECT_LE(Detector.onResult(idOf(1), false, Start, 2), Start);
}

TEST(OutlierDetector, LeavesThePoolAloneWhereAllFail) {
  OutlierDetector Detector;
  report(Detector, 50, Instances, Start, 2);
  EXPECT_EQ(Detector.setAside(Start), 0U);
}

TEST(OutlierDetector, NeverExceedsTheBudget) {
  OutlierDetector Detector;
  report(Detector, 50, 2, Start, 1);
  EXPECT_EQ(Detector.setAside(Start), 1U);
  report(Detector, 50, 2, Start, 0);
  EXPECT_EQ(Detector.setAside(Start), 1U);
}

TEST(OutlierDetector, TriesAgainAndPausesLonger) {
  OutlierDetector Detector;
  report(Detector, 20, 1, Start, 2);
  TimePoint Later = Start + seconds(6);
  EXPECT_EQ(Detector.setAside(Later), 0U);
  report(Detector, 20, 1, Later, 2);
  EXPECT_EQ(Detector.setAside(Later + seconds(9)), 1U);
  TimePoint Healthy = Later + seconds(60);
  report(Detector, 20, 0, Healthy, 2);
  EXPECT_EQ(Detector.setAside(Healthy), 0U);
}

TEST(OutlierDetector, KeepsRequestsFromAWorkerThatFailsFast) {
  EngineDriver Driver("a", Instances);
  int AtFailing = 0;
  constexpr int Requests = 400;
  for (int Number = 0; Number < Requests; ++Number) {
    Driver.request("POST");
    bool IsFailing = Driver.offers().back().Instance_ == "w1";
    AtFailing += IsFailing ? 1 : 0;
    Driver.endOffer(AnswerFault::None, true, IsFailing ? 500 : 200);
  }
  std::cout << "of " << Requests << " requests " << AtFailing
            << " went to the failing one\n";
  // An eighth, 50, would go there without the detector.
  EXPECT_LT(AtFailing, Requests / Instances / 2);
}

} // namespace
} // namespace dragonflylock
