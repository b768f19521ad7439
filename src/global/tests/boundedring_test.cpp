#include "global/boundedring.h"
#include "global/digest.h"
#include "global/logevent.h"
#include "global/signal.h"

#include <gtest/gtest.h>

#include <numeric>
#include <string>
#include <thread>
#include <vector>

namespace dragonflylock {
namespace {

TEST(BoundedRing, RefusesAndCountsWhenFull) {
  Signal Consumer;
  BoundedRing<int> Ring(2, Consumer);
  EXPECT_TRUE(Ring.tryPut(1));
  EXPECT_TRUE(Ring.tryPut(2));
  EXPECT_FALSE(Ring.tryPut(3));
  EXPECT_EQ(Ring.refused(), 1U);
  std::vector<int> Taken;
  Ring.drain([&](int Entry) { Taken.push_back(Entry); });
  EXPECT_EQ(Taken, (std::vector<int>{1, 2}));
  EXPECT_TRUE(Ring.tryPut(4));
}

TEST(BoundedRing, LosesNothingBetweenThreads) {
  constexpr int PerProducer = 20'000;
  constexpr int Producers = 3;
  Signal Consumer;
  BoundedRing<int> Ring(64, Consumer);
  std::atomic<bool> IsStopping = false;
  std::vector<std::thread> Threads;
  Threads.reserve(Producers);
  for (int Producer = 0; Producer < Producers; ++Producer)
    Threads.emplace_back([&] {
      for (int Entry = 1; Entry <= PerProducer; ++Entry)
        Ring.put(Entry, IsStopping);
    });
  long Sum = 0;
  int Count = 0;
  while (Count < Producers * PerProducer) {
    Ring.drain([&](int Entry) {
      Sum += Entry;
      ++Count;
    });
    Consumer.waitFor(std::chrono::milliseconds(10));
  }
  for (std::thread &Each : Threads)
    Each.join();
  EXPECT_EQ(Sum, 3L * PerProducer * (PerProducer + 1) / 2);
}

TEST(LogEvent, QuotesWhatHoldsBlanks) {
  LogEvent Event("request.ended");
  Event.with("path", "/rota").with("error", "say \"no\" now").with("n", 3U);
  EXPECT_EQ(Event.line(), "event=request.ended path=/rota "
                          "error=\"say \\\"no\\\" now\" n=3");
}

TEST(LogEvent, KeepsOneLine) {
  LogEvent Event("x");
  Event.with("detail", "a\nb\r\nc");
  EXPECT_EQ(Event.line().find_first_of("\r\n"), std::string::npos);
}

TEST(Digest, DependsOnTheBoundariesOfParts) {
  EXPECT_EQ(digestOf({"ab", "c"}), digestOf({"ab", "c"}));
  EXPECT_NE(digestOf({"ab", "c"}), digestOf({"a", "bc"}));
  EXPECT_NE(randomId(8), randomId(8));
}

} // namespace
} // namespace dragonflylock
