#include "global/signal.h"

namespace dragonflylock {

void Signal::wake() {
  {
    std::lock_guard Lock(Mutex_);
    if (IsRaised_)
      return;
    IsRaised_ = true;
  }
  Raised_.notify_one();
}

void Signal::waitFor(std::chrono::milliseconds Longest) {
  std::unique_lock Lock(Mutex_);
  Raised_.wait_for(Lock, Longest, [this] { return IsRaised_; });
  IsRaised_ = false;
}

} // namespace dragonflylock
