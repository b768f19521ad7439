#ifndef DRAGONFLYLOCK_SCHEDULING_INTERNAL_CHANGESTIMEOUT_H
#define DRAGONFLYLOCK_SCHEDULING_INTERNAL_CHANGESTIMEOUT_H

#include "scheduling/storetypes.h"

#include <algorithm>
#include <chrono>

namespace dragonflylock {

/// Adapts the timeout of waiting for changes of a table. The store returns all
/// changes in one response, so the timeout is doubled when a response has begun
/// to arrive but did not arrive completely in time.
class ChangesTimeout {
public:
  ChangesTimeout() = default;
  /// \param Default the timeout unless a response takes longer to arrive.
  explicit ChangesTimeout(std::chrono::milliseconds Default)
      : Default_(Default), Timeout_(Default) {}

  /// \returns the timeout to request changes with.
  std::chrono::milliseconds timeout() const { return Timeout_; }
  /// Updates the timeout after a wait has ended.
  void onResult(const StoreChanges &Changes) {
    if (Changes.Outcome_ == StoreOutcome::Unknown &&
        Changes.HasPartialResponse_)
      Timeout_ = std::min(Timeout_ * 2, MaxTimeout);
    else if (Changes.Outcome_ == StoreOutcome::Done)
      Timeout_ = Default_;
  }

private:
  /// Short enough to detect a connection that no longer transfers data.
  static constexpr std::chrono::milliseconds DefaultTimeout{1500};
  /// For a backlog that takes longer, the store reports that the history is
  /// lost, and the rows are read in pages.
  static constexpr std::chrono::milliseconds MaxTimeout{12000};

  std::chrono::milliseconds Default_ = DefaultTimeout;
  std::chrono::milliseconds Timeout_ = DefaultTimeout;
};

} // namespace dragonflylock

#endif
