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
  std::chrono::milliseconds longest() const { return Longest_; }
  /// Notes how a wait ended.
  void onEnd(const StoreChanges &Changes) {
    if (Changes.Outcome_ == StoreOutcome::Unknown &&
        Changes.HasPartialResponse_)
      Longest_ = std::min(Longest_ * 2, Most);
    else if (Changes.Outcome_ == StoreOutcome::Done)
      Longest_ = Usual;
  }

private:
  /// Short enough to notice a connection that has gone silent.
  static constexpr std::chrono::milliseconds Usual{1500};
  /// A longer backlog is found to be lost history, and is read by pages.
  static constexpr std::chrono::milliseconds Most{12000};

  std::chrono::milliseconds Longest_ = Usual;
};

} // namespace dragonflylock

#endif
