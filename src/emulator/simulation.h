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

/// Discrete-event simulation with a virtual clock. Events run one after the
/// other in the order of their times, so that an emulation depends on its seed
/// alone.
class Simulation : public IClock {
public:
  using Event = std::function<void()>;
  using Duration = std::chrono::milliseconds;

  explicit Simulation(std::uint64_t Seed) : Random_(Seed) {}

  TimePoint now() const override { return Now_; }
  WallTime wallNow() const override;

  /// Runs \p Next after \p Delay.
  void schedule(std::chrono::microseconds Delay, Event Next);
  /// Runs all events that are due up to \p Length after the start, and sets the
  /// clock to that time.
  void runUntil(Duration Length);
  /// \returns the virtual time since the start.
  Duration elapsed() const;

  /// \returns a random number from \p Low to \p High, both included.
  std::int64_t randomInRange(std::int64_t Low, std::int64_t High);
  /// \returns true with the given probability.
  bool withProbability(double Probability);

  /// Records that an invariant was violated, with the current time.
  void reportViolation(const std::string &Invariant, const std::string &Detail);
  /// \returns the recorded violations, with the time of each.
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
