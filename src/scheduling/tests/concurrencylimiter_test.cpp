#include "scheduling/concurrencylimiter.h"

#include <gtest/gtest.h>

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;

/// Sends as many orders as the limiter admits, and responds to each after \p
/// Latency.
void runRound(ConcurrencyLimiter &Limiter, milliseconds Latency) {
  while (Limiter.admits())
    Limiter.onSent();
  Limiter.onLimitReached();
  while (Limiter.inFlight() > 0)
    Limiter.onAnswered(Latency);
}

TEST(ConcurrencyLimiterTest, AdmitsNoMoreThanItsLimit) {
  ConcurrencyLimiter Limiter;
  std::size_t Sent = 0;
  for (; Limiter.admits(); ++Sent)
    Limiter.onSent();
  EXPECT_EQ(Sent, Limiter.limit());
}

TEST(ConcurrencyLimiterTest, SlowResponsesLowerTheLimit) {
  ConcurrencyLimiter Limiter;
  std::size_t Before = Limiter.limit();
  runRound(Limiter, milliseconds(900));
  EXPECT_LT(Limiter.limit(), Before);
  for (int Round = 0; Round < 20; ++Round)
    runRound(Limiter, milliseconds(900));
  EXPECT_GT(Limiter.limit(), 0U);
}

TEST(ConcurrencyLimiterTest, FastResponsesRaiseTheLimitWhenOrdersWait) {
  ConcurrencyLimiter Limiter;
  std::size_t Before = Limiter.limit();
  runRound(Limiter, milliseconds(5));
  EXPECT_GT(Limiter.limit(), Before);
}

TEST(ConcurrencyLimiterTest, FastResponsesDoNotRaiseALimitThatIsNotReached) {
  ConcurrencyLimiter Limiter;
  std::size_t Before = Limiter.limit();
  for (int Order = 0; Order < 1000; ++Order) {
    Limiter.onSent();
    Limiter.onAnswered(milliseconds(5));
  }
  EXPECT_EQ(Limiter.limit(), Before);
}

TEST(ConcurrencyLimiterTest, OrdersWithoutAResponseDoNotLowerTheLimit) {
  ConcurrencyLimiter Limiter;
  std::size_t Before = Limiter.limit();
  for (int Order = 0; Order < 1000; ++Order) {
    Limiter.onSent();
    Limiter.onUnanswered();
  }
  EXPECT_EQ(Limiter.limit(), Before);
  EXPECT_EQ(Limiter.inFlight(), 0U);
}

TEST(ConcurrencyLimiterTest, AdmitsAGangAboveTheLimitWhenNothingIsInFlight) {
  ConcurrencyLimiter Limiter;
  EXPECT_TRUE(Limiter.admits(Limiter.limit() + 1));
  Limiter.onSent();
  EXPECT_FALSE(Limiter.admits(Limiter.limit()));
}

} // namespace
} // namespace dragonflylock
