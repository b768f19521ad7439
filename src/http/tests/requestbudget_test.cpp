#include "http/requestbudget.h"

#include <gtest/gtest.h>

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Ids = std::vector<RequestBudget::Id>;

class RequestBudgetTest : public testing::Test {
protected:
  /// States that a connection holds \p Bytes of a request that began and last
  /// got a byte the given times ago.
  void hold(RequestBudget::Id Connection, std::size_t Bytes, milliseconds Age,
            milliseconds Silence = milliseconds(0), bool IsClosable = true) {
    Budget_.hold(Connection, {Bytes, Now_ - Age, Now_ - Silence, IsClosable});
  }

  const TimePoint Now_ = TimePoint(std::chrono::hours(1));
  RequestBudget Budget_{800};
};

// Guards against connections that are closed though there is room.
TEST_F(RequestBudgetTest, ClosesNothingWhileAllFit) {
  hold(1, 400, seconds(5), seconds(5));
  hold(2, 400, seconds(5), seconds(5));
  EXPECT_TRUE(Budget_.takeExcess(Now_).empty());
  EXPECT_EQ(Budget_.total(), 800U);
}

// Guards against an active caller that pays for those who only keep memory.
TEST_F(RequestBudgetTest, ClosesStalledRequestsFirst) {
  hold(1, 700, seconds(9), milliseconds(10));
  hold(2, 100, seconds(2), seconds(2));
  hold(3, 50, milliseconds(10));
  EXPECT_EQ(Budget_.takeExcess(Now_), (Ids{2, 1}));
  EXPECT_EQ(Budget_.total(), 50U);
}

// Guards against an ordinary request that is closed because it has only begun.
TEST_F(RequestBudgetTest, SparesRequestsThatHaveJustBegun) {
  hold(1, 500, seconds(2));
  hold(2, 300, milliseconds(5));
  hold(3, 100, milliseconds(0));
  EXPECT_EQ(Budget_.takeExcess(Now_), (Ids{1}));
}

// Guards against an answer that is lost by closing its connection.
TEST_F(RequestBudgetTest, KeepsRequestsThatTheHandlerHas) {
  hold(1, 5000, seconds(60), seconds(60), /*IsClosable=*/false);
  hold(2, 10, milliseconds(1));
  EXPECT_EQ(Budget_.takeExcess(Now_), (Ids{2}));
  EXPECT_TRUE(Budget_.takeExcess(Now_).empty());
  EXPECT_FALSE(Budget_.takeWorst(Now_));
}

// Guards against a total that drifts from what is held.
TEST_F(RequestBudgetTest, CountsTheLatestAmountOfEachConnection) {
  hold(1, 300, seconds(1));
  hold(1, 100, seconds(1));
  hold(2, 50, seconds(1));
  Budget_.release(2);
  Budget_.release(2);
  EXPECT_EQ(Budget_.total(), 100U);
}

} // namespace
} // namespace dragonflylock
