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
  /// \param Sharers ranges that are read side by side.
  /// \returns how many rows the next page may ask for; 0 while enough are on
  /// their way.
  std::size_t nextPage(std::size_t Sharers) const;
  /// Notes that a page of \p Asked rows was asked for.
  void begin(std::size_t Asked);
  /// Notes the end of a page of \p Asked rows that was asked for at \p Begun.
  void end(std::size_t Asked, const StoreRange &Read, TimePoint Begun,
           TimePoint Now);

private:
  void grow(std::size_t Asked, std::size_t Received,
            std::chrono::nanoseconds Took);
  void shrink(TimePoint Begun, TimePoint Now);

  /// Rows at the start. They pass a link of 10 Mbit/s in a fraction of a call.
  static constexpr std::size_t FirstRows = 200;

  std::size_t Rows_ = FirstRows;
  std::size_t UnderWay_ = 0;
  /// Rows asked for and answered, not quickly, since the window last grew.
  std::size_t Answered_ = 0;
  TimePoint ShrunkAt_ = TimePoint::min();
};

} // namespace dragonflylock

#endif
