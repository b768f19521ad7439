#include "node/eventloop.h"

#include <gtest/gtest.h>

#include <future>

namespace dragonflylock {
namespace {

TEST(EventLoopTest, RunsWorkInOrderOnOneThread) {
  EventLoop Loop(64, std::chrono::milliseconds(5));
  std::vector<int> Seen;
  std::promise<void> Ended;
  Loop.start([] {});
  for (int Number = 0; Number < 10; ++Number)
    EXPECT_TRUE(Loop.post([&, Number] { Seen.push_back(Number); }));
  EXPECT_TRUE(Loop.post([&] { Ended.set_value(); }));
  Ended.get_future().wait();
  Loop.stop();
  ASSERT_EQ(Seen.size(), 10U);
  for (int Number = 0; Number < 10; ++Number)
    EXPECT_EQ(Seen[static_cast<std::size_t>(Number)], Number);
}

TEST(EventLoopTest, RunsTheRegularFunctionWithoutWork) {
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
