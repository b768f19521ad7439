#ifndef DRAGONFLYLOCK_EMULATOR_SIMULATION_H
#define DRAGONFLYLOCK_EMULATOR_SIMULATION_H

#include "global/iclock.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace dragonflylock {

/// Virtual time: events run one after the other in the order of their times,
/// so that a run depends on its seed alone.
class Simulation : public IClock {
public:
  using Event = std::function<void()>;
  using Duration = std::chrono::milliseconds;

  explicit Simulation(std::uint64_t Seed) : Random_(Seed) {}

  TimePoint now() const override { return Now_; }
  WallTime wallNow() const override;

  /// Runs \p Next after \p Delay.
  void schedule(std::chrono::microseconds Delay, Event Next);
  /// Runs all events up to \p Length after the start.
  void runUntil(Duration Length);
  /// \returns the time since the start.
  Duration elapsed() const;

  /// \returns a number from \p Low to \p High.
  std::int64_t randomInRange(std::int64_t Low, std::int64_t High);
  /// \returns true with the probability \p Probability.
  bool withProbability(double Probability);

  /// Notes that a rule was broken.
  void reportViolation(const std::string &Invariant, const std::string &Detail);
  /// \returns the broken rules, with the time of each.
  const std::vector<std::string> &violations() const { return Violations_; }

private:
  static TimePoint startTime() { return TimePoint(std::chrono::hours(1)); }

  TimePoint Now_ = startTime();
  std::uint64_t Sequence_ = 0;
  std::map<std::pair<TimePoint, std::uint64_t>, Event> Events_;
  std::mt19937_64 Random_;
  std::vector<std::string> Violations_;
};

} // namespace dragonflylock

#endif
