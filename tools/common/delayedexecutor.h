#ifndef DRAGONFLYLOCK_TOOLS_COMMON_DELAYEDEXECUTOR_H
#define DRAGONFLYLOCK_TOOLS_COMMON_DELAYEDEXECUTOR_H

#include <chrono>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

namespace dragonflylock {

/// Runs tasks at their time on a thread of its own.
class DelayedExecutor {
public:
  DelayedExecutor();
  /// Drops the tasks that wait.
  ~DelayedExecutor();
  /// Runs \p Task after \p Delay; callable from any thread.
  void run(std::chrono::microseconds Delay, std::function<void()> Task);

private:
  using Clock = std::chrono::steady_clock;
  void loop();

  std::mutex Mutex_;
  std::condition_variable Changed_;
  std::multimap<Clock::time_point, std::function<void()>> Tasks_;
  bool IsStopping_ = false;
  std::thread Thread_;
};

} // namespace dragonflylock

#endif
