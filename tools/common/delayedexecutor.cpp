#include "common/delayedexecutor.h"

namespace dragonflylock {

DelayedExecutor::DelayedExecutor() : Thread_([this] { loop(); }) {}

DelayedExecutor::~DelayedExecutor() {
  {
    std::lock_guard Lock(Mutex_);
    IsStopping_ = true;
  }
  Changed_.notify_one();
  Thread_.join();
}

void DelayedExecutor::run(std::chrono::microseconds Delay,
                          std::function<void()> Task) {
  {
    std::lock_guard Lock(Mutex_);
    Tasks_.emplace(Clock::now() + Delay, std::move(Task));
  }
  Changed_.notify_one();
}

void DelayedExecutor::loop() {
  std::unique_lock Lock(Mutex_);
  while (!IsStopping_) {
    if (Tasks_.empty()) {
      Changed_.wait(Lock);
      continue;
    }
    auto First = Tasks_.begin();
    if (First->first > Clock::now()) {
      Changed_.wait_until(Lock, First->first);
      continue;
    }
    auto Task = std::move(First->second);
    Tasks_.erase(First);
    Lock.unlock();
    Task();
    Lock.lock();
  }
}

} // namespace dragonflylock
