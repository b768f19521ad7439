#include "admission/admissionforecast.h"
#include "admission/admissionjob.h"

#include <gtest/gtest.h>

#include <set>
#include <string>

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds Wall{1000000};

/// A pool of 10 cores, and jobs whose objective is 920 ms.
class AdmissionForecastTest : public testing::Test {
protected:
  AdmissionForecastTest() {
    Job_.Priority_ = 1;
    Job_.Chain_ = milliseconds(200);
    Job_.Work_ = 200;
    Job_.Stretch_ = 1.6;
    Job_.TargetLatency_ = milliseconds(600);
    Backlog_.MeasuredAt_ = Wall;
    Backlog_.Speed_ = 10;
  }

  /// Adds work that takes the pool \p Time.
  void addWaiting(std::uint32_t Priority, milliseconds Time,
                  milliseconds Place = milliseconds(-900)) {
    PriorityBacklog &Of = Backlog_.Priorities_[Priority];
    Of.OnTime_.add(Place, Time.count() * 10);
    Of.FrontAge_ = std::max(Of.FrontAge_, -Place);
  }

  std::optional<AdmissionRefusal> refusalAfter(milliseconds Age,
                                               const std::string &Id = "job") {
    AdmissionForecast Forecast;
    Forecast.onReport(Backlog_, Now_);
    return Forecast.refusalOf(Job_, Id, Now_ + Age, Wall + Age);
  }

  AdmissionJob Job_;
  PoolBacklog Backlog_;
  TimePoint Now_ = TimePoint(std::chrono::hours(1));
};

// Guards against jobs that wait although their end is worth nothing.
TEST_F(AdmissionForecastTest, RefusesWhatWouldEndTooLate) {
  addWaiting(1, milliseconds(60000));
  auto Refusal = refusalAfter(milliseconds(0));
  ASSERT_TRUE(Refusal);
  EXPECT_EQ(Refusal->Limit_, milliseconds(3 * 920));
  EXPECT_GE(Refusal->Predicted_, milliseconds(60000));
  EXPECT_GE(Refusal->RetryAfter_, milliseconds(1000));
}

// Guards against refusals without a report.
TEST_F(AdmissionForecastTest, AcceptsWithoutAReport) {
  EXPECT_FALSE(AdmissionForecast().refusalOf(Job_, "job", Now_, Wall));
}

// Guards against refusals of jobs that would end late, but not in vain.
TEST_F(AdmissionForecastTest, AcceptsWhatEndsLateButWithinTheLimit) {
  addWaiting(1, milliseconds(2500));
  EXPECT_FALSE(refusalAfter(milliseconds(0)));
}

// Guards against refusals for a small excess, which the prediction cannot tell.
TEST_F(AdmissionForecastTest, RefusesOnlyWithAMargin) {
  addWaiting(1, milliseconds(2700));
  EXPECT_FALSE(refusalAfter(milliseconds(0)));
}

// Guards against a backlog that counts as waiting though the pool works it off.
TEST_F(AdmissionForecastTest, BacklogShrinksWithTheAgeOfTheReport) {
  addWaiting(1, milliseconds(5000));
  EXPECT_TRUE(refusalAfter(milliseconds(0)));
  EXPECT_FALSE(refusalAfter(milliseconds(2500)));
}

// Guards against refusals of higher priority for the sake of lower.
TEST_F(AdmissionForecastTest, LowerPriorityDelaysNothing) {
  addWaiting(2, milliseconds(600000));
  Backlog_.Priorities_[2].Running_ = 1000000;
  Backlog_.Priorities_[2].Late_.add(milliseconds(-9000), 1000000);
  Backlog_.Priorities_[2].ArrivingPerSecond_.add(milliseconds(0), 1000000);
  EXPECT_FALSE(refusalAfter(milliseconds(0)));
  EXPECT_FALSE(refusalAfter(milliseconds(900)));
}

// Guards against jobs that are accepted behind work that always goes first.
TEST_F(AdmissionForecastTest, HigherPriorityDelays) {
  addWaiting(0, milliseconds(60000));
  EXPECT_TRUE(refusalAfter(milliseconds(0)));
}

