#include "scheduling/concurrencylimiter.h"

#include <gtest/gtest.h>

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;

/// Sends all that is admitted and has each answer take \p Latency.
void playRound(ConcurrencyLimiter &Window, milliseconds Latency) {
  while (Window.admits())
    Window.onSent();
  Window.onLimitReached();
  while (Window.inFlight() > 0)
    Window.onAnswered(Latency);
}

TEST(ConcurrencyLimiterTest, AdmitsNoMoreThanItsLimit) {
  ConcurrencyLimiter Window;
  std::size_t Sent = 0;
  for (; Window.admits(); ++Sent)
    Window.onSent();
  EXPECT_EQ(Sent, Window.limit());
}

TEST(ConcurrencyLimiterTest, SlowResponsesLowerTheLimit) {
  ConcurrencyLimiter Window;
  std::size_t Before = Window.limit();
  playRound(Window, milliseconds(900));
  EXPECT_LT(Window.limit(), Before);
  for (int Round = 0; Round < 20; ++Round)
    playRound(Window, milliseconds(900));
  EXPECT_GT(Window.limit(), 0U);
}

TEST(ConcurrencyLimiterTest, FastResponsesRaiseTheLimitWhenOrdersWait) {
  ConcurrencyLimiter Window;
  std::size_t Before = Window.limit();
  playRound(Window, milliseconds(5));
  EXPECT_GT(Window.limit(), Before);
}

TEST(ConcurrencyLimiterTest, FastResponsesDoNotRaiseALimitThatIsNotReached) {
  ConcurrencyLimiter Window;
  std::size_t Before = Window.limit();
  for (int Order = 0; Order < 1000; ++Order) {
    Window.onSent();
    Window.onAnswered(milliseconds(5));
  }
  EXPECT_EQ(Window.limit(), Before);
}

TEST(ConcurrencyLimiterTest, OrdersWithoutAResponseDoNotLowerTheLimit) {
  ConcurrencyLimiter Window;
  std::size_t Before = Window.limit();
  for (int Order = 0; Order < 1000; ++Order) {
    Window.onSent();
    Window.onUnanswered();
  }
  EXPECT_EQ(Window.limit(), Before);
  EXPECT_EQ(Window.inFlight(), 0U);
}

TEST(ConcurrencyLimiterTest, AdmitsAGangAboveTheLimitWhenNothingIsInFlight) {
  ConcurrencyLimiter Window;
  EXPECT_TRUE(Window.admits(Window.limit() + 1));
  Window.onSent();
  EXPECT_FALSE(Window.admits(Window.limit()));
}

} // namespace
} // namespace dragonflylock
