#ifndef DRAGONFLYLOCK_EMULATOR_RANDOMGENERATOR_H
#define DRAGONFLYLOCK_EMULATOR_RANDOMGENERATOR_H

#include <cstdint>
#include <random>
#include <string_view>

namespace dragonflylock {

/// Sequence of random numbers that depends on the seed alone.
class RandomGenerator {
public:
  explicit RandomGenerator(std::uint64_t Seed) : Engine_(Seed) {}
  /// \param Purpose selects a sequence of its own, whose draws don't change the
  ///   other sequences of the same seed.
  RandomGenerator(std::uint64_t Seed, std::string_view Purpose);

  /// \returns a random number from \p Low to \p High, both included.
  std::int64_t inRange(std::int64_t Low, std::int64_t High);
  /// \returns true with the given probability.
  bool withProbability(double Probability);

private:
  std::mt19937_64 Engine_;
};

} // namespace dragonflylock

#endif