// Guards against refusals of short jobs that go before the large ones.
TEST_F(AdmissionForecastTest, LargeJobsBehindAShortOneDoNotRefuseIt) {
  addWaiting(1, milliseconds(60000), milliseconds(3000));
  EXPECT_FALSE(refusalAfter(milliseconds(0)));
  // Large jobs go after each other.
  Job_.Work_ = std::int64_t{30} * 800;
  Job_.Chain_ = milliseconds(800);
  EXPECT_TRUE(refusalAfter(milliseconds(0)));
}

// Guards against refusals because of late work, which goes after work on time.
TEST_F(AdmissionForecastTest, LateWorkDoesNotDelayWorkOnTime) {
  Backlog_.Priorities_[1].Late_.add(milliseconds(-5000), 600000);
  EXPECT_FALSE(refusalAfter(milliseconds(0)));
}

// Guards against a job that is refused for ever, since no capacity would help.
TEST_F(AdmissionForecastTest, AcceptsWhatNoPoolOfThisSizeCouldServe) {
  addWaiting(1, milliseconds(60000));
  Job_.Work_ = 1000000;
  EXPECT_FALSE(refusalAfter(milliseconds(0)));
}

// Guards against refusals in a pool without workers, which may just be coming.
TEST_F(AdmissionForecastTest, AcceptsInAPoolWithoutCapacity) {
  addWaiting(1, milliseconds(60000));
  Backlog_.Speed_ = 0;
  EXPECT_FALSE(refusalAfter(milliseconds(0)));
}

// Guards against decisions by a report that was received late, for example
// after the process was suspended.
TEST_F(AdmissionForecastTest, ReportThatWasReceivedLateDecidesNothing) {
  addWaiting(1, milliseconds(60000));
  AdmissionForecast Forecast;
  Forecast.onReport(Backlog_, Now_);
  EXPECT_FALSE(
      Forecast.refusalOf(Job_, "job", Now_, Wall + milliseconds(3001)));
  EXPECT_TRUE(Forecast.refusalOf(Job_, "job", Now_, Wall));
}

// Guards against a node that accepts without limit between two reports.
TEST_F(AdmissionForecastTest, OwnAcceptedWorkCounts) {
  addWaiting(1, milliseconds(2400));
  AdmissionForecast Forecast;
  Forecast.onReport(Backlog_, Now_);
  EXPECT_FALSE(Forecast.refusalOf(Job_, "job", Now_, Wall));
  for (int Each = 0; Each < 300; ++Each)
    Forecast.onAccepted(Job_);
  EXPECT_TRUE(Forecast.refusalOf(Job_, "job", Now_, Wall));
}

// Guards against one large job that closes the pool: with 44 nodes, what one of
// them accepts does not tell what the others accept.
TEST_F(AdmissionForecastTest, OneOwnJobDoesNotCountForAllNodes) {
  addWaiting(1, milliseconds(2000));
  AdmissionForecast Forecast;
  Forecast.onReport(Backlog_, Now_);
  AdmissionJob Large = Job_;
  Large.Work_ = 4000;
  Forecast.onAccepted(Large);
  EXPECT_FALSE(Forecast.refusalOf(Job_, "job", Now_, Wall));
}

// Guards against callers that return together and are refused again, and
// against an answer that changes from one attempt to the next.
TEST_F(AdmissionForecastTest, RetriesAreSpreadByTheJobsId) {
  addWaiting(1, milliseconds(8000));
  std::set<milliseconds> Times;
  for (int Each = 0; Each < 100; ++Each) {
    const std::string Id = std::to_string(Each);
    auto First = refusalAfter(milliseconds(0), Id);
    auto Second = refusalAfter(milliseconds(0), Id);
    ASSERT_TRUE(First && Second);
    EXPECT_EQ(First->RetryAfter_, Second->RetryAfter_);
    EXPECT_EQ(First->RetryAfter_ % milliseconds(1000), milliseconds(0));
    EXPECT_GE(First->RetryAfter_, milliseconds(7000));
    Times.insert(First->RetryAfter_);
  }
  EXPECT_GE(Times.size(), 5U);
}

} // namespace
} // namespace dragonflylock
