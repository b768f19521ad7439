#include "node/eventloop.h"

#include <gtest/gtest.h>

#include <atomic>
#include <future>
#include <string>
#include <thread>

namespace dragonflylock {
namespace {

TEST(EventLoopTest, RunsWorkInOrderOnOneThread) {
  EventLoop Loop(64, std::chrono::milliseconds(5));
  std::vector<int> Seen;
  std::promise<void> Finished;
  Loop.start([] {});
  for (int Number = 0; Number < 10; ++Number)
    EXPECT_TRUE(Loop.post([&, Number] { Seen.push_back(Number); }));
  EXPECT_TRUE(Loop.post([&] { Finished.set_value(); }));
  Finished.get_future().wait();
  Loop.stop();
  ASSERT_EQ(Seen.size(), 10U);
  for (int Number = 0; Number < 10; ++Number)
    EXPECT_EQ(Seen[static_cast<std::size_t>(Number)], Number);
}

TEST(EventLoopTest, UrgentWorkRunsBeforeBacklog) {
  EventLoop Loop(64, std::chrono::milliseconds(5));
  std::vector<std::string> Seen;
  std::promise<void> Finished;
  for (int Number = 0; Number < 3; ++Number)
    EXPECT_TRUE(Loop.post([&] { Seen.push_back("waiting"); }));
  EXPECT_TRUE(Loop.postUrgent([&] { Seen.push_back("urgent"); }));
  EXPECT_TRUE(Loop.post([&] { Finished.set_value(); }));
  Loop.start([] {});
  Finished.get_future().wait();
  Loop.stop();
  ASSERT_EQ(Seen.size(), 4U);
  EXPECT_EQ(Seen[0], "urgent");
}

TEST(EventLoopTest, PeriodicWorkRunsDuringBacklog) {
  EventLoop Loop(64, std::chrono::milliseconds(5));
  std::atomic<int> PeriodicRuns = 0;
  int PeriodicRunsBeforeLast = 0;
  std::promise<void> Finished;
  for (int Number = 0; Number < 8; ++Number)
    EXPECT_TRUE(Loop.post(
        [] { std::this_thread::sleep_for(std::chrono::milliseconds(30)); }));
  EXPECT_TRUE(Loop.post([&] {
    PeriodicRunsBeforeLast = PeriodicRuns;
    Finished.set_value();
  }));
  Loop.start([&] { ++PeriodicRuns; });
  Finished.get_future().wait();
  Loop.stop();
  EXPECT_GE(PeriodicRunsBeforeLast, 3);
}

TEST(EventLoopTest, RunsPeriodicWorkWhenIdle) {
  EventLoop Loop(4, std::chrono::milliseconds(1));
  std::promise<void> Ran;
  bool IsSet = false;
  Loop.start([&] {
    if (!IsSet)
      Ran.set_value();
    IsSet = true;
  });
  Ran.get_future().wait();
  Loop.stop();
}

} // namespace
} // namespace dragonflylock
