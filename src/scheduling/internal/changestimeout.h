#ifndef DRAGONFLYLOCK_SCHEDULING_INTERNAL_CHANGESTIMEOUT_H
#define DRAGONFLYLOCK_SCHEDULING_INTERNAL_CHANGESTIMEOUT_H

#include "scheduling/storetypes.h"

#include <algorithm>
#include <chrono>

namespace dragonflylock {

/// How long to wait for changes of a table. The store gives all changes in one
/// answer, so a backlog that did not arrive in time gets more time.
class ChangesTimeout {
public:
  /// \returns the longest wait to ask for.
  std::chrono::milliseconds timeout() const { return Timeout_; }
  /// Notes how a wait ended.
  void onResult(const StoreChanges &Changes) {
    if (Changes.Outcome_ == StoreOutcome::Unknown &&
        Changes.HasPartialResponse_)
      Timeout_ = std::min(Timeout_ * 2, MaxTimeout);
    else if (Changes.Outcome_ == StoreOutcome::Done)
      Timeout_ = DefaultTimeout;
  }

private:
  /// Short enough to notice a connection that has gone silent.
  static constexpr std::chrono::milliseconds DefaultTimeout{1500};
  /// A longer backlog is found to be lost history, and is read by pages.
  static constexpr std::chrono::milliseconds MaxTimeout{12000};

  std::chrono::milliseconds Timeout_ = DefaultTimeout;
};

} // namespace dragonflylock

#endif
