#include "scheduling/concurrencylimiter.h"

#include <gtest/gtest.h>

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;

/// Sends all that is admitted and has each answer take \p Took.
void playRound(ConcurrencyLimiter &Window, milliseconds Took) {
  while (Window.admits())
    Window.onSent();
  Window.onHeldBack();
  while (Window.waiting() > 0)
    Window.onAnswered(Took);
}

TEST(ConcurrencyLimiterTest, AdmitsNoMoreThanItsBound) {
  ConcurrencyLimiter Window;
  std::size_t Sent = 0;
  for (; Window.admits(); ++Sent)
    Window.onSent();
  EXPECT_EQ(Sent, Window.bound());
}

TEST(ConcurrencyLimiterTest, SlowAnswersNarrowIt) {
  ConcurrencyLimiter Window;
  std::size_t Before = Window.bound();
  playRound(Window, milliseconds(900));
  EXPECT_LT(Window.bound(), Before);
  for (int Round = 0; Round < 20; ++Round)
    playRound(Window, milliseconds(900));
  EXPECT_GT(Window.bound(), 0U);
}

TEST(ConcurrencyLimiterTest, QuickAnswersWidenItWhereOrdersWait) {
  ConcurrencyLimiter Window;
  std::size_t Before = Window.bound();
  playRound(Window, milliseconds(5));
  EXPECT_GT(Window.bound(), Before);
}

TEST(ConcurrencyLimiterTest, QuickAnswersToFewOrdersDoNotWidenIt) {
  ConcurrencyLimiter Window;
  std::size_t Before = Window.bound();
  for (int Order = 0; Order < 1000; ++Order) {
    Window.onSent();
    Window.onAnswered(milliseconds(5));
  }
  EXPECT_EQ(Window.bound(), Before);
}

TEST(ConcurrencyLimiterTest, WorkersThatAreGoneDoNotNarrowIt) {
  ConcurrencyLimiter Window;
  std::size_t Before = Window.bound();
  for (int Order = 0; Order < 1000; ++Order) {
    Window.onSent();
    Window.onUnanswered();
  }
  EXPECT_EQ(Window.bound(), Before);
  EXPECT_EQ(Window.waiting(), 0U);
}

TEST(ConcurrencyLimiterTest, AGangLargerThanTheBoundGoesWhenNothingWaits) {
  ConcurrencyLimiter Window;
  EXPECT_TRUE(Window.admits(Window.bound() + 1));
  Window.onSent();
  EXPECT_FALSE(Window.admits(Window.bound()));
}

} // namespace
} // namespace dragonflylock
