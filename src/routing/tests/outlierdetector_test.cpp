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

/// Reports \p Count results of each instance to \p Detector.
/// \param Failing number of instances, from the first on, that fail every
/// request.
void reportResults(OutlierDetector &Detector, int Count, int Failing,
                   TimePoint Now, std::size_t MaxEjected) {
  for (int Round = 0; Round < Count; ++Round)
    for (int Index = 0; Index < Instances; ++Index)
      Detector.onResult(idOf(Index), Index < Failing, Now, MaxEjected);
}

TEST(OutlierDetector, EjectsAnInstanceThatFailsEveryRequest) {
  OutlierDetector Detector;
  reportResults(Detector, 20, 1, Start, 2);
  EXPECT_EQ(Detector.ejectedCount(Start), 1U);
  EXPECT_GT(Detector.onResult(idOf(0), true, Start, 2), Start);
  EXPECT_LE(Detector.onResult(idOf(1), false, Start, 2), Start);
}

TEST(OutlierDetector, EjectsNothingWhereAllInstancesFail) {
  OutlierDetector Detector;
  reportResults(Detector, 50, Instances, Start, 2);
  EXPECT_EQ(Detector.ejectedCount(Start), 0U);
}

TEST(OutlierDetector, NeverEjectsMoreThanTheLimit) {
  OutlierDetector Detector;
  reportResults(Detector, 50, 2, Start, 1);
  EXPECT_EQ(Detector.ejectedCount(Start), 1U);
  reportResults(Detector, 50, 2, Start, 0);
  EXPECT_EQ(Detector.ejectedCount(Start), 1U);
}

TEST(OutlierDetector, ReadmitsAndEjectsLongerTheNextTime) {
  OutlierDetector Detector;
  reportResults(Detector, 20, 1, Start, 2);
  TimePoint Later = Start + seconds(6);
  EXPECT_EQ(Detector.ejectedCount(Later), 0U);
  reportResults(Detector, 20, 1, Later, 2);
  EXPECT_EQ(Detector.ejectedCount(Later + seconds(9)), 1U);
  TimePoint Healthy = Later + seconds(60);
  reportResults(Detector, 20, 0, Healthy, 2);
  EXPECT_EQ(Detector.ejectedCount(Healthy), 0U);
}

TEST(OutlierDetector, SendsFewRequestsToAnInstanceThatFailsFast) {
  EngineDriver Driver("a", Instances);
  int RequestsToFailing = 0;
  constexpr int Requests = 400;
  for (int Number = 0; Number < Requests; ++Number) {
    Driver.request("POST");
    bool IsFailing = Driver.offers().back().Instance_ == "w1";
    RequestsToFailing += IsFailing ? 1 : 0;
    Driver.endOffer(AnswerFault::None, true, IsFailing ? 500 : 200);
  }
  std::cout << "of " << Requests << " requests " << RequestsToFailing
            << " went to the failing instance\n";
  // Without the detector, an eighth of the requests, 50, would go to it.
  EXPECT_LT(RequestsToFailing, Requests / Instances / 2);
}

} // namespace
} // namespace dragonflylock
