#ifndef DRAGONFLYLOCK_ADMISSION_POOLBACKLOG_H
#define DRAGONFLYLOCK_ADMISSION_POOLBACKLOG_H

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace dragonflylock {

/// \returns the time by which the work of a job, in core-milliseconds, delays
/// it in the dispatch order of its priority. JobIndex orders by the same rule.
inline std::chrono::milliseconds urgencyDelayOf(std::int64_t Work) {
  constexpr std::int64_t WorkPerWaitMs = 8;
  return std::chrono::milliseconds(Work / WorkPerWaitMs);
}

/// Amounts of work by their place in the dispatch order of one priority: the
/// time of acceptance plus urgencyDelayOf() the work, relative to a base time.
/// A few ranges of that time stand for the exact places.
class WorkByUrgency {
public:
  /// Lower bounds of the ranges in milliseconds, except that of the first one,
  /// which has none. Most jobs are small, so that the ranges near 0 are short.
  static constexpr std::array<std::int64_t, 8> LowerBounds{
      0, 100, 200, 400, 800, 1600, 3200, 6400};
  static constexpr std::size_t RangeCount = LowerBounds.size() + 1;
  using Amounts = std::array<std::int64_t, RangeCount>;

  WorkByUrgency() = default;
  /// \param Values core-milliseconds in each range.
  explicit WorkByUrgency(const Amounts &Values) : Amounts_(Values) {}

  bool operator==(const WorkByUrgency &) const = default;
  /// \param Place the place in the order.
  /// \param Work core-milliseconds.
  void add(std::chrono::milliseconds Place, std::int64_t Work);
  /// \returns the core-milliseconds with a place before \p Place, where the
  /// work of a range counts as spread evenly over it.
  double before(std::chrono::milliseconds Place) const;
  /// \returns the work that arrives before \p Place if this is the work that
  /// arrives in one second, its place counts from its arrival, and arrivals go
  /// on from 0 to \p Time.
  double arrivingBefore(std::chrono::milliseconds Place,
                        std::chrono::milliseconds Time) const;
  /// \returns all of the work, in core-milliseconds.
  std::int64_t total() const;
  const Amounts &amounts() const { return Amounts_; }

private:
  /// Core-milliseconds by range.
  Amounts Amounts_{};
};

/// The work of one priority in a pool.
struct PriorityBacklog {
  /// Work that waits, of jobs that can still meet their objective. Places count
  /// from the time of the report.
  WorkByUrgency OnTime_;
  /// Work that waits, of jobs that are late. It goes after the work on time.
  WorkByUrgency Late_;
  /// How far the place of the job on time that starts next lies before the time
  /// of the report. A job on time starts when its own place is as old.
  std::chrono::milliseconds FrontAge_{0};
  /// Work that arrives in one second. Places count from the arrival.
  WorkByUrgency ArrivingPerSecond_;
  /// Work that is left to running tasks, in core-milliseconds.
  std::int64_t Running_ = 0;

  bool operator==(const PriorityBacklog &) const = default;
};

/// Work that a pool has not done, as its owner reports it.
struct PoolBacklog {
  /// Time of the report on the owner's clock, since 1970.
  std::chrono::milliseconds MeasuredAt_{0};
  /// Declared work that the pool does in a millisecond while it is full, in
  /// core-milliseconds: its cores, corrected by what it was seen to finish.
  double Speed_ = 0;
  /// Actual run time of the tasks that were finished, as a multiple of the
  /// declared one.
  double RunTimeFactor_ = 1;
  std::map<std::uint32_t, PriorityBacklog> Priorities_;

  bool operator==(const PoolBacklog &) const = default;
  /// \returns the core-milliseconds of all work that waits.
  std::int64_t waiting() const;
};

/// \param OnTime places and core-milliseconds of the work of one priority that
///   waits on time.
/// \param Speed core-milliseconds that the pool does in a millisecond.
/// \returns PriorityBacklog::FrontAge_. A small amount of work is left out,
///   which may wait for certain workers while other work starts.
std::chrono::milliseconds frontAgeOf(
    std::vector<std::pair<std::chrono::milliseconds, std::int64_t>> OnTime,
    double Speed);

} // namespace dragonflylock

#endif
