#ifndef DRAGONFLYLOCK_SCHEDULING_INTERNAL_READWINDOW_H
#define DRAGONFLYLOCK_SCHEDULING_INTERNAL_READWINDOW_H

#include "global/iclock.h"
#include "scheduling/storetypes.h"

#include <chrono>
#include <cstddef>

namespace dragonflylock {

/// How many rows may be on their way from the store at a time, learned from
/// how its pages are answered. A page that is too large for the link or the
/// processor of this node is not asked for a second time in the same size.
class ReadWindow {
public:
  /// \param ConcurrentRanges ranges that are read side by side.
  /// \returns how many rows the next page may ask for; 0 while enough are on
  /// their way.
  std::size_t nextPageRows(std::size_t ConcurrentRanges) const;
  /// Notes that a page of \p Requested rows was asked for.
  void onPageRequested(std::size_t Requested);
  /// Notes the end of a page of \p Requested rows that was asked for at \p
  /// Start.
  void onPageFinished(std::size_t Requested, const StoreRange &Read,
                      TimePoint Start, TimePoint Now);

private:
  void grow(std::size_t Requested, std::size_t Received,
            std::chrono::nanoseconds Took);
  void shrink(TimePoint Start, TimePoint Now);

  /// Rows at the start. They pass a link of 10 Mbit/s in a fraction of a call.
  static constexpr std::size_t InitialRows = 200;

  std::size_t WindowRows_ = InitialRows;
  std::size_t InFlightRows_ = 0;
  /// Rows asked for and answered, not quickly, since the window last grew.
  std::size_t SlowRows_ = 0;
  TimePoint LastShrink_ = TimePoint::min();
};

} // namespace dragonflylock

#endif
