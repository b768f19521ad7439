#include "scheduling/internal/readwindow.h"

#include <algorithm>

namespace dragonflylock {
namespace {

/// Maximum number of rows in flight. It bounds the memory that they take and
/// the time for which decoding them delays the decisions of a node.
constexpr std::size_t MaxWindowRows = 2000;
/// A response within this time leaves room for twice as many rows within the
/// timeout of a call.
constexpr std::chrono::milliseconds FastResponse{400};
/// Up to this size the window also grows on slow responses, because a slow
/// store answers large pages as fast as small ones.
constexpr std::size_t MaxSlowGrowthRows = 100;
/// Rows requested with slow responses for which the window grows by one row.
constexpr std::size_t SlowRowsPerStep = 8;

} // namespace

std::size_t ReadWindow::nextPageRows(std::size_t ConcurrentRanges) const {
  if (InFlightRows_ >= WindowRows_)
    return 0;
  std::size_t Share = WindowRows_ / std::max<std::size_t>(1, ConcurrentRanges);
  std::size_t Free = std::min(WindowRows_ - InFlightRows_, MaxPageRows);
  return std::clamp<std::size_t>(Share, 1, Free);
}

void ReadWindow::onPageRequested(std::size_t Requested) {
  InFlightRows_ += Requested;
}

void ReadWindow::onPageFinished(std::size_t Requested, const StoreRange &Read,
                                TimePoint Start, TimePoint Now) {
  if (Read.Outcome_ == StoreOutcome::Unknown)
    shrink(Start, Now);
  if (Read.Outcome_ == StoreOutcome::Done)
    grow(Requested, Read.Rows_.size(), Now - Start);
  InFlightRows_ -= std::min(Requested, InFlightRows_);
}

void ReadWindow::grow(std::size_t Requested, std::size_t Received,
                      std::chrono::nanoseconds Took) {
  // A page that was not full tells little about the time of larger pages.
  if (Received < Requested && WindowRows_ >= InitialRows)
    return;
  if (Took <= FastResponse) {
    WindowRows_ = std::min(WindowRows_ + Requested, MaxWindowRows);
    return;
  }
  // Larger pages would sooner or later time out, which costs more time than
  // they save.
  if (WindowRows_ >= MaxSlowGrowthRows)
    return;
  SlowRows_ += Requested;
  WindowRows_ =
      std::min(WindowRows_ + SlowRows_ / SlowRowsPerStep, MaxWindowRows);
  SlowRows_ %= SlowRowsPerStep;
}

void ReadWindow::shrink(TimePoint Start, TimePoint Now) {
  // Pages that were in flight together fail for the same reason, so that the
  // window shrinks only once for them.
  if (Start < LastShrink_)
    return;
  WindowRows_ =
      std::max<std::size_t>(1, std::min(WindowRows_, InFlightRows_) / 2);
  LastShrink_ = Now;
}

} // namespace dragonflylock
