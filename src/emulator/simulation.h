#ifndef DRAGONFLYLOCK_EMULATOR_SIMULATION_H
#define DRAGONFLYLOCK_EMULATOR_SIMULATION_H

#include "emulator/randomgenerator.h"
#include "global/iclock.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
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

  explicit Simulation(std::uint64_t Seed) : Seed_(Seed), Random_(Seed) {}

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
  std::int64_t randomInRange(std::int64_t Low, std::int64_t High) {
    return Random_.inRange(Low, High);
  }
  /// \returns true with the given probability.
  bool withProbability(double Probability) {
    return Random_.withProbability(Probability);
  }
  /// \returns a generator whose draws don't change the sequence of this
  /// simulation.
  RandomGenerator separateGenerator(std::string_view Purpose) const {
    return RandomGenerator(Seed_, Purpose);
  }

  /// Records that an invariant was violated, with the current time.
  void reportViolation(const std::string &Invariant, const std::string &Detail);
  /// \returns the recorded violations, with the time of each.
  const std::vector<std::string> &violations() const { return Violations_; }

private:
  static TimePoint startTime() { return TimePoint(std::chrono::hours(1)); }

  TimePoint Now_ = startTime();
  std::uint64_t Sequence_ = 0;
  std::map<std::pair<TimePoint, std::uint64_t>, Event> Events_;
  std::uint64_t Seed_;
  RandomGenerator Random_;
  std::vector<std::string> Violations_;
};

} // namespace dragonflylock

#endif
