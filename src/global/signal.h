#ifndef DRAGONFLYLOCK_GLOBAL_SIGNAL_H
#define DRAGONFLYLOCK_GLOBAL_SIGNAL_H

#include "global/iwaker.h"

#include <chrono>
#include <condition_variable>
#include <mutex>

namespace dragonflylock {

/// Lets one thread sleep until another has work for it.
class Signal : public IWaker {
public:
  void wake() override;

  /// Sleeps until wake() has been called since the last wait, or \p Longest
  /// has passed.
  void waitFor(std::chrono::milliseconds Longest);

private:
  std::mutex Mutex_;
  std::condition_variable Raised_;
  bool IsRaised_ = false;
};

} // namespace dragonflylock

#endif
