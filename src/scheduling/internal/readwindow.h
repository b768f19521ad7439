#ifndef DRAGONFLYLOCK_SCHEDULING_INTERNAL_READWINDOW_H
#define DRAGONFLYLOCK_SCHEDULING_INTERNAL_READWINDOW_H

#include "global/iclock.h"
#include "scheduling/storetypes.h"

#include <chrono>
#include <cstddef>

namespace dragonflylock {

/// Limits the number of rows in flight from the store, and adapts the limit to
/// how fast its pages are answered. A page that is too large for the link or
/// the processor of this node is not requested again in the same size.
class ReadWindow {
public:
  /// \param ConcurrentRanges number of ranges that are read concurrently.
  /// \returns the number of rows to request with the next page; 0 while enough
  /// rows are in flight.
  std::size_t nextPageRows(std::size_t ConcurrentRanges) const;
  /// Called when a page of \p Requested rows was requested.
  void onPageRequested(std::size_t Requested);
  /// Called when the request for a page of \p Requested rows, sent at \p Start,
  /// has ended.
  void onPageFinished(std::size_t Requested, const StoreRange &Read,
                      TimePoint Start, TimePoint Now);

private:
  void grow(std::size_t Requested, std::size_t Received,
            std::chrono::nanoseconds Took);
  void shrink(TimePoint Start, TimePoint Now);

  /// Initial window. A link of 10 Mbit/s transfers it in a fraction of the
  /// timeout of a call.
  static constexpr std::size_t InitialRows = 200;

  std::size_t WindowRows_ = InitialRows;
  std::size_t InFlightRows_ = 0;
  /// Rows requested by pages with slow responses since the window last grew.
  std::size_t SlowRows_ = 0;
  TimePoint LastShrink_ = TimePoint::min();
};

} // namespace dragonflylock

#endif
