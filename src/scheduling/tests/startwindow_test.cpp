#include "scheduling/startwindow.h"

#include <gtest/gtest.h>

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;

/// Sends all that is admitted and has each answer take \p Took.
void playRound(StartWindow &Window, milliseconds Took) {
  while (Window.admits())
    Window.onSent();
  Window.onHeldBack();
  while (Window.waiting() > 0)
    Window.onAnswered(Took);
}

TEST(StartWindowTest, AdmitsNoMoreThanItsBound) {
  StartWindow Window;
  std::size_t Sent = 0;
  for (; Window.admits(); ++Sent)
    Window.onSent();
  EXPECT_EQ(Sent, Window.bound());
}

TEST(StartWindowTest, SlowAnswersNarrowIt) {
  StartWindow Window;
  std::size_t Before = Window.bound();
  playRound(Window, milliseconds(900));
  EXPECT_LT(Window.bound(), Before);
  for (int Round = 0; Round < 20; ++Round)
    playRound(Window, milliseconds(900));
  EXPECT_GT(Window.bound(), 0U);
}

TEST(StartWindowTest, QuickAnswersWidenItWhereOrdersWait) {
  StartWindow Window;
  std::size_t Before = Window.bound();
  playRound(Window, milliseconds(5));
  EXPECT_GT(Window.bound(), Before);
}

TEST(StartWindowTest, QuickAnswersToFewOrdersDoNotWidenIt) {
  StartWindow Window;
  std::size_t Before = Window.bound();
  for (int Order = 0; Order < 1000; ++Order) {
    Window.onSent();
    Window.onAnswered(milliseconds(5));
  }
  EXPECT_EQ(Window.bound(), Before);
}

TEST(StartWindowTest, WorkersThatAreGoneDoNotNarrowIt) {
  StartWindow Window;
  std::size_t Before = Window.bound();
  for (int Order = 0; Order < 1000; ++Order) {
    Window.onSent();
    Window.onUnanswered();
  }
  EXPECT_EQ(Window.bound(), Before);
  EXPECT_EQ(Window.waiting(), 0U);
}

TEST(StartWindowTest, AGangLargerThanTheBoundGoesWhenNothingWaits) {
  StartWindow Window;
  EXPECT_TRUE(Window.admits(Window.bound() + 1));
  Window.onSent();
  EXPECT_FALSE(Window.admits(Window.bound()));
}

} // namespace
} // namespace dragonflylock
