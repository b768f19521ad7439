#include "scheduling/internal/readwindow.h"

#include <algorithm>

namespace dragonflylock {
namespace {

/// Rows on their way at most, which bounds the memory that they take and the
/// time for which their decoding holds up a node's decisions.
constexpr std::size_t MostRows = 2000;
/// An answer within this time leaves room for twice as many rows in the time
/// of a call.
constexpr std::chrono::milliseconds QuickAnswer{400};
/// Up to so many rows the window grows also when answers are not quick: a slow
/// store answers large pages as fast as small ones.
constexpr std::size_t EnoughRows = 100;
/// Rows of answers that were not quick for which the window grows by one.
constexpr std::size_t GentleGrowth = 8;

} // namespace

std::size_t ReadWindow::nextPage(std::size_t Sharers) const {
  if (UnderWay_ >= Rows_)
    return 0;
  std::size_t Share = Rows_ / std::max<std::size_t>(1, Sharers);
  std::size_t Free = std::min(Rows_ - UnderWay_, MaxPageRows);
  return std::clamp<std::size_t>(Share, 1, Free);
}

void ReadWindow::begin(std::size_t Asked) { UnderWay_ += Asked; }

void ReadWindow::end(std::size_t Asked, const StoreRange &Read, TimePoint Begun,
                     TimePoint Now) {
  if (Read.Outcome_ == StoreOutcome::Unknown)
    shrink(Begun, Now);
  if (Read.Outcome_ == StoreOutcome::Done)
    grow(Asked, Read.Rows_.size(), Now - Begun);
  UnderWay_ -= std::min(Asked, UnderWay_);
}

void ReadWindow::grow(std::size_t Asked, std::size_t Received,
                      std::chrono::nanoseconds Took) {
  // A page that was not full tells little of what larger ones would take.
  if (Received < Asked && Rows_ >= FirstRows)
    return;
  if (Took <= QuickAnswer) {
    Rows_ = std::min(Rows_ + Asked, MostRows);
    return;
  }
  // Larger pages would sooner or later get no answer, which costs more time
  // than they save.
  if (Rows_ >= EnoughRows)
    return;
  Answered_ += Asked;
  Rows_ = std::min(Rows_ + Answered_ / GentleGrowth, MostRows);
  Answered_ %= GentleGrowth;
}

void ReadWindow::shrink(TimePoint Begun, TimePoint Now) {
  // Pages that were on their way together fail for one reason.
  if (Begun < ShrunkAt_)
    return;
  Rows_ = std::max<std::size_t>(1, std::min(Rows_, UnderWay_) / 2);
  ShrunkAt_ = Now;
}

} // namespace dragonflylock
